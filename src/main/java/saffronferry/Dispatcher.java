// The decisions of one dispatcher. Types, events and actions: Contract.java in this folder.
package saffronferry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import saffronferry.Contract.Actions;
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.Idempotency;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.Contract.Settings;
import saffronferry.Contract.Tenant;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.DispatcherState.Attempt;
import saffronferry.DispatcherState.HeldQueue;
import saffronferry.DispatcherState.Job;
import saffronferry.DispatcherState.JobMap;
import saffronferry.DispatcherState.Peer;
import saffronferry.DispatcherState.Worker;
import saffronferry.fleet.ColdRate;
import saffronferry.fleet.ColdShares;
import saffronferry.fleet.DiscoveryBackoff;
import saffronferry.fleet.PeerMessageBudget;
import saffronferry.fleet.SharingStatus;
import saffronferry.fleet.WatchEnd;

/**
 * The decisions of one dispatcher, after the networked-queues design: a job goes to a free slot of its own zone;
 * without one it is held with the acceptance probability P, and else spilled to a neighbour zone that offers a slot.
 */
public final class Dispatcher implements Contract.Events {
    // ---- timing ----
    /** Housekeeping interval: well below the wait that any class aims at. */
    private static final long TICK_US = 25_000;
    /** The shortest exchange period of the networked-queues paper. */
    private static final long MIN_EXCHANGE_PERIOD_US = 50_000;
    /** Older information says nothing about jobs that take about a second. */
    private static final long MAX_EXCHANGE_PERIOD_US = 1_000_000;
    /** An offered slot stays free for about that long. */
    private static final long OFFER_LIFETIME_US = 400_000;
    /** About how old a worker's report may be. */
    private static final double REPORT_AGE_US = 500_000;
    /** A zone that has not been heard from by this time after the start has no dispatcher. */
    private static final long STARTUP_SETTLE_US = 2_000_000;
    /** A zone that has been silent for so long has lost its dispatchers; a restart takes less. */
    private static final long ZONE_ABANDONED_AFTER_US = 10_000_000;
    /** Time over which the own request rate is averaged. */
    private static final double RATE_AVERAGING_S = 2;

    // ---- placing and spilling ----
    /** Open workers that are compared for one job, however many there are. */
    private static final int SAMPLED_WORKERS = 4;
    /** Peers that are searched for an offer, however many there are. */
    private static final int SEARCHED_PEERS = 16;
    /** Least P of a neighbour that jobs are spilled to: it holds next to nothing. */
    private static final double MIN_SPILL_ACCEPTANCE = 0.9;
    /** Least number of guardians of cold workers, and of other peers, that one exchange reaches. */
    private static final int MIN_FANOUT = 2;
    /** Running time of a job before any has ended, unless the class's aim is longer. */
    private static final double INITIAL_RUNNING_TIME_US = 500_000;
    /** Late jobs that are held, as a multiple of this dispatcher's slots; more are refused. */
    private static final double MAX_LATE_ROUNDS = 0.3;

    // ---- probes ----
    /** Part of the value of its requests that a dispatcher may spend on probes. */
    private static final double PROBE_SPENDING_SHARE = 0.002;
    /** Time until the next probe of a worker that had nothing to report yet. */
    private static final long PROBE_RETRY_US = 150_000;

    // ---- worker health ----
    /** A silence of this improbability, 1 in 3000, makes a worker suspect. */
    private static final double SUSPICION_NATS = 8;
    /** Broken connections without a sign of life between them that make a worker suspect. */
    private static final int RESETS_UNTIL_SUSPECT = 2;
    /** Failed jobs without a served one between them that make a worker suspect. */
    private static final int ERRORS_UNTIL_SUSPECT = 2;
    /** Time until a suspect worker gets one trial job; doubles with each failed trial. */
    private static final long FIRST_TRIAL_DELAY_US = 1_000_000;

    private static final int MAX_TRIAL_DELAY_DOUBLINGS = 3;
    /** Time for which a worker that answered "full" gets no jobs; doubles each time in a row. */
    private static final long FIRST_FULL_BACKOFF_US = 100_000;

    private static final int MAX_FULL_BACKOFF_DOUBLINGS = 5;

    // ---- timer tokens ----
    private static final long TICK_TOKEN = 1;
    private static final long SUBSCRIBE_TOKEN = 2;

    // ---- ranks of held jobs, served in this order ----
    private static final int RANK_IN_SHARE = 0;
    private static final int RANK_OVER_SHARE = 1;
    private static final int RANK_LATE = 2;
    /** Jobs that only some workers may take (tied to a group or asking several slots): tried each tick. */
    private static final int RANK_CONSTRAINED = 3;

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final WorkerIndex workerIndex;
    private final JobMap jobs = new JobMap();
    private final HeldQueue[][] queues; // by class and rank
    private final PriorityQueue<Job> jobsByDeadline = new PriorityQueue<>(Job.BY_DEADLINE);
    private final Peer[] peers;
    private final long[] zoneLastHeardAt; // 0: never
    private final LearnedEstimates estimates; // of the slots of workers and the running times of jobs
    /** Another process of this dispatcher, which replaces this one or is replaced by it. */
    private final Peer siblingProcess = new Peer(-1);

    private final TenantTokenBuckets allowances;
    private final boolean[] classBlocked; // classes for which no slot was found while held jobs were sent
    /** P: the probability with which another job is accepted here. */
    private double acceptance = 1;
    /** R: the probability that this dispatcher or one of its neighbours accepts another job. */
    private double combinedAcceptance = 1;

    private double zoneSlots;
    private double zoneTrafficShare = 1;
    private double fleetTrafficShare;
    private double requestRate;
    private double probeCredit;
    private final RetryBudget repeatBudget;
    private final PeerMessageBudget talkBudget;
    private final DiscoveryBackoff discoveryPace;
    private final ColdShares coldShares;
    private final WorkerOwnership ownership;
    private final ColdRate coldRate;
    private int processCount = 1; // processes of this dispatcher, which share its budgets
    private int heldSlots;
    private int arrivalsSinceTick;
    private int ownershipFingerprint; // 0: workers have to be reassigned
    private int lastToldPeer;
    private int lastToldZoneOffset;
    private int probePosition;
    private int healthCheckPosition;
    private int finishedSinceCleanup;
    private long now;
    private long lastTickAt;
    private long startedAt;
    private long nextExchangeAt;
    private long lastExchangeAt;
    private long zoneOffersValidUntil;
    private long coldAnnouncedUntil;
    private long tickCount;
    private long exchangePeriod = MIN_EXCHANGE_PERIOD_US;
    private final boolean probing;
    private boolean listReceived;
    private boolean settled;
    private boolean canOpenAttempts = true;
    private boolean zoneHasCold;

