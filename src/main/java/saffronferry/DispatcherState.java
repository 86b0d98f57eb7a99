package saffronferry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.function.Consumer;
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.Request;
import saffronferry.Contract.WorkerState;
import saffronferry.fleet.ColdBudget;
import saffronferry.fleet.ColdShares;
import saffronferry.fleet.IncomingTransfers;
import saffronferry.fleet.OutgoingTransfers;

/** The state of one dispatcher: workers, call attempts, jobs and peers. The decisions are {@link Dispatcher}'s. */
final class DispatcherState {
    private DispatcherState() {}

    /** Whether the two workers belong to one group, among which repeats of a keyed request are discarded. */
    static boolean sameGroup(DedupScope group, Worker a, Worker b) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> a.zone == b.zone;
            case CELL -> a.zone == b.zone && a.cell == b.cell;
        };
    }

    /** A hash of the pair; equal on all dispatchers, which must come to the same result independently. */
    static long mix(int a, int b) {
        long h = (a * 0x9E3779B97F4A7C15L) ^ (b * 0xC2B2AE3D27D4EB4FL);
        h = (h ^ h >>> 29) * 0xBF58476D1CE4E5B9L;
        return h ^ h >>> 32;
    }

    static final class Worker {
        final String address;
        final int hash;
        int kind;
        int zone;
        int cell;
        WorkerState state;
        long coldSince; // 0: warm
        final ColdBudget coldBudget = new ColdBudget();
        int localSlots; // in use by jobs of this dispatcher
        int peerSlots; // in use by jobs of peers, as they reported
        double runningTimeRatio = 1; // running time over the mean of the class
        long backoffUntil;
        boolean suspect;
        long nextTrialAt;
        int failedTrials;
        long lastSignOfLifeAt;
        long busySince;
        long lastProbeAt;
        long lastFullAt;
        int consecutiveFulls;
        int consecutiveErrors;
        int consecutiveResets; // since the last sign of life
        int assignedZone = -1; // zone whose dispatchers send to it; -1: none, or the worker is gone
        int warmOwner = -1; // dispatcher of this zone that owns it while it is warm
        int lender = -1; // dispatcher that last offered a slot there
        boolean ownedLocally; // this dispatcher is its owner
        double averageUsedSlots; // slots in use, averaged over about the age of a report
        int usedSlotsAtUpdate;
        long usedSlotsUpdatedAt;
        int openIndex = -1; // position among the open workers of its kind; -1: not open
        // membership in the indexes of WorkerIndex
        boolean inBorrowedIndex;
        boolean inWatchedIndex;
        boolean countedAvailable;
        final ArrayList<Attempt> attempts = new ArrayList<>(4);

        Worker(String address, int kind) {
            this.address = address;
            this.kind = kind;
            int h = address.hashCode() * 0x9E3779B1;
            hash = (h ^ h >>> 15) >>> 8;
        }
    }

    static final class Attempt {
        final Job job;
        final Worker worker;
        final int number;
        final long sentAt;
        long startedAt;
        long lastProgressAt;
        boolean ended;
        boolean neverRan;
        boolean workerReportedError;
        boolean cancelled;

        Attempt(Job job, Worker worker, int number, long sentAt) {
            this.job = job;
            this.worker = worker;
            this.number = number;
            this.sentAt = sentAt;
        }
    }

    static final class Job {
        /** A named class: the class data sharing archive cannot hold lambdas made by comparator combinators. */
        static final Comparator<Job> BY_DEADLINE = new Comparator<>() {
            @Override
            public int compare(Job a, Job b) {
                int byDeadline = Long.compare(a.request.validUntil(), b.request.validUntil());
                return byDeadline != 0 ? byDeadline : Long.compare(a.request.id(), b.request.id());
            }
        };

        final Request request;
        final JobClass spec;
        final long arrivedAt;
        final boolean overShare;
        Attempt[] attempts = new Attempt[2];
        int attemptCount;
        int attemptsInFlight;
        boolean finished;
        boolean streaming;
        /**
         * A connection broke while a worker ran the job. The job may have been too much for it, so no cold worker gets
         * it: a heavy job would overload one cold worker after the other.
         */
        boolean resetDuringAttempt;

        HeldQueue queue;
        Job next;
        Job previous;

        Job(Request request, JobClass spec, long arrivedAt, boolean overShare) {
            this.request = request;
            this.spec = spec;
            this.arrivedAt = arrivedAt;
            this.overShare = overShare;
        }

        void add(Attempt attempt) {
            if (attemptCount == attempts.length) {
                attempts = Arrays.copyOf(attempts, 2 * attemptCount);
            }
            attempts[attemptCount++] = attempt;
            attemptsInFlight++;
        }

        /** Whether every attempt has ended with proof that the worker did not run the job. */
        boolean provenNotRun() {
            for (int i = 0; i < attemptCount; i++) {
                if (!attempts[i].ended || !attempts[i].neverRan) {
                    return false;
                }
            }
            return true;
        }
    }

    /** Held jobs of one class and rank, oldest first; a doubly linked list through the jobs. */
    static final class HeldQueue {
        int slots;
        Job head;
        Job tail;

        void add(Job job, boolean front) {
            slots += job.request.slots();
            job.queue = this;
            job.next = front ? head : null;
            job.previous = front ? null : tail;
            if (job.previous != null) {
                job.previous.next = job;
            } else {
                head = job;
            }
            if (job.next != null) {
                job.next.previous = job;
            } else {
                tail = job;
            }
        }

        void moveTo(Job job, HeldQueue other) {
            remove(job);
            other.add(job, false);
        }

        void remove(Job job) {
            slots -= job.request.slots();
            if (job.previous != null) {
                job.previous.next = job.next;
            } else {
                head = job.next;
            }
            if (job.next != null) {
                job.next.previous = job.previous;
            } else {
                tail = job.previous;
            }
            job.queue = null;
            job.next = null;
            job.previous = null;
        }
    }

    /** What a dispatcher knows of another one, and the slots and cold budgets that both have lent each other. */
    static final class Peer {
        /** Loans to one peer are told apart by their message's stamp, which has a resolution of 4 ms. */
        private static final long MIN_LOAN_INTERVAL_US = 5_000;
        /** How often a lender is told of all jobs on its slots while there are any. */
        private static final long HOLDS_REPORT_INTERVAL_US = 500_000;
        /** How long such a report counts: three may be lost in a row. */
        private static final long HOLDS_LIFETIME_US = 1_600_000;
        /** Datagrams get lost: only after so many missing ones is a peer taken for silent. */
        private static final int MISSED_PERIODS_UNTIL_SILENT = 6;

        final int number;
        int zone = -1;
        /** P: the probability with which the peer accepts another request. */
        double acceptance = 1;
        /** R: the probability that the peer or one of its neighbours accepts another request. */
        double combinedAcceptance = 1;

        double requestRate;
        long lastHeardAt; // 0: never, or forgotten
        long messageInterval; // smoothed
        private final ArrayList<Hold> holds = new ArrayList<>();
        Worker[] offeredWorkers = new Worker[0]; // null for workers that are not on the list here
        int[] offeredAmounts = new int[0];
        private int[] offeredHashes = new int[0]; // also of workers not on the list: loans there are returned too
        boolean[] offeredAsBudget = new boolean[0]; // whether the amount is a share of a cold worker's budget
        long offeredAt;
        final IncomingTransfers borrowedBudget = new IncomingTransfers();
        long nextLoanAt;
        private final OutgoingTransfers lentBudget = new OutgoingTransfers();
        long totalLentUs; // slot time, since this process started
        long totalReturnedUs;
        long totalBorrowedUs;
        private long borrowedStamp;
        private long nextHoldsReportAt; // when to report all jobs on this peer's workers; 0: nothing to report

        Peer(int number) {
            this.number = number;
        }

        void recordMessage(PeerMessage message, long now, long firstInterval) {
            zone = message.zone;
            acceptance = message.acceptance;
            combinedAcceptance = message.combinedAcceptance;
            requestRate = message.requestRate;
            messageInterval = lastHeardAt == 0
                    ? firstInterval
                    : Math.max(message.exchangePeriod, (3 * messageInterval + now - lastHeardAt) / 4);
            lastHeardAt = now;
        }

        /**
         * How long the peer may be silent before it counts as failed. At least two leases, so that a membership
         * announcement, which stands for one lease, never names a peer that is forgotten meanwhile.
         */
        long silenceTimeout() {
            return Math.max(MISSED_PERIODS_UNTIL_SILENT * messageInterval, 2 * ColdShares.LEASE_US);
        }

        /**
         * Adds to an offer which dispatchers of the zone are heard, this one included. Only those are named that will
         * not be forgotten within the lease for which the announcement stands.
         */
        static void attachMembership(Peer[] peers, ColdShares shares, int zone, PeerMessage message) {
            if (message.type != PeerMessage.Type.OFFERS) {
                return;
            }
            message.heardPeers = new BitSet();
            for (Peer peer : peers) {
                message.heardPeers.set(
                        peer.number,
                        shares.isSelf(peer.number)
                                || peer.lastHeardAt > 0
                                        && peer.zone == zone
                                        && message.timestamp - peer.lastHeardAt
                                                <= peer.silenceTimeout() - ColdShares.LEASE_US);
            }
            message.grantees = shares.grant(message.heardPeers, message.timestamp);
        }

        /** Adds which dispatchers are in other zones, for a peer that may have just started and doesn't know. */
        static PeerMessage attachOtherZones(ColdShares shares, PeerMessage message) {
            BitSet others = shares.otherZonePeers();
            // left out where it would exceed the largest message, which offers may have filled already
            boolean fits =
                    message.grantees != null && message.size() + 1 + (others.length() + 7) / 8 <= PeerMessage.MAX_BYTES;
            message.otherZonePeers = others.isEmpty() || !fits ? null : others;
            return message;
        }

        /** A job on this peer's slots was announced, or its end was; since the datagram may be lost, report again. */
        void scheduleHoldsReport(long now) {
            nextHoldsReportAt = now + HOLDS_REPORT_INTERVAL_US;
        }

        boolean isHoldsReportDue(long now) {
            return nextHoldsReportAt != 0 && now >= nextHoldsReportAt;
        }

        /**
         * Adds the slots that local jobs use on this peer's workers. Reported while there are any and once more with
         * none: a lender that missed the end of a job would go on counting its slot as taken.
         */
        PeerMessage addHoldsReport(long now, Iterable<Worker> workers, PeerMessage message) {
            for (Worker worker : workers) {
                if (worker.lender == number && !worker.ownedLocally && worker.localSlots > 0) {
                    message.addSlots(worker.hash, worker.localSlots);
                }
            }
            nextHoldsReportAt = message.entryCount == 0 ? 0 : now + HOLDS_REPORT_INTERVAL_US;
            return message;
        }

        /** Takes a full report of the slots that the peer's jobs use here: jobs at workers it omits have ended. */
        void replaceHolds(Worker[] named, int[] slots, long now, Consumer<Worker> changed) {
            updateHolds(named, slots, now, changed);
            for (int i = holds.size() - 1; i >= 0; i--) {
                Worker worker = holds.get(i).worker;
                if (!Arrays.asList(named).contains(worker)) {
                    setHold(worker, 0, now);
                    changed.accept(worker);
                }
            }
        }

        /** Sets the slots that the peer's jobs use at several workers; those not on the list here are null. */
        void updateHolds(Worker[] named, int[] slots, long now, Consumer<Worker> changed) {
            for (int i = 0; i < named.length; i++) {
                if (named[i] != null) {
                    setHold(named[i], slots[i], now);
                    changed.accept(named[i]);
                }
            }
        }

        void forget(Consumer<Worker> changed) {
            lastHeardAt = 0;
            requestRate = 0;
            offeredWorkers = new Worker[0];
            dropHolds(Long.MAX_VALUE, changed);
        }

        /**
         * Takes the slots and budgets that the peer offers. A lent budget counts once and only for some time after it
         * was lent: a message that is duplicated, late or meant for an earlier process lends nothing.
         *
         * @param processStartedAt start of this process, by the common clock
         * @param lifetime how long a loan counts
         */
        void recordOffers(Worker[] named, PeerMessage message, long now, long processStartedAt, long lifetime) {
            boolean counts = message.grantees != null
                    && borrowedBudget.isValid(message.timestamp, now, processStartedAt, lifetime);
            offeredWorkers = named;
            offeredAmounts = new int[named.length];
            offeredHashes = Arrays.copyOf(message.workerHashes, named.length);
            offeredAsBudget = new boolean[named.length];
            offeredAt = now;
            for (int i = 0; i < named.length; i++) {
                offeredAsBudget[i] = message.isTransfer(i);
                offeredAmounts[i] = offeredAsBudget[i] && !counts ? 0 : message.amount(i);
                offeredAt = offeredAsBudget[i] ? Math.min(offeredAt, message.timestamp) : offeredAt;
                if (offeredAsBudget[i] && counts) {
                    borrowedBudget.markUsed(message.timestamp);
                    borrowedStamp = message.timestamp;
                    totalBorrowedUs += (long) (offeredAmounts[i] * PeerMessage.TRANSFER_UNIT_US);
                }
            }
        }

        /** Whether a message to this peer may lend budget: it carries a stamp, and the last loan is not too recent. */
        boolean mayLend(PeerMessage message, long now, int ownZone) {
            return message.grantees != null && zone == ownZone && now > nextLoanAt;
        }

        /** Lends a share of a worker's budget. It is spent here before it is sent, so it can't be spent twice. */
        void lend(Worker worker, double share, PeerMessage message, long now) {
            worker.coldBudget.spend(share);
            lentBudget.recordTransfer(worker.hash, message.timestamp, share);
            totalLentUs += (long) share;
            message.addTransfer(worker.hash, toBudgetUnits(share));
            nextLoanAt = now + MIN_LOAN_INTERVAL_US;
        }

        /** Whether the peer lent budget that no job here waits for, or that has expired. */
        boolean hasUnusedLoan(boolean wanted, long now, long lifetime) {
            if (wanted && now - offeredAt < lifetime) {
                return false;
            }
            for (int i = 0; i < offeredWorkers.length; i++) {
                if (offeredAsBudget[i] && offeredAmounts[i] > 0) {
                    return true;
                }
            }
            return false;
        }

        /** Returns what is left of the borrowed budget. It is given up here before the message is sent. */
        PeerMessage returnUnusedBudget(PeerMessage message) {
            message.timestamp = borrowedStamp;
            for (int i = 0; i < offeredWorkers.length; i++) {
                if (offeredAsBudget[i] && offeredAmounts[i] > 0) {
                    message.addReturn(offeredHashes[i], offeredAmounts[i]);
                    offeredAmounts[i] = 0;
                }
            }
            return message;
        }

        /** Takes back budget that the peer borrowed and returns; workers not on the list here are null. */
        void acceptReturnedBudget(Worker[] named, PeerMessage message, long now) {
            for (int i = 0; i < named.length; i++) {
                if (named[i] != null) {
                    double returned = lentBudget.acceptReturn(
                            message.workerHashes[i],
                            message.timestamp,
                            message.amount(i) * PeerMessage.TRANSFER_UNIT_US,
                            now);
                    named[i].coldBudget.refund(returned);
                    totalReturnedUs += (long) returned;
                }
            }
        }

        /** Rounds slot time up to whole units, in which messages transfer budget. */
        static double roundUpToBudgetUnits(double slotTimeUs) {
            return toBudgetUnits(slotTimeUs) * PeerMessage.TRANSFER_UNIT_US;
        }

        /** Whether an offer is enough for a job of so many slots that is expected to take that slot time. */
        boolean offerCovers(int offer, int slots, double slotTimeUs) {
            return offeredWorkers[offer] != null
                    && offeredAmounts[offer] >= (offeredAsBudget[offer] ? toBudgetUnits(slotTimeUs) : slots);
        }

        /** Deducts a job that is sent on an offer. */
        void consumeOffer(int offer, int slots, double slotTimeUs) {
            offeredAmounts[offer] -= offeredAsBudget[offer] ? toBudgetUnits(slotTimeUs) : slots;
        }

        static int toBudgetUnits(double slotTimeUs) {
            return (int) Math.ceil(slotTimeUs / PeerMessage.TRANSFER_UNIT_US);
        }

        /** This dispatcher's share of the traffic of its zone and of the fleet, out of the dispatchers it hears. */
        record TrafficShares(double ofZone, double ofFleet) {}

        static TrafficShares trafficShares(Peer[] peers, int self, int ownZone, double rate) {
            double zoneRate = rate;
            double fleetRate = rate;
            int heard = 1;
            int heardInZone = 1;
            for (Peer peer : peers) {
                if (peer.lastHeardAt > 0 && peer.number != self) {
                    heard++;
                    heardInZone += peer.zone == ownZone ? 1 : 0;
                    fleetRate += peer.requestRate;
                    zoneRate += peer.zone == ownZone ? peer.requestRate : 0;
                }
            }
            // equal shares where there is no traffic
            return new TrafficShares(
                    zoneRate > 0 ? rate / zoneRate : 1.0 / heardInZone,
                    heard * 2 > peers.length && fleetRate > 0
                            ? rate / fleetRate * heard / peers.length
                            : 1.0 / peers.length);
        }

        /** The first peer of the zone, searching the array from an index on and round its end; or null. */
        static Peer firstInZone(int zone, Peer[] peers, int from) {
            for (int i = 0; i < peers.length; i++) {
                Peer peer = peers[(from + i) % peers.length];
                if (peer.zone == zone) {
                    return peer;
                }
            }
            return null;
        }

        /** Sets the slots that the peer's jobs use at a worker. */
        void setHold(Worker worker, int slots, long now) {
            int index = 0;
            while (index < holds.size() && holds.get(index).worker != worker) {
                index++;
            }
            if (index < holds.size()) {
                worker.peerSlots -= holds.remove(index).slots;
            }
            if (slots > 0) {
                holds.add(new Hold(worker, slots, now));
                worker.peerSlots += slots;
            }
        }

        /**
         * Drops holds that have not been reported again in time. The message that a job has ended may be lost; without
         * this its slot would count as taken for good.
         */
        void dropExpiredHolds(long now, Consumer<Worker> changed) {
            dropHolds(now - HOLDS_LIFETIME_US, changed);
        }

        private void dropHolds(long reportedBefore, Consumer<Worker> changed) {
            for (int i = holds.size() - 1; i >= 0; i--) {
                if (holds.get(i).reportedAt < reportedBefore) {
                    Hold dropped = holds.remove(i);
                    dropped.worker.peerSlots -= dropped.slots;
                    changed.accept(dropped.worker);
                }
            }
        }

        /** Slots that the peer's jobs use at a worker, and when it last reported them. */
        private record Hold(Worker worker, int slots, long reportedAt) {}
    }

    /** Jobs by request id: a hash table with linear probing, which needs no boxed keys. It is never iterated. */
    static final class JobMap {
        private Job[] slots = new Job[256];
        private int size;

        private static int home(long id, int mask) {
            long h = id * 0x9E3779B97F4A7C15L;
            return (int) (h >>> 32) & mask;
        }

        Job get(long id) {
            int mask = slots.length - 1;
            for (int i = home(id, mask); slots[i] != null; i = i + 1 & mask) {
                if (slots[i].request.id() == id) {
                    return slots[i];
                }
            }
            return null;
        }

        void put(Job job) {
            if (2 * ++size > slots.length) {
                Job[] old = slots;
                slots = new Job[2 * old.length];
                for (Job existing : old) {
                    if (existing != null) {
                        insert(existing);
                    }
                }
            }
            insert(job);
        }

        private void insert(Job job) {
            int mask = slots.length - 1;
            int i = home(job.request.id(), mask);
            while (slots[i] != null) {
                i = i + 1 & mask;
            }
            slots[i] = job;
        }

        void remove(long id) {
            int mask = slots.length - 1;
            int i = home(id, mask);
            while (slots[i] != null && slots[i].request.id() != id) {
                i = i + 1 & mask;
            }
            if (slots[i] == null) {
                return;
            }
            slots[i] = null;
            size--;
            for (int k = i + 1 & mask; slots[k] != null; k = k + 1 & mask) {
                Job moved = slots[k];
                slots[k] = null;
                insert(moved);
            }
        }
    }
}