    public Dispatcher(Settings settings, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new SplittableRandom(settings.seed());
        workerIndex = new WorkerIndex(settings.zoneCount(), settings.kindCount(), settings.zone());
        zoneLastHeardAt = new long[settings.zoneCount()];
        queues = new HeldQueue[settings.classes().size()][];
        for (int c = 0; c < queues.length; c++) {
            queues[c] = new HeldQueue[RANK_CONSTRAINED + 1];
            for (int rank = 0; rank <= RANK_CONSTRAINED; rank++) {
                queues[c][rank] = new HeldQueue();
            }
        }
        peers = new Peer[settings.dispatcherCount()];
        for (int i = 0; i < peers.length; i++) {
            peers[i] = new Peer(i);
        }
        coldShares = new ColdShares(settings.self(), settings.dispatcherCount());
        ownership = new WorkerOwnership(settings.zoneCount(), settings.zone(), coldShares);
        coldRate = new ColdRate(settings.overloadMultiple(), settings.coldCapacity(), settings.coldPeriod());
        repeatBudget = new RetryBudget(settings.dispatcherCount());
        discoveryPace = new DiscoveryBackoff(
                settings.listOnDemand() ? settings.dispatcherCount() : 1, settings.maxResubscribeDelay());
        talkBudget = new PeerMessageBudget(
                settings.peerPrice(), PeerMessage.MAX_BYTES, MIN_EXCHANGE_PERIOD_US, MAX_EXCHANGE_PERIOD_US);
        estimates = new LearnedEstimates(settings.kindCount(), settings.classes(), INITIAL_RUNNING_TIME_US);
        classBlocked = new boolean[queues.length];
        allowances = new TenantTokenBuckets(settings.tenants());
        fleetTrafficShare = 1.0 / settings.dispatcherCount();
        probing = settings.loadReports() && settings.canProbe();
    }

    // ---- ordinary path: place, hold, spill ----
    @Override
    public void request(long clock, Request request) {
        now = clock;
        JobClass spec = settings.classes().get(request.jobClass());
        arrivalsSinceTick++;
        repeatBudget.requestReceived();
        probeCredit = Math.min(probeCredit + PROBE_SPENDING_SHARE / Math.max(settings.probePrice(), 1e-3), 20);
        Job job = new Job(request, spec, now, allowances.exceedsAllowance(request.tenant()));
        jobs.put(job);
        jobsByDeadline.add(job);
        if (request.slots() > 1 && fitsNoWorker(job)) {
            endUnserved(job);
            return;
        }
        if (!hasOlderInQueue(job) && sendTo(job, chooseWorker(job))) {
            return;
        }
        acceptance = currentAcceptance();
        if (random.nextDouble() >= acceptance && spill(job)) {
            return;
        }
        // with less than two ticks left the client may be gone before a held job is looked at again
        if (request.validUntil() <= now + 2 * TICK_US || rankOf(job) == RANK_LATE && !hasRoomForLate()) {
            endUnserved(job);
        } else {
            hold(job, false);
            sendHeld();
            // a message that says P < 1 makes peers offer their free slots: exchange sooner
            if (job.queue != null) {
                nextExchangeAt = Math.min(nextExchangeAt, lastExchangeAt + exchangePeriod / 4);
            }
        }
    }

    /** Whether older jobs of the same class and rank are held; they go first, so a new one may not take a slot. */
    private boolean hasOlderInQueue(Job job) {
        return queues[job.request.jobClass()][rankOf(job)].head != null;
    }

    private int rankOf(Job job) {
        // Refused clients retry at once, and most of their requests are late by then: served first, they would make
        // the new requests late in turn.
        return job.request.clientRetry() ? RANK_LATE : job.overShare ? RANK_OVER_SHARE : RANK_IN_SHARE;
    }

    /** P = m / (N + m): N slots are asked by held jobs, and m is this dispatcher's share of the zone's slots. */
    private double currentAcceptance() {
        return acceptanceProbability(heldSlots, Math.max(zoneSlots * zoneTrafficShare, 1));
    }

    static double acceptanceProbability(double heldSlots, double totalSlots) {
        return totalSlots / (heldSlots + totalSlots);
    }

    private boolean hasRoomForLate() {
        return Arrays.stream(queues).mapToInt(byRank -> byRank[RANK_LATE].slots).sum()
                < zoneSlots * zoneTrafficShare * MAX_LATE_ROUNDS;
    }

    /** A worker of the own zone and of the class's kind with enough free slots, or null. */
    private Worker chooseWorker(Job job) {
        Worker worker = freestOwnedWorker(job);
        return worker != null ? worker : takeOfferInZone(job);
    }

    /** A slot of another owner in the zone, or null. It is known to be free only if the owner offers it. */
    private Worker takeOfferInZone(Job job) {
        int from = random.nextInt(peers.length);
        for (int i = 0; i < Math.min(SEARCHED_PEERS, peers.length); i++) {
            Peer peer = peers[(from + i) % peers.length];
            Worker worker = peer.zone == settings.zone() ? takeOffer(job, peer) : null;
            if (worker != null) {
                return worker;
            }
        }
        return null;
    }

    /**
     * The best owned worker for a job, or null. Dispatchers that see the same free slot would all send a job to it, so
     * each worker has an owner among its zone's dispatchers: it alone sends there, and so knows the free slots exactly.
     */
    private Worker freestOwnedWorker(Job job) {
        Worker best = null;
        double bestScore = 0;
        // A dispatcher that receives no peer messages owns all workers, and always finds a warm one that looks free.
        // Its share of a cold worker's budget is small and lost when unused: the worker would stay idle.
        for (Worker worker : workerIndex.coldOwned()) {
            if (worker.openIndex >= 0 && worker.coldBudget.hasSmallShare() && canTake(job, worker)) {
                return worker;
            }
        }
        for (int k = 0; k < workerIndex.kindGroups(); k++) {
            int open = job.spec.kind() < 0 || job.spec.kind() == k ? workerIndex.openCount(k) : 0;
            for (int i = 0; i < Math.min(open, SAMPLED_WORKERS); i++) {
                Worker worker = workerIndex.openWorker(k, open <= SAMPLED_WORKERS ? i : random.nextInt(open));
                double score = freeSlots(worker)
                        - worker.runningTimeRatio
                        + random.nextDouble() * 0.2
                        - (worker.zone == settings.zone() ? 0 : 100);
                if ((best == null || score > bestScore) && canTake(job, worker)) {
                    best = worker;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    private boolean canTake(Job job, Worker worker) {
        return fits(job, worker)
                && freeSlots(worker) >= job.request.slots()
                && maySend(job, worker)
                && (worker.coldSince == 0
                        || !job.resetDuringAttempt
                                && coldBudgetCovers(worker, expectedSlotTimeUs(job, worker), heldSlots > 0));
    }

    private boolean fits(Job job, Worker worker) {
        return (job.spec.kind() < 0 || job.spec.kind() == worker.kind) && now >= worker.backoffUntil;
    }

    /**
     * Whether a job asks for more slots than any worker has. Held until its deadline, such a job would keep P low, and
     * this dispatcher would offer no slots for as long.
     */
    private boolean fitsNoWorker(Job job) {
        int present = 0;
        for (int k = 0; k < workerIndex.kindGroups(); k++) {
            boolean fits = estimates.slotSamples[k] == 0 || 2 * estimates.availableSlots(k) >= job.request.slots();
            if (workerIndex.presentCount(k) > 0 && fits && (job.spec.kind() < 0 || job.spec.kind() == k)) {
                return false;
            }
            present += workerIndex.presentCount(k);
        }
        return present > 0;
    }

    private void hold(Job job, boolean front) {
        queues[job.request.jobClass()][rankOf(job)].add(job, front);
        heldSlots += job.request.slots();
    }

    private void stopHolding(Job job) {
        if (job.queue != null) {
            job.queue.remove(job);
            heldSlots -= job.request.slots();
        }
    }

    /** Sends held jobs for as long as there are slots for them. */
    private void sendHeld() {
        Arrays.fill(classBlocked, false);
        while (heldSlots > 0 && canOpenAttempts) {
            Job job = nextHeld();
            if (job == null) {
                return;
            }
            Worker worker = chooseWorker(job);
            if (worker != null) {
                sendTo(job, worker);
            } else if (job.attemptCount > 0 || job.request.slots() > 1) {
                job.queue.moveTo(job, queues[job.request.jobClass()][RANK_CONSTRAINED]);
            } else {
                classBlocked[job.request.jobClass()] = true;
            }
        }
    }

    private boolean mayHaveSlot(int kind) {
        return workerIndex.hasOpen(kind) || now < zoneOffersValidUntil;
    }

    /** Best rank first; within it the earliest latest start or, in overload, the most value for its running time. */
    private Job nextHeld() {
        boolean overload = heldSlots > zoneSlots * zoneTrafficShare * 0.5;
        for (int rank = RANK_IN_SHARE; rank <= RANK_LATE; rank++) {
            Job best = null;
            double bestScore = 0;
            for (int c = 0; c < queues.length; c++) {
                if (rank != RANK_LATE) {
                    retireLate(c, rank);
                }
                Job job = queues[c][rank].head;
                if (job == null || classBlocked[c] || !mayHaveSlot(job.spec.kind())) {
                    continue;
                }
                double score =
                        overload ? job.spec.value() / estimates.meanRunTime[c] : -(job.arrivedAt + (double) slackUs(c));
                if (best == null || score > bestScore) {
                    best = job;
                    bestScore = score;
                }
            }
            if (best != null) {
                return best;
            }
        }
        return null;
    }

    /** Moves jobs that can no longer be in time to the late rank, or refuses them where that has no room. */
    private void retireLate(int jobClass, int rank) {
        Job job = queues[jobClass][rank].head;
        while (job != null && job.arrivedAt + slackUs(jobClass) < now) {
            Job next = job.next;
            boolean keep = job.attemptsInFlight > 0 || hasRoomForLate() && job.spec.lateValue() > 0;
            // no slot will be idle for more late jobs, and an early refusal costs the client less than a late one
            if (keep) {
                job.queue.moveTo(job, queues[jobClass][RANK_LATE]);
            } else {
                endUnserved(job);
            }
            job = next;
        }
    }

    /** How long a job of the class may wait and probably still be in time. */
    private long slackUs(int jobClass) {
        JobClass spec = settings.classes().get(jobClass);
        double spare = (spec.targetStretch() * estimates.bestRunTime[jobClass] - estimates.meanRunTime[jobClass]) / 2;
        return (long) Math.max(spec.latencyTarget() + spare, spec.latencyTarget() * 0.3);
    }

    /** Sends the job to a neighbour drawn with weight 1 - (1 - R_y) / (1 - P); false if none has a slot for it. */
    private boolean spill(Job job) {
        double sum = 0;
        for (Peer peer : peers) {
            sum += neighbourWeight(job, peer);
        }
        double remaining = random.nextDouble() * sum;
        for (Peer peer : peers) {
            double weight = neighbourWeight(job, peer);
            remaining -= weight;
            if (weight > 0 && remaining < 0) {
                return sendTo(job, takeOffer(job, peer));
            }
        }
        return false;
    }

    /**
     * A peer's weight in the draw of {@link #spill}; 0 if it offers no slot for the job. In a large fleet most
     * neighbours have nothing to offer. If they took part, the draw would mostly end at one of them and the job be held
     * while slots that others offered go unused.
     */
    private double neighbourWeight(Job job, Peer peer) {
        return isNeighbour(peer) && peer.acceptance >= MIN_SPILL_ACCEPTANCE && findOffer(job, peer) >= 0
                ? spillWeight(acceptance, peer.combinedAcceptance)
                : 0;
    }

    static double spillWeight(double acceptance, double neighbourCombinedAcceptance) {
        return acceptance >= 1 ? 0 : Math.max(0, 1 - (1 - neighbourCombinedAcceptance) / (1 - acceptance));
    }

    private boolean isNeighbour(Peer peer) {
        return peer.zone >= 0 && peer.zone != settings.zone() && isHeard(peer);
    }

    private boolean isHeard(Peer peer) {
        return peer.lastHeardAt > 0 && now - peer.lastHeardAt <= peer.silenceTimeout();
    }

    /**
     * Takes a slot that the peer offered, or returns null. A high P says that no job waits there, not that a slot is
     * free: only offered slots are used, each once.
     */
    private Worker takeOffer(Job job, Peer peer) {
        int offer = findOffer(job, peer);
        if (offer < 0) {
            return null;
        }
        Worker worker = peer.offeredWorkers[offer];
        peer.consumeOffer(offer, job.request.slots(), expectedSlotTimeUs(job, worker));
        worker.lender = peer.number;
        workerIndex.markChanged(worker);
        return worker;
    }

    /** Index of a peer's offer that the job may use, or -1. */
    private int findOffer(Job job, Peer peer) {
        for (int i = 0; i < peer.offeredWorkers.length && now - peer.offeredAt < OFFER_LIFETIME_US; i++) {
            Worker worker = peer.offeredWorkers[i];
            if (worker != null
                    && peer.offerCovers(i, job.request.slots(), expectedSlotTimeUs(job, worker))
                    && fits(job, worker)
                    && (worker.coldSince == 0 || peer.offeredAsBudget[i] && !job.resetDuringAttempt)
                    && !(worker.suspect && now < worker.nextTrialAt)
                    && maySend(job, worker)) {
                return i;
            }
        }
        return -1;
    }

    private boolean sendTo(Job job, Worker worker) {
        if (worker == null || !canOpenAttempts) {
            return false;
        }
        Attempt attempt = new Attempt(job, worker, job.attemptCount, now);
        stopHolding(job);
        job.add(attempt);
        worker.attempts.add(attempt);
        worker.localSlots += job.request.slots();
        if (worker.ownedLocally) {
            worker.coldBudget.sendJob(expectedSlotTimeUs(job, worker), settings.reportsJobStart() ? now : 0);
        }
        if (worker.suspect) {
            scheduleTrial(worker);
        }
        refresh(worker);
        reportToLender(worker);
        actions.startAttempt(job.request.id(), worker.address);
        return true;
    }

    // ---- slot learning ----
    private int kindGroup(int kind) {
        return kind < 0 ? estimates.slotEstimate.length - 1 : kind;
    }

    private double freeSlots(Worker worker) {
        // on trial a worker gets one job at a time
        double slots = worker.failedTrials > 0 ? 1 : estimates.usableSlots(kindGroup(worker.kind));
        return slots - worker.localSlots - worker.peerSlots;
    }

    /** Updates the average of used slots and the worker's place in the indexes after something has changed. */
    private void refresh(Worker worker) {
        int usedSlots = worker.localSlots + worker.peerSlots;
        worker.averageUsedSlots += (worker.usedSlotsAtUpdate - worker.averageUsedSlots)
                * (1 - Math.exp((worker.usedSlotsUpdatedAt - now) / REPORT_AGE_US));
        if (worker.usedSlotsAtUpdate == 0 && usedSlots > 0) {
            worker.busySince = now;
        }
        worker.usedSlotsAtUpdate = usedSlots;
        worker.usedSlotsUpdatedAt = now;
        workerIndex.updateIndexes(
                worker,
                worker.ownedLocally
                        && worker.state == WorkerState.IN_SERVICE
                        && !worker.suspect
                        && freeSlots(worker) >= 1);
    }

    private void learnFromReport(Worker worker, Report report) {
        double freeSlots = report.freeSlots();
        if (Double.isNaN(freeSlots)) {
            return;
        }
        refresh(worker);
        int kindGroup = kindGroup(worker.kind);
        estimates.recordFreeSlots(kindGroup, freeSlots);
        if (!Double.isNaN(report.held()) && !Double.isNaN(report.queued())) {
            estimates.recordSlots(kindGroup, freeSlots + report.held() - report.queued());
        } else if (worker.ownedLocally) { // only the owner knows of all jobs at a worker
            // The report is old by now. What it leaves out are the slots that were in use when it was made, not those
            // in use now; the average over a report's age stands for them.
            double total = freeSlots - (report.queued() > 0 ? report.queued() : 0) + worker.averageUsedSlots;
            estimates.recordSlots(kindGroup, total);
        }
        refresh(worker);
    }

    private void sendProbes() {
        for (int i = 0; i < 4 && probing && probeCredit >= 1 && workerIndex.ownedCount() > 0; i++) {
            Worker worker = workerIndex.ownedWorker(Math.floorMod(probePosition++, workerIndex.ownedCount()));
            if (worker.state == WorkerState.IN_SERVICE && now - worker.lastProbeAt > MAX_EXCHANGE_PERIOD_US) {
                worker.lastProbeAt = now - random.nextLong(MAX_EXCHANGE_PERIOD_US / 4);
                probeCredit -= 1;
                actions.probe(worker.address);
            }
        }
    }

    @Override
    public void probeEnded(long clock, String address, Outcome outcome, Report report) {
        now = clock;
        Worker worker = workerIndex.get(address);
        if (worker != null && outcome == Outcome.CONNECT_FAILED) {
            handleBroken(worker, false);
        }
        if (worker != null && report != null) {
            learnFromReport(worker, report);
        }
        if (worker != null && report == null && estimates.slotSamples[kindGroup(worker.kind)] == 0) {
            worker.lastProbeAt = now - MAX_EXCHANGE_PERIOD_US + PROBE_RETRY_US;
        }
        sendHeld();
    }

    // ---- messages between dispatchers ----
    private PeerMessage newMessage(PeerMessage.Type type) {
        PeerMessage message =
                new PeerMessage(type, settings.zone(), acceptance, combinedAcceptance, requestRate, exchangePeriod);
        message.timestamp = now;
        message.knowsColdWorker = zoneHasCold;
        if (zoneHasCold || now < coldAnnouncedUntil) {
            Peer.attachMembership(peers, coldShares, settings.zone(), message);
        }
        return message;
    }

    /** Sends (P, R) and free slots to peers; the next exchange is the later, the more bytes this one took. */
    private void exchange() {
        combinedAcceptance = 1 - (1 - acceptance) * neighboursRejectProbability();
        PeerMessage offer = newOffer();
        sendToOwnZone(talkBudget.fanOut(peers.length, offer.size(), requestRate), offer);
        sendToNeighbourZone();
        exchangePeriod = talkBudget.nextPeriod(requestRate);
    }

    private void sendToPeer(int peer, PeerMessage message) {
        if (!settings.peerMessages() || peer == settings.self()) {
            return;
        }
        talkBudget.recordSent(message.size());
        actions.sendToPeer(peer, message.encode());
    }

    /** Sends to at most {@code limit} peers of the zone in turn; first to guardians, which can lend cold budgets. */
    private void sendToOwnZone(int limit, PeerMessage message) {
        int[] guardians =
                workerIndex.guardians(coldShares, zoneHasCold ? Math.max(limit - 1, MIN_FANOUT) : 0, tickCount);
        for (int guardian : guardians) {
            sendToPeer(guardian, message);
        }
        int remaining = Math.max(Math.min(MIN_FANOUT, limit), limit - guardians.length);
        for (int i = 0; i < peers.length && remaining > 0; i++) {
            lastToldPeer = (lastToldPeer + 1) % peers.length;
            Peer peer = peers[lastToldPeer];
            if (peer.number != settings.self() && (peer.zone < 0 || peer.zone == settings.zone())) {
                remaining--;
                sendToPeer(peer.number, message);
            }
        }
    }

    /**
     * Sends to one peer of one other zone, the zones in turn. A message to each of many zones would use up the byte
     * budget for the peers of the own zone.
     */
    private void sendToNeighbourZone() {
        lastToldZoneOffset = 1 + lastToldZoneOffset % Math.max(1, settings.zoneCount() - 1);
        int zone = (settings.zone() + lastToldZoneOffset) % settings.zoneCount();
        Peer peer = Peer.firstInZone(zone, peers, random.nextInt(peers.length));
        if (peer != null && peer.zone != settings.zone()) {
            sendToPeer(peer.number, newOffer().withoutGrant());
        }
    }

    /** The probability that no neighbour accepts a job: the product of 1 - P over the neighbours. */
    private double neighboursRejectProbability() {
        double product = 1;
        for (Peer peer : peers) {
            product *= isNeighbour(peer) ? 1 - peer.acceptance : 1;
        }
        return product;
    }

    /** An offer of some free slots of owned workers; of none while jobs are held here. */
    private PeerMessage newOffer() {
        PeerMessage message = newMessage(PeerMessage.Type.OFFERS);
        Worker last = null;
        for (int k = 0; k < workerIndex.kindGroups() && heldSlots == 0; k++) {
            for (int i = 0; i < Math.min(workerIndex.openCount(k), 3); i++) {
                Worker worker = workerIndex.openWorker(k, random.nextInt(workerIndex.openCount(k)));
                if (worker.coldSince == 0 && worker != last && worker.failedTrials == 0) {
                    message.addSlots(worker.hash, (int) (freeSlots(worker) + 1) / 2);
                    last = worker;
                }
            }
        }
        return message;
    }

    /** Adds loans of the budgets of owned cold workers to a message for a peer that asks for slots. */
    private PeerMessage addLoans(Peer peer, PeerMessage message) {
        double share = Peer.roundUpToBudgetUnits(estimates.longestSlotTime());
        for (Worker worker :
                peer.mayLend(message, now, settings.zone()) ? workerIndex.coldOwned() : List.<Worker>of()) {
            if (worker.openIndex >= 0 && coldBudgetCovers(worker, share, true)) {
                peer.lend(worker, share, message, now);
            }
        }
        return message;
    }

    /**
     * Returns borrowed budget that no job here waits for, or that has expired. Kept, it would leave the cold worker
     * idle while other dispatchers hold jobs.
     */
    private void returnUnusedLoan(Peer peer, boolean wanted) {
        if (!peer.hasUnusedLoan(wanted, now, OFFER_LIFETIME_US)) {
            return;
        }
        sendToPeer(peer.number, peer.returnUnusedBudget(newMessage(PeerMessage.Type.RETURNS)));
    }

    /** Tells the owner of a borrowed worker at once which slots local jobs use there, or use no more. */
    private void reportToLender(Worker worker) {
        if (worker.ownedLocally || worker.lender < 0) {
            return;
        }
        PeerMessage message = newMessage(PeerMessage.Type.BORROWS);
        message.addSlots(worker.hash, worker.localSlots);
        sendToPeer(worker.lender, message);
        peers[worker.lender].scheduleHoldsReport(now);
    }

    @Override
    public void peerMessage(long clock, int peerNumber, byte[] bytes) {
        now = clock;
        PeerMessage message = PeerMessage.decode(bytes, now);
        if (message == null
                || peerNumber < 0
                || peerNumber >= peers.length
                || peerNumber == settings.self()
                || message.zone >= settings.zoneCount()) {
            return;
        }
        Peer peer = peers[peerNumber];
        // After one side was stopped for days, the gap between two messages would be averaged into the peer's interval,
        // and its failure would go unnoticed for as long: start anew.
        if (peer.lastHeardAt > 0 && !isHeard(peer)) {
            peer.forget(this::refresh);
        }
        boolean firstMessage = peer.lastHeardAt == 0;
        peer.recordMessage(message, now, MAX_EXCHANGE_PERIOD_US);
        // the list here may be late, and not name a cold worker that the peer knows
        if (message.knowsColdWorker && message.zone == settings.zone()) {
            coldAnnouncedUntil = now + ColdShares.LEASE_US;
        }
        coldShares.receiveGrant(
                peerNumber,
                message.zone != settings.zone(),
                message.grantees,
                message.heardPeers,
                message.otherZonePeers,
                message.timestamp,
                now);
        zoneLastHeardAt[message.zone] = now;
        // with P < 1 the peer holds jobs, and without an offer of its own it asks for slots: answer with an offer
        boolean asks = message.type == PeerMessage.Type.OFFERS
                && message.entryCount == 0
                && message.acceptance < 1
                && heldSlots == 0;
        // a peer that is heard for the first time may have just started, and has to learn of this dispatcher too
        if (firstMessage || asks && workerIndex.hasOpen()) {
            PeerMessage answer = asks ? addLoans(peer, newOffer()) : newOffer();
            sendToPeer(peerNumber, firstMessage ? Peer.attachOtherZones(coldShares, answer) : answer);
        }
        int zoneOfWorkers = message.type == PeerMessage.Type.OFFERS ? peer.zone : settings.zone();
        Worker[] named = workerIndex.find(zoneOfWorkers, message);
        if (message.type == PeerMessage.Type.OFFERS) {
            returnUnusedLoan(peer, false); // the new offer replaces an earlier loan
            peer.recordOffers(named, message, now, startedAt, OFFER_LIFETIME_US);
            zoneOffersValidUntil = peer.zone == settings.zone() && message.entryCount > 0
                    ? now + OFFER_LIFETIME_US
                    : zoneOffersValidUntil;
        } else if (message.type == PeerMessage.Type.RETURNS) {
            peer.acceptReturnedBudget(named, message, now);
        } else if (message.type == PeerMessage.Type.HOLDS) {
            peer.replaceHolds(named, message.entryValues, now, this::refresh);
        } else {
            peer.updateHolds(named, message.entryValues, now, this::refresh);
        }
        combinedAcceptance = 1 - (1 - acceptance) * neighboursRejectProbability();
        sendHeld();
        returnUnusedLoan(peer, heldSlots > 0);
        if (isNeighbour(peer) && message.type == PeerMessage.Type.OFFERS && message.entryCount > 0) {
            spillHeld();
        }
    }

    /**
     * Draws held jobs for spilling again when a neighbour offers slots. A zone that lost its workers would otherwise
     * hold its jobs and refuse them at their deadlines while a neighbour's workers stand idle.
     */
    private void spillHeld() {
        acceptance = currentAcceptance();
        for (int rank : new int[] {RANK_IN_SHARE, RANK_LATE}) { // over-share jobs are not worth a slot of another zone
            for (HeldQueue[] byRank : queues) {
                Job job = byRank[rank].head;
                while (job != null && random.nextDouble() >= acceptance && spill(job)) {
                    job = byRank[rank].head;
                }
            }
        }
    }

    /** Drops the holds of peers that have fallen silent: restarted, cut off by the network, or failed. */
    private void forgetSilentPeers() {
        for (Peer peer : peers) {
            if (peer.lastHeardAt > 0 && !isHeard(peer)) {
                peer.forget(this::refresh);
            }
            peer.dropExpiredHolds(now, this::refresh);
        }
    }

    private void updateShares() {
        Peer.TrafficShares traffic = Peer.trafficShares(peers, settings.self(), settings.zone(), requestRate);
        zoneTrafficShare = traffic.ofZone();
        fleetTrafficShare = traffic.ofFleet();
        zoneSlots = 0;
        // Every dispatcher times the warm-up of all workers, not only of those it owns: one that took a worker for cold
        // for good would use no slot offered there. A worker that is warm passes from its guardian to its warm owner.
        ownershipFingerprint = workerIndex.promoteWarm(now - settings.coldPeriod()) ? 0 : ownershipFingerprint;
        zoneHasCold = workerIndex.hasCold();
        for (int k = 0; k < workerIndex.kindGroups(); k++) {
            zoneSlots += workerIndex.availableCount(k) * estimates.availableSlots(k);
        }
    }

    // ---- health ----
    private void checkHealth() {
        int step = Math.min(workerIndex.ownedCount(), 1 + workerIndex.ownedCount() / 8);
        for (Worker worker : workerIndex.watched(healthCheckPosition, step)) {
            if (worker.suspect && worker.attempts.isEmpty() && now >= worker.nextTrialAt) {
                clearSuspicion(worker, worker.failedTrials);
            }
            if (!worker.suspect && SuspicionLevel.nats(worker, now, estimates, settings) > SUSPICION_NATS) {
                markSuspect(worker);
            }
        }
        healthCheckPosition += step;
    }

    /**
     * Takes a worker out of service and moves its jobs to others. A worker that hangs accepts jobs and never ends them:
     * its slots stay in use for good, and would still count as slots of the zone in P.
     */
    private void markSuspect(Worker worker) {
        worker.suspect = true;
        scheduleTrial(worker);
        refresh(worker);
        for (Attempt attempt : new ArrayList<>(worker.attempts)) {
            Job job = attempt.job;
            if (job.finished
                    || job.streaming
                    || job.spec.idempotency() == Idempotency.UNSAFE
                    || job.attemptCount >= settings.maxAttempts()
                    || attempt.cancelled
                    || now > job.request.validUntil() - 3 * TICK_US) {
                continue;
            }
            if (settings.parallelAttempts() && job.queue == null && takeRepeat(job)) {
                hold(job, true);
            } else if (!settings.parallelAttempts()) {
                cancel(attempt);
            }
        }
    }

    private void scheduleTrial(Worker worker) {
        worker.nextTrialAt =
                now + withJitter(FIRST_TRIAL_DELAY_US << Math.min(worker.failedTrials, MAX_TRIAL_DELAY_DOUBLINGS));
        worker.failedTrials = saturatingIncrement(worker.failedTrials);
    }

    /**
     * Adds up to a quarter at random. After a common outage all dispatchers wait, and clients refused at one time wait
     * too; with equal delays they would come back together, and again after each further delay.
     */
    private long withJitter(long minDelayUs) {
        return minDelayUs + random.nextLong(minDelayUs / 4 + 1);
    }

    /** Counts up to the largest int and stays there: a count that wraps would be a negative shift, index or divisor. */
    static int saturatingIncrement(int count) {
        return Math.min(count, Integer.MAX_VALUE - 1) + 1;
    }

    private void recordSignOfLife(Worker worker) {
        worker.lastSignOfLifeAt = now;
        worker.consecutiveResets = 0;
        if (worker.suspect && worker.consecutiveErrors < ERRORS_UNTIL_SUSPECT) {
            clearSuspicion(worker, 0);
        }
    }

    private void clearSuspicion(Worker worker, int failedTrials) {
        worker.failedTrials = failedTrials;
        worker.suspect = false;
        worker.busySince = now;
        refresh(worker);
    }

    /** A worker that breaks connections may have restarted: it is treated as cold before the list says that it is. */
    private void handleBroken(Worker worker, boolean restarted) {
        if (restarted) {
            markCold(now, worker);
        }
        if (!worker.suspect) {
            markSuspect(worker);
        }
    }

    // ---- ends of attempts and requests ----
    private Attempt findAttempt(long id, int number) {
        Job job = jobs.get(id);
        return job != null && number >= 0 && number < job.attemptCount ? job.attempts[number] : null;
    }

    @Override
    public void jobProgress(long clock, long id, int number, boolean started) {
        now = clock;
        Attempt attempt = findAttempt(id, number);
        if (attempt != null) {
            if (started && attempt.startedAt == 0) {
                attempt.worker.coldBudget.growth.jobStarted(now, attempt.sentAt);
            }
            attempt.startedAt = started ? now : attempt.startedAt;
            attempt.lastProgressAt = now;
            recordSignOfLife(attempt.worker);
        }
    }

    @Override
    public void streamStarted(long clock, long id, int number) {
        now = clock;
        Attempt attempt = findAttempt(id, number);
        if (attempt != null) {
            attempt.job.streaming = true;
            stopHolding(attempt.job);
            recordSignOfLife(attempt.worker);
        }
    }

    @Override
    public void attemptEnded(
            long clock, long id, int number, Outcome outcome, long took, boolean answered, Report report) {
        now = clock;
        Attempt attempt = findAttempt(id, number);
        if (attempt == null || attempt.ended) {
            return;
        }
        Job job = attempt.job;
        Worker worker = attempt.worker;
        attempt.ended = true;
        attempt.neverRan = outcome.neverRan;
        attempt.workerReportedError = outcome == Outcome.ERROR;
        job.resetDuringAttempt |= outcome == Outcome.RESET;
        job.attemptsInFlight--;
        worker.attempts.remove(attempt);
        worker.localSlots -= job.request.slots();
        recordOutcome(attempt, outcome, took);
        if (report != null) {
            learnFromReport(worker, report);
        }
        refresh(worker);
        reportToLender(worker);
        if (job.finished && job.attemptsInFlight == 0) {
            jobs.remove(id);
        }
        if (!job.finished && answered) {
            finish(job);
        }
        if (!job.finished && job.attemptsInFlight == 0) {
            retryOrEnd(job);
        }
        sendHeld();
    }

    private void recordOutcome(Attempt attempt, Outcome outcome, long took) {
        Worker worker = attempt.worker;
        switch (outcome) {
            case OK -> {
                worker.consecutiveErrors = 0;
                worker.consecutiveFulls = attempt.sentAt > worker.lastFullAt ? 0 : worker.consecutiveFulls;
                int jobClass = attempt.job.request.jobClass();
                long ran = attempt.startedAt > 0 ? Math.max(1, now - attempt.startedAt) : Math.max(1, took);
                estimates.recordRunTime(jobClass, kindGroup(worker.kind), ran);
                worker.runningTimeRatio +=
                        (Math.min(4, ran / estimates.meanRunTime[jobClass]) - worker.runningTimeRatio) * 0.05;
                recordSignOfLife(worker);
            }
            case ERROR -> {
                recordSignOfLife(worker);
                // a worker that fails each job at once always has free slots, and would attract all jobs
                if (++worker.consecutiveErrors >= ERRORS_UNTIL_SUSPECT) {
                    markSuspect(worker);
                }
            }
            case FULL -> {
                // a worker that drains before the list says so rejects every job: back off, and longer each time
                worker.backoffUntil = now
                        + withJitter(
                                FIRST_FULL_BACKOFF_US << Math.min(worker.consecutiveFulls, MAX_FULL_BACKOFF_DOUBLINGS));
                worker.consecutiveFulls = saturatingIncrement(worker.consecutiveFulls);
                worker.lastFullAt = now;
                worker.coldBudget.growth.jobWaited(now);
            }
            case CONNECT_FAILED -> handleBroken(worker, false);
            // One broken connection does not make a broken worker, whose jobs would all be moved. A broken one resets
            // all its connections, with no other sign of life between them.
            case RESET -> {
                if (++worker.consecutiveResets >= RESETS_UNTIL_SUSPECT) {
                    handleBroken(worker, true);
                }
            }
            default -> {}
        }
    }

    /** No attempt of the job is in flight any more: holds it for another attempt, or ends it. */
    private void retryOrEnd(Job job) {
        if (job.queue != null) {
            return;
        }
        boolean repeatable = job.spec.idempotency() != Idempotency.UNSAFE || job.provenNotRun();
        boolean retry = repeatable
                && job.attemptCount < settings.maxAttempts()
                && now < job.request.validUntil() - 3 * TICK_US
                && takeRepeat(job);
        if (retry) {
            hold(job, true);
        } else {
            endUnserved(job);
        }
    }

    /** Takes a repeat out of the budget already when a job is held for it: many may be held before one is sent. */
    private boolean takeRepeat(Job job) {
        return job.provenNotRun() || repeatBudget.tryTake();
    }

    private void endUnserved(Job job) {
        if (mayRefuse(job)) {
            actions.refuse(job.request.id(), retryAfterUs(job));
        } else {
            actions.fail(job.request.id());
        }
        finish(job);
    }

    /** When a refused client should retry: once this dispatcher's share of the zone has run the jobs held now. */
    private long retryAfterUs(Job job) {
        double rounds = heldSlots / Math.max(zoneSlots * zoneTrafficShare, 1);
        long minDelayUs = Math.max(TICK_US, (long) (rounds * estimates.meanRunTime[job.request.jobClass()]));
        return Math.min(settings.maxRetryAfter(), withJitter(minDelayUs));
    }

    private void finish(Job job) {
        job.finished = true;
        stopHolding(job);
        // finished jobs stay in the deadline queue; left there until their deadlines they would fill the memory
        if (++finishedSinceCleanup > 64 + jobsByDeadline.size() / 2) {
            jobsByDeadline.removeIf(queued -> queued.finished);
            finishedSinceCleanup = 0;
        }
        if (job.attemptsInFlight == 0) {
            jobs.remove(job.request.id());
        }
        for (int i = 0; i < job.attemptCount && !job.streaming; i++) {
            cancel(job.attempts[i]);
        }
    }

    private void cancel(Attempt attempt) {
        if (settings.canCancel() && !attempt.ended && !attempt.cancelled) {
            attempt.cancelled = true;
            actions.cancelAttempt(attempt.job.request.id(), attempt.number);
        }
    }

    @Override
    public void clientGone(long clock, long id) {
        now = clock;
        Job job = jobs.get(id);
        if (job != null && !job.finished) {
            finish(job);
        }
    }

    // ---- what the rules allow ----
    /** Whether the client may be told that a retry does no harm. */
    private static boolean mayRefuse(Job job) {
        return job.spec.idempotency() == Idempotency.SAFE
                || job.provenNotRun()
                || job.spec.idempotency() == Idempotency.KEYED && job.spec.dedupScope() == DedupScope.ALL;
    }

    /** Whether the rules allow sending the job to this worker now; checked before every attempt. */
    private boolean maySend(Job job, Worker worker) {
        if (job.finished
                || job.streaming
                || job.attemptCount >= settings.maxAttempts()
                || worker.state != WorkerState.IN_SERVICE
                || job.attemptsInFlight > 0 && !settings.parallelAttempts()) {
            return false;
        }
        for (int i = 0; i < job.attemptCount; i++) {
            Attempt attempt = job.attempts[i];
            if (attempt.ended && attempt.neverRan) {
                continue;
            }
            // the worker that failed the job has a free slot at once, and would get all its further attempts
            if (attempt.workerReportedError && attempt.worker == worker && hasOtherWorker(job, worker)) {
                return false;
            }
            if (job.spec.idempotency() == Idempotency.UNSAFE || attempt.worker == worker && !attempt.ended) {
                return false;
            }
            if (job.spec.idempotency() == Idempotency.KEYED
                    && (now >= attempt.sentAt + job.spec.keyTtl() - TICK_US
                            || !DispatcherState.sameGroup(job.spec.dedupScope(), attempt.worker, worker))) {
                return false;
            }
        }
        return true;
    }

    private boolean hasOtherWorker(Job job, Worker worker) {
        for (Worker other : workerIndex.inOwnZone()) {
            if (other != worker
                    && other.state == WorkerState.IN_SERVICE
                    && !other.suspect
                    && (job.spec.idempotency() != Idempotency.KEYED
                            || DispatcherState.sameGroup(job.spec.dedupScope(), worker, other))) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether this dispatcher's share of a cold worker's budget, which grows with the worker's capacity, covers that
     * slot time. The share may grow beyond its own part only while jobs wait: else the dispatcher would fill the slow
     * cold workers first while warm ones have free slots.
     */
    private boolean coldBudgetCovers(Worker worker, double slotTimeUs, boolean jobsWait) {
        double rate = coldRate.perSlotAtAge(now - worker.coldSince)
                * estimates.totalSlots(kindGroup(worker.kind))
                / processCount;
        double share = worker.coldBudget.share(coldShares, now, worker.hash, worker.zone == settings.zone());
        share = jobsWait ? worker.coldBudget.growth.grow(share, now) : share;
        return worker.coldBudget.covers(slotTimeUs, now, share, rate, coldShares.phase(worker.hash));
    }

    /** Slot time that a job is expected to take at a worker if it runs there alone. */
    private double expectedSlotTimeUs(Job job, Worker worker) {
        return estimates.expectedSlotTime(job.request, kindGroup(worker.kind));
    }

    private void markCold(long restartedAt, Worker worker) {
        workerIndex.markCold(worker, restartedAt);
        zoneHasCold = true;
        ownershipFingerprint = 0;
    }

    // ---- list of workers ----
    @Override
    public void workerList(long clock, ListKind kind, List<WorkerInfo> entries) {
        now = clock;
        boolean first = !listReceived;
        listReceived = true;
        boolean changed = kind != ListKind.CHANGES; // a worker that a whole list does not name is gone
        if (changed) {
            workerIndex.markAllGone();
        }
        for (WorkerInfo entry : entries) {
            changed |= applyEntry(entry, first);
        }
        if (changed) {
            reassignWorkers();
        }
        if (first) {
            start();
        }
        if (kind != ListKind.WARM_COPY) {
            discoveryPace.listReceived();
        }
    }

    /** Applies one entry of a list; returns whether the worker is new or has changed its state or zone. */
    private boolean applyEntry(WorkerInfo entry, boolean firstList) {
        Worker worker = workerIndex.get(entry.address());
        boolean added = worker == null;
        if (added) {
            worker = new Worker(entry.address(), entry.kind());
            workerIndex.add(worker);
        }
        boolean changed = added || worker.state != entry.state() || worker.zone != entry.zone();
        worker.zone = entry.zone();
        worker.cell = entry.cell();
        worker.state = entry.state();
        // cold is a worker whose start is recent, or that appears after the first list without a known start
        long started = entry.startedAt() > 0 ? entry.startedAt() : added && !firstList ? now : 0;
        if (started > worker.coldSince && now - started < settings.coldPeriod()) {
            markCold(started, worker);
            worker.suspect = false;
            worker.failedTrials = 0;
        }
        if (changed) {
            workerIndex.markChanged(worker);
        }
        return changed;
    }

    private boolean hasDispatchers(int zone) {
        return zone == settings.zone()
                || zoneLastHeardAt[zone] > 0 && now - zoneLastHeardAt[zone] <= ZONE_ABANDONED_AFTER_US;
    }

    /** Reassigns the workers if the dispatchers that are heard, or the zones that have dispatchers, have changed. */
    private void updateOwnership() {
        settled = now - startedAt > STARTUP_SETTLE_US || peers.length == 1;
        int fingerprint = settled ? 1 : 0;
        for (Peer peer : peers) {
            if (peer.lastHeardAt > 0 && peer.zone >= 0) {
                int zoneAndCounted = peer.zone + (coldShares.canDelegateTo(peer.number, now) ? 0 : 1 << 20);
                fingerprint =
                        (int) DispatcherState.mix(fingerprint, 1 + peer.number * settings.zoneCount() + zoneAndCounted);
            }
        }
        for (int z = 0; z < zoneLastHeardAt.length; z++) {
            fingerprint = (int) DispatcherState.mix(fingerprint, hasDispatchers(z) ? z : ~z);
        }
        if (fingerprint != ownershipFingerprint) {
            ownershipFingerprint = fingerprint;
            reassignWorkers();
        }
    }

    /** Assigns workers to zones and owners anew, and updates those whose assignment may have changed. */
    private void reassignWorkers() {
        int[] zoneMembers = Arrays.stream(peers)
                .filter(peer -> peer.number == settings.self() || peer.lastHeardAt > 0 && peer.zone == settings.zone())
                .mapToInt(peer -> peer.number)
                .toArray();
        BitSet servedZones = new BitSet();
        for (int z = 0; z < zoneLastHeardAt.length; z++) {
            servedZones.set(z, !settled || hasDispatchers(z));
        }
        int[] countedMembers = Arrays.stream(zoneMembers)
                .filter(member -> coldShares.canDelegateTo(member, now))
                .toArray();
        boolean ownershipChanged = ownership.update(zoneMembers, countedMembers, servedZones);
        for (Worker worker : workerIndex.reassign(ownership, ownershipChanged, estimates)) {
            if (worker.assignedZone == settings.zone()) {
                updateLender(worker, ownership.owner(worker));
            }
            for (int i = 0; worker.peerSlots > 0 && i < peers.length; i++) {
                // a worker that is gone has no jobs, and the jobs at another dispatcher's worker are reported to that
                // one: no message would ever end these holds
                boolean reportedElsewhere = !worker.ownedLocally && peers[i].zone == settings.zone();
                if (reportedElsewhere || worker.state == WorkerState.GONE) {
                    peers[i].setHold(worker, 0, now);
                }
            }
            refresh(worker);
        }
    }

    /**
     * Records a worker's owner as the lender of the slots that local jobs use there. A worker may change its owner
     * with local jobs on it; the new one would count their slots as free, so it is told of them.
     */
    private void updateLender(Worker worker, int owner) {
        boolean newOwnerOfJobs = worker.localSlots > 0 && worker.lender != owner;
        worker.lender = worker.ownedLocally ? -1 : newOwnerOfJobs ? owner : worker.lender;
        if (newOwnerOfJobs) {
            reportToLender(worker);
        }
    }

    private void start() {
        lastTickAt = now;
        startedAt = now;
        updateOwnership();
        updateShares();
        // a random phase: the timers of a fleet that starts together must not run in step
        nextExchangeAt = now + random.nextLong(MIN_EXCHANGE_PERIOD_US);
        for (Peer peer : peers) {
            sendToPeer(peer.number, newMessage(PeerMessage.Type.OFFERS));
        }
        actions.startTimer(TICK_TOKEN, 1 + random.nextLong(TICK_US));
        probeCredit = Math.min(12, workerIndex.ownedCount());
        for (int i = 0; i < 3; i++) {
            probePosition = random.nextInt(1 << 20);
            sendProbes();
        }
        if (settings.listOnDemand()) {
            subscribeAfter(discoveryPace.firstDelay(random));
        }
    }

    /** While attempts can't be opened none is sent: each would end at once and use up one of its job's attempts. */
    @Override
    public void attemptCapacityChanged(long clock, boolean available) {
        now = clock;
        canOpenAttempts = available;
        sendHeld();
    }

    @Override
    public void workerListFailed(long clock, WatchEnd reason) {
        now = clock;
        subscribeAfter(discoveryPace.retryDelay(random, reason));
    }

    private void subscribeAfter(long delayUs) {
        if (delayUs > 0) {
            actions.startTimer(SUBSCRIBE_TOKEN, discoveryPace.schedule(delayUs, now));
        } else {
            actions.subscribe();
        }
    }

    long workerLookups() {
        return workerIndex.lookups();
    }

    @Override
    public void tenantsChanged(long clock, List<Tenant> tenants) {
        now = clock;
        allowances.updateTenants(tenants);
    }

    @Override
    public int avoidedWorkers() {
        return workerIndex.avoided();
    }

    @Override
    public SharingStatus sharing() {
        return workerIndex.sharing(peers, coldShares, now);
    }

    // ---- another process of this dispatcher, which replaces this one or is replaced by it ----
    @Override
    public HandoverState handoverState() {
        return new HandoverState(workerIndex.localSlotsByAddress(), estimates.snapshot());
    }

    @Override
    public void otherProcessState(long clock, HandoverState other) {
        now = clock;
        estimates.restore(other.learned());
        processCount = other.equals(HandoverState.NONE) ? 1 : 2;
        repeatBudget.shareAmong(processCount);
        for (Worker worker : workerIndex.all()) {
            siblingProcess.setHold(worker, other.busySlots().getOrDefault(worker.address, 0), now);
            refresh(worker);
        }
        sendHeld();
    }

    // ---- time ----
    @Override
    public void timerFired(long clock, long token) {
        now = clock;
        if (token == SUBSCRIBE_TOKEN && discoveryPace.isDue(now)) {
            actions.subscribe();
        }
        if (token != TICK_TOKEN) {
            return;
        }
        double seconds = (now - lastTickAt) / 1e6;
        // Shortly after the start the average covers only the time since then. Averaged from zero the rate, and with it
        // each tenant's share, would be too low, and most first requests would count as over their share.
        double averagingS = Math.min(RATE_AVERAGING_S, (now - startedAt) / 1e6);
        requestRate += (arrivalsSinceTick / Math.max(seconds, 1e-3) - requestRate)
                * Math.min(1, seconds / Math.max(averagingS, 1e-3));
        arrivalsSinceTick = 0;
        lastTickAt = now;
        allowances.refill(seconds, fleetTrafficShare);
        repeatBudget.refill(seconds);
        if (tickCount++ % 8 == 0 || now - startedAt < STARTUP_SETTLE_US / 2) {
            forgetSilentPeers();
            updateOwnership();
            updateShares();
        }
        for (Worker worker : workerIndex.coldOwned()) {
            coldBudgetCovers(worker, 0, heldSlots > 0); // fills the budget for the time that has passed
        }
        checkHealth();
        endExpiring();
        sendHeld();
        for (Peer peer : peers) {
            returnUnusedLoan(peer, heldSlots > 0);
            if (!peer.isHoldsReportDue(now)) {
                continue;
            }
            sendToPeer(
                    peer.number, peer.addHoldsReport(now, workerIndex.borrowed(), newMessage(PeerMessage.Type.HOLDS)));
        }
        sendConstrained();
        spillPressed();
        sendProbes();
        acceptance = currentAcceptance();
        if (settings.peerMessages() && now >= nextExchangeAt) {
            exchange();
            lastExchangeAt = now;
            // only ever shorter than the period: an exchange that is due just after a tick waits for the next one
            nextExchangeAt = now + exchangePeriod - random.nextLong(exchangePeriod / 4);
        }
        actions.startTimer(TICK_TOKEN, TICK_US);
    }

    /** Draws held jobs for spilling again when half their slack is used up. */
    private void spillPressed() {
        for (int c = 0; c < queues.length; c++) {
            Job job = queues[c][RANK_IN_SHARE].head;
            boolean pressed = job != null && now - job.arrivedAt > slackUs(c) / 2;
            if (pressed && random.nextDouble() >= currentAcceptance()) {
                spill(job);
            }
        }
    }

    /** Ends held jobs two ticks before their deadline: the client must have its answer before it gives up. */
    private void endExpiring() {
        while (!jobsByDeadline.isEmpty() && jobsByDeadline.peek().request.validUntil() <= now + 2 * TICK_US) {
            Job job = jobsByDeadline.poll();
            if (job.attemptsInFlight == 0 && !job.finished) {
                endUnserved(job);
            } else {
                stopHolding(job);
            }
        }
    }

    /** Tries the jobs that only some workers may take; they wait outside the order of the other ranks. */
    private void sendConstrained() {
        for (HeldQueue[] byRank : queues) {
            Job job = byRank[RANK_CONSTRAINED].head;
            for (int i = 0; job != null && i < 32; i++) {
                Job next = job.next;
                if (!sendTo(job, chooseWorker(job)) && hasNoPossibleWorker(job)) {
                    endUnserved(job);
                }
                job = next;
            }
        }
    }

    /** Whether no worker of the job's group is left; the client is then answered at once, not at the deadline. */
    private boolean hasNoPossibleWorker(Job job) {
        return job.attemptsInFlight == 0
                && job.spec.idempotency() == Idempotency.KEYED
                && !job.provenNotRun()
                && workerIndex.all().stream().noneMatch(worker -> maySend(job, worker));
    }
}
