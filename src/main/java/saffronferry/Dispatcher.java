// The decisions of one dispatcher. Types, events and actions: Contract.java in this folder.
package saffronferry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import saffronferry.Book.Attempt;
import saffronferry.Book.HeldQueue;
import saffronferry.Book.Job;
import saffronferry.Book.JobMap;
import saffronferry.Book.Peer;
import saffronferry.Book.Worker;
import saffronferry.Contract.Actions;
import saffronferry.Contract.Effect;
import saffronferry.Contract.Group;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.Contract.Settings;
import saffronferry.Contract.Tenant;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.fleet.CallPace;
import saffronferry.fleet.ColdRate;
import saffronferry.fleet.ColdShares;
import saffronferry.fleet.Sharing;
import saffronferry.fleet.TalkBudget;
import saffronferry.fleet.WatchEnd;

/** Networked queues: push to a free slot of the own zone, else hold with P, else spill to a neighbour. */
public final class Dispatcher implements Contract.Events {
    // ---- constants; times in microseconds ----
    private static final long TICK = 25_000; // housekeeping step, far below any aim worth having
    private static final long MIN_PERIOD = 50_000; // shortest exchange period: the paper's
    private static final long MAX_PERIOD = 1_000_000; // older news says nothing about jobs of about a second
    private static final double PROBE_SPEND = 0.002; // the same for probes
    private static final long OFFER_LIFE = 400_000; // an offered slot stays free about that long
    private static final int LEAST_FAN = 2; // guardians of cold workers, and others, told at a time
    private static final int OFFER_LOOKS = 16; // peers looked at for an offer, however many there are
    private static final double SPILL_P = 0.9; // a spill needs a neighbour that holds next to nothing
    private static final int SAMPLE = 4; // free workers compared for one job, however many there are
    private static final double SUSPECT_NATS = 8; // silence this improbable (1 in 3000) makes a suspect
    private static final int RESETS = 2; // broken connections without a sign of life between them
    private static final int ERRORS = 2; // failed jobs without a served one between them
    private static final long TRIAL = 1_000_000; // first wait before a suspect gets one trial job; doubles
    private static final int DOUBLINGS = 3;
    private static final long FULL_REST = 100_000; // a worker that said full is left alone; doubles
    private static final int FULL_DOUBLINGS = 5;
    private static final double FIRST_MEAN = 500_000; // running time before any answer, or the aim
    private static final double LATE_ROOM = 0.3; // rounds of our slots of late jobs kept; more get refused
    private static final double REPORT_AGE = 500_000; // about how old a report may be
    private static final long PROBE_AGAIN = 150_000; // a worker that had nothing to report yet
    private static final long SETTLE = 2_000_000; // a zone not heard from by then has no dispatcher
    private static final long LEFT_ALONE = 10_000_000; // nor has one that has been silent so long
    private static final double RATE_SPAN = 2; // seconds over which our rate is averaged
    private static final long TICK_TOKEN = 1;
    private static final long SUBSCRIBE_TOKEN = 2;
    private static final int IN_SHARE = 0; // ranks of held jobs, served in this order
    private static final int OVER_SHARE = 1;
    private static final int LATE = 2;
    private static final int BOUND = 3; // tied to a group or asking many slots: tried each tick

    private final Settings s;
    private final Actions out;
    private final SplittableRandom random;
    private final Fleet fleet;
    private final JobMap jobs = new JobMap();
    private final HeldQueue[][] queues; // by class and rank
    private final PriorityQueue<Job> leaving = new PriorityQueue<>(Job.BY_DEADLINE);
    private final Peer[] peers;
    private final long[] heardIn; // when a dispatcher of the zone was heard last; 0 = never
    private final LearnedEstimates known; // learned slots of workers and running times
    private final Peer twin = new Peer(-1); // the process that we replace, or that replaces us
    private final TenantTokenBuckets allowances; // what tenants may ask for changes while we run
    private final boolean[] blocked; // classes for which a drain has found no slot
    private double p = 1, r = 1, zoneSlots, share = 1, trafficShare, rate, probeCredit;
    private final RetryBudget repeats;
    private final TalkBudget talk;
    private final CallPace calls;
    private final ColdShares shares;
    private final Homes homes;
    private final ColdRate coldRate;
    private int processes = 1; // of this dispatcher: budgets are for both together
    private int heldSlots, arrivals, homesMark, turn, neighbour, probeTurn, checkTurn, goneByNow;
    private long now, lastTick, bornAt, nextExchange, lastExchange, offersUntil, wordUntil, ticks;
    private long period = MIN_PERIOD;
    private final boolean probing;
    private boolean begun, settled, mayOpen = true, coldHere;

    public Dispatcher(Settings settings, Actions actions) {
        s = settings;
        out = actions;
        random = new SplittableRandom(settings.seed());
        fleet = new Fleet(settings.zones(), settings.kinds(), settings.zone());
        heardIn = new long[settings.zones()];
        queues = new HeldQueue[settings.classes().size()][];
        for (int c = 0; c < queues.length; c++) {
            queues[c] = new HeldQueue[BOUND + 1];
            for (int rank = 0; rank <= BOUND; rank++) {
                queues[c][rank] = new HeldQueue();
            }
        }
        peers = new Peer[settings.peers()];
        for (int i = 0; i < peers.length; i++) {
            peers[i] = new Peer(i);
        }
        shares = new ColdShares(settings.self(), settings.peers());
        homes = new Homes(settings.zones(), settings.zone(), shares);
        coldRate = new ColdRate(settings.fallMultiple(), settings.coldShare(), settings.cold());
        repeats = new RetryBudget(settings.peers());
        calls = new CallPace(settings.listOnDemand() ? settings.peers() : 1, settings.mostUnasked());
        talk = new TalkBudget(settings.peerPrice(), PeerMessage.MOST_BYTES, MIN_PERIOD, MAX_PERIOD);
        known = new LearnedEstimates(settings.kinds(), settings.classes(), FIRST_MEAN);
        blocked = new boolean[queues.length];
        allowances = new TenantTokenBuckets(settings.tenants());
        trafficShare = 1.0 / settings.peers();
        probing = settings.reports() && settings.mayProbe();
    }

    // ---- ordinary path: place, hold, spill ----
    @Override
    public void request(long clock, Request q) {
        now = clock;
        JobClass spec = s.classes().get(q.jobClass());
        arrivals++;
        repeats.asked();
        probeCredit = Math.min(probeCredit + PROBE_SPEND / Math.max(s.probePrice(), 1e-3), 20);
        Job j = new Job(q, spec, now, allowances.beyond(q.tenant()));
        jobs.put(j);
        leaving.add(j);
        if (q.slots() > 1 && fitsNowhere(j)) {
            end(j);
            return;
        }
        if (!queuedBefore(j) && sendTo(j, choose(j))) {
            return;
        }
        p = acceptance();
        if (random.nextDouble() >= p && spill(j)) {
            return;
        }
        // danger: the next housekeeping may come after the client has left
        if (q.validUntil() <= now + 2 * TICK || rankOf(j) == LATE && !roomForLate()) {
            end(j);
        } else {
            hold(j, false);
            drain();
            // others offer what they have free once we tell that a job waits
            if (j.queue != null) {
                nextExchange = Math.min(nextExchange, lastExchange + period / 4);
            }
        }
    }

    /** Older jobs of the same or a better rank go first; then a new one has no claim on a slot. */
    private boolean queuedBefore(Job j) {
        return queues[j.request.jobClass()][rankOf(j)].head != null;
    }

    private int rankOf(Job j) {
        // danger: clients refused come back at once; most are late by now and must not push out new ones
        return j.request.repeat() ? LATE : j.overShare ? OVER_SHARE : IN_SHARE;
    }

    /** P = m/(N+m): N slots asked by held jobs, m the zone's slots times our share of its traffic. */
    private double acceptance() {
        return accept(heldSlots, Math.max(zoneSlots * share, 1));
    }

    static double accept(double n, double m) {
        return m / (n + m);
    }

    private boolean roomForLate() {
        return Arrays.stream(queues).mapToInt(of -> of[LATE].slots).sum() < zoneSlots * share * LATE_ROOM;
    }

    /** An own-zone worker of the class's kind with enough free slots, or null. */
    private Worker choose(Job j) {
        Worker w = freest(j);
        return w != null ? w : offeredInZone(j);
    }

    /** A free slot of the zone that another dispatcher fills: known to be free only if that one offers it. */
    private Worker offeredInZone(Job j) {
        int from = random.nextInt(peers.length);
        for (int i = 0; i < Math.min(OFFER_LOOKS, peers.length); i++) {
            Peer y = peers[(from + i) % peers.length];
            Worker w = y.zone == s.zone() ? offered(j, y) : null;
            if (w != null) {
                return w;
            }
        }
        return null;
    }

    // Danger: dispatchers that see the same free slot take it together. Each worker has an owner, one of its
    // zone's dispatchers, that alone fills it and so knows its free slots exactly.
    private Worker freest(Job j) {
        Worker best = null;
        double bestScore = 0;
        // danger: deaf ones take all warm workers for free; a cold one, seldom asked, would stay idle
        for (Worker w : fleet.coldOurs()) {
            if (w.openAt >= 0 && w.cold.small() && usable(j, w)) {
                return w;
            }
        }
        for (int k = 0; k < fleet.groups(); k++) {
            int n = j.spec.kind() < 0 || j.spec.kind() == k ? fleet.openIn(k) : 0;
            for (int i = 0; i < Math.min(n, SAMPLE); i++) {
                Worker w = fleet.open(k, n <= SAMPLE ? i : random.nextInt(n));
                double score = free(w) - w.speed + random.nextDouble() * 0.2 - (w.zone == s.zone() ? 0 : 100);
                if ((best == null || score > bestScore) && usable(j, w)) {
                    best = w;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    private boolean usable(Job j, Worker w) {
        return fits(j, w)
                && free(w) >= j.request.slots()
                && maySend(j, w)
                && (w.coldSince == 0 || !j.broke && coldCovers(w, cost(j, w), heldSlots > 0));
    }

    private boolean fits(Job j, Worker w) {
        return (j.spec.kind() < 0 || j.spec.kind() == w.kind) && now >= w.restUntil;
    }

    /** Danger: held on, a job too large for any worker would drive P to 0 and end our offers. */
    private boolean fitsNowhere(Job j) {
        int all = 0;
        for (int k = 0; k < fleet.groups(); k++) {
            boolean fits = known.weight[k] == 0 || 2 * known.ours(k) >= j.request.slots();
            if (fleet.present(k) > 0 && fits && (j.spec.kind() < 0 || j.spec.kind() == k)) {
                return false;
            }
            all += fleet.present(k);
        }
        return all > 0;
    }

    private void hold(Job j, boolean front) {
        queues[j.request.jobClass()][rankOf(j)].add(j, front);
        heldSlots += j.request.slots();
    }

    private void unhold(Job j) {
        if (j.queue != null) {
            j.queue.remove(j);
            heldSlots -= j.request.slots();
        }
    }

    /** Held jobs leave as slots free. */
    private void drain() {
        Arrays.fill(blocked, false);
        while (heldSlots > 0 && mayOpen) {
            Job j = nextHeld();
            if (j == null) {
                return;
            }
            Worker w = choose(j);
            if (w != null) {
                sendTo(j, w);
            } else if (j.tries > 0 || j.request.slots() > 1) {
                j.queue.moveTo(j, queues[j.request.jobClass()][BOUND]);
            } else {
                blocked[j.request.jobClass()] = true;
            }
        }
    }

    private boolean kindOpen(int kind) {
        return fleet.open(kind) || now < offersUntil;
    }

    /** Best rank first; in it the earliest latest start, or in overload the most worth a second. */
    private Job nextHeld() {
        boolean overload = heldSlots > zoneSlots * share * 0.5;
        for (int rank = IN_SHARE; rank <= LATE; rank++) {
            Job best = null;
            double bestScore = 0;
            for (int c = 0; c < queues.length; c++) {
                if (rank != LATE) {
                    retireLate(c, rank);
                }
                Job j = queues[c][rank].head;
                if (j == null || blocked[c] || !kindOpen(j.spec.kind())) {
                    continue;
                }
                double score = overload ? j.spec.worth() / known.mean[c] : -(j.arrived + (double) slack(c));
                if (best == null || score > bestScore) {
                    best = j;
                    bestScore = score;
                }
            }
            if (best != null) {
                return best;
            }
        }
        return null;
    }

    private void retireLate(int c, int rank) {
        Job j = queues[c][rank].head;
        while (j != null && j.arrived + slack(c) < now) {
            Job next = j.next;
            boolean keep = j.inFlight > 0 || roomForLate() && j.spec.lateWorth() > 0;
            // no slot will be idle for more of them: an early refusal costs less than a late one
            if (keep) {
                j.queue.moveTo(j, queues[c][LATE]);
            } else {
                end(j);
            }
            j = next;
        }
    }

    /** How long a job of the class may wait and probably still be in time. */
    private long slack(int c) {
        JobClass spec = s.classes().get(c);
        double spare = (spec.stretch() * known.base[c] - known.mean[c]) / 2;
        return (long) Math.max(spec.aim() + spare, spec.aim() * 0.3);
    }

    /** Offers the job to a neighbour drawn with weight 1 - (1-R_y)/(1-P); false if none has a slot for it. */
    private boolean spill(Job j) {
        double sum = 0;
        for (Peer y : peers) {
            sum += weight(j, y);
        }
        double at = random.nextDouble() * sum;
        for (Peer y : peers) {
            double w = weight(j, y);
            at -= w;
            if (w > 0 && at < 0) {
                return sendTo(j, offered(j, y));
            }
        }
        return false;
    }

    // Danger: a draw among all neighbours of a large fleet meets one with nothing to give; the job is held
    // while slots that others offered pass. Who has none for it is no neighbour in this draw
    private double weight(Job j, Peer y) {
        return isNeighbour(y) && y.p >= SPILL_P && offerFor(j, y) >= 0 ? drawWeight(p, y.r) : 0;
    }

    static double drawWeight(double p, double r) {
        return p >= 1 ? 0 : Math.max(0, 1 - (1 - r) / (1 - p));
    }

    private boolean isNeighbour(Peer y) {
        return y.zone >= 0 && y.zone != s.zone() && fresh(y);
    }

    private boolean fresh(Peer y) {
        return y.heard > 0 && now - y.heard <= y.horizon();
    }

    /** A high P says that nobody waits, not that a slot is free: only a slot that y offered is used, once. */
    private Worker offered(Job j, Peer y) {
        int i = offerFor(j, y);
        if (i < 0) {
            return null;
        }
        y.use(i, j.request.slots(), cost(j, y.offers[i]));
        y.offers[i].lender = y.number;
        fleet.touch(y.offers[i]);
        return y.offers[i];
    }

    /** Which of y's offers the job may use, or -1. */
    private int offerFor(Job j, Peer y) {
        for (int i = 0; i < y.offers.length && now - y.offeredAt < OFFER_LIFE; i++) {
            Worker w = y.offers[i];
            if (w != null
                    && y.enough(i, j.request.slots(), cost(j, w))
                    && fits(j, w)
                    && (w.coldSince == 0 || y.lent[i] && !j.broke)
                    && !(w.suspect && now < w.trialAt)
                    && maySend(j, w)) {
                return i;
            }
        }
        return -1;
    }

    private boolean sendTo(Job j, Worker w) {
        if (w == null || !mayOpen) {
            return false;
        }
        Attempt a = new Attempt(j, w, j.tries, now);
        unhold(j);
        j.add(a);
        w.attempts.add(a);
        w.mine += j.request.slots();
        if (w.ours) {
            w.cold.send(cost(j, w), s.tellsStart() ? now : 0);
        }
        if (w.suspect) {
            awaitTrial(w);
        }
        refresh(w);
        tellLender(w);
        out.send(j.request.id(), w.address);
        return true;
    }

    // ---- slot learning ----
    private int kindIndex(int kind) {
        return kind < 0 ? known.slots.length - 1 : kind;
    }

    private double free(Worker w) {
        // on trial: one job at a time
        double slots = w.failedTrials > 0 ? 1 : known.usable(kindIndex(w.kind));
        return slots - w.mine - w.others;
    }

    /** Keeps the set of workers that may have a free slot in step with what is known. */
    private void refresh(Worker w) {
        int taken = w.mine + w.others;
        w.lately += (w.takenThen - w.lately) * (1 - Math.exp((w.takenAt - now) / REPORT_AGE));
        if (w.takenThen == 0 && taken > 0) {
            w.busySince = now;
        }
        w.takenThen = taken;
        w.takenAt = now;
        fleet.place(w, w.ours && w.state == WorkerState.IN_SERVICE && !w.suspect && free(w) >= 1);
    }

    private void learn(Worker w, Report report) {
        double x0 = report.freeSlots();
        if (Double.isNaN(x0)) {
            return;
        }
        refresh(w);
        int k = kindIndex(w.kind);
        known.learnIdle(k, x0);
        if (!Double.isNaN(report.held()) && !Double.isNaN(report.queued())) {
            known.learnSlots(k, x0 + report.held() - report.queued());
        } else if (w.ours) { // the one that fills a worker knows of all jobs there
            // the report is old: what it leaves out is what all of us had there lately, not what we have now
            double total = x0 - (report.queued() > 0 ? report.queued() : 0) + w.lately;
            known.learnSlots(k, total);
        }
        refresh(w);
    }

    private void probeSome() {
        for (int i = 0; i < 4 && probing && probeCredit >= 1 && fleet.owned() > 0; i++) {
            Worker w = fleet.own(Math.floorMod(probeTurn++, fleet.owned()));
            if (w.state == WorkerState.IN_SERVICE && now - w.probedAt > MAX_PERIOD) {
                w.probedAt = now - random.nextLong(MAX_PERIOD / 4);
                probeCredit -= 1;
                out.probe(w.address);
            }
        }
    }

    @Override
    public void probed(long clock, String address, Outcome outcome, Report report) {
        now = clock;
        Worker w = fleet.get(address);
        if (w != null && outcome == Outcome.CONNECT_FAILED) {
            broken(w, false);
        }
        if (w != null && report != null) {
            learn(w, report);
        }
        if (w != null && report == null && known.weight[kindIndex(w.kind)] == 0) {
            w.probedAt = now - MAX_PERIOD + PROBE_AGAIN;
        }
        drain();
    }

    // ---- gossip ----
    private PeerMessage message(PeerMessage.Type type) {
        PeerMessage m = new PeerMessage(type, s.zone(), p, r, rate, period);
        m.at = now;
        m.cold = coldHere;
        if (coldHere || now < wordUntil) {
            Peer.word(peers, shares, s.zone(), m);
        }
        return m;
    }

    /** Tells neighbours (P, R) and what they need of our slots; the period stretches with what that costs. */
    private void exchange() {
        r = 1 - (1 - p) * notAccepting();
        PeerMessage offer = offers();
        tellZone(talk.fan(peers.length, offer.size(), rate), offer);
        tellNeighbours();
        period = talk.period(rate);
    }

    private void tell(int peer, PeerMessage m) {
        if (!s.mayTell() || peer == s.self()) {
            return;
        }
        talk.spent(m.size());
        out.tell(peer, m.bytes());
    }

    /** The next so many peers of our zone, before others those that have cold workers' budgets to lend. */
    private void tellZone(int most, PeerMessage m) {
        int[] first = fleet.guardians(shares, coldHere ? Math.max(most - 1, LEAST_FAN) : 0, ticks);
        for (int guardian : first) {
            tell(guardian, m);
        }
        int fan = Math.max(Math.min(LEAST_FAN, most), most - first.length);
        for (int i = 0; i < peers.length && fan > 0; i++) {
            turn = (turn + 1) % peers.length;
            Peer y = peers[turn];
            if (y.number != s.self() && (y.zone < 0 || y.zone == s.zone())) {
                fan--;
                tell(y.number, m);
            }
        }
    }

    /** Danger: a word to each of many zones takes the place of those to our own. They hear us in turn. */
    private void tellNeighbours() {
        neighbour = 1 + neighbour % Math.max(1, s.zones() - 1);
        Peer y = Peer.anyOf((s.zone() + neighbour) % s.zones(), peers, random.nextInt(peers.length));
        if (y != null && y.zone != s.zone()) {
            tell(y.number, offers().undated());
        }
    }

    /** Product of 1-P over neighbours. */
    private double notAccepting() {
        double product = 1;
        for (Peer y : peers) {
            product *= isNeighbour(y) ? 1 - y.p : 1;
        }
        return product;
    }

    /** Some free slots of workers that we fill first, for others to take; none while jobs wait here. */
    private PeerMessage offers() {
        PeerMessage m = message(PeerMessage.Type.OFFERS);
        Worker last = null;
        for (int k = 0; k < fleet.groups() && heldSlots == 0; k++) {
            for (int i = 0; i < Math.min(fleet.openIn(k), 3); i++) {
                Worker w = fleet.open(k, random.nextInt(fleet.openIn(k)));
                if (w.coldSince == 0 && w != last && w.failedTrials == 0) {
                    m.add(w.hash, (int) (free(w) + 1) / 2);
                    last = w;
                }
            }
        }
        return m;
    }

    /** Parts of what cold workers of ours can take, for one that asks; spent before they are told. */
    private PeerMessage lend(Peer y, PeerMessage m) {
        double part = Peer.whole(known.longest());
        for (Worker w : y.mayLend(m, now, s.zone()) ? fleet.coldOurs() : List.<Worker>of()) {
            if (w.openAt >= 0 && coldCovers(w, part, true)) {
                y.lend(w, part, m, now);
            }
        }
        return m;
    }

    /** Danger: a cold worker's parts that nobody here waits for lie idle beside jobs held elsewhere. */
    private void giveBack(Peer y, boolean wanted) {
        if (!y.lentInVain(wanted, now, OFFER_LIFE)) {
            return;
        }
        tell(y.number, y.giveBack(message(PeerMessage.Type.RETURNS)));
    }

    /** A job on a slot that another dispatcher fills: it must hear of it at once, and of its end. */
    private void tellLender(Worker w) {
        if (w.ours || w.lender < 0) {
            return;
        }
        PeerMessage m = message(PeerMessage.Type.BORROWS);
        m.add(w.hash, w.mine);
        tell(w.lender, m);
        peers[w.lender].toldOfHold(now);
    }

    @Override
    public void peerMessage(long clock, int peer, byte[] bytes) {
        now = clock;
        PeerMessage m = PeerMessage.read(bytes, now);
        if (m == null || peer < 0 || peer >= peers.length || peer == s.self() || m.zone >= s.zones()) {
            return;
        }
        Peer y = peers[peer];
        // danger: a silence of days (one of us was stopped) must not count as the pace at which it speaks
        if (y.heard > 0 && !fresh(y)) {
            y.forget(this::refresh);
        }
        boolean stranger = y.heard == 0;
        y.hear(m, now, MAX_PERIOD);
        if (m.cold && m.zone == s.zone()) {
            wordUntil = now + ColdShares.LEASE;
        } // our list may be late
        shares.says(peer, m.zone != s.zone(), m.word, m.hears, m.elsewhere, m.at, now);
        heardIn[m.zone] = now;
        // a message that offers nothing while P is below one asks: who has a free slot answers with an offer
        boolean asks = m.type == PeerMessage.Type.OFFERS && m.entries == 0 && m.p < 1 && heldSlots == 0;
        // a stranger may just have started: let it know us too
        if (stranger || asks && fleet.anyOpen()) {
            PeerMessage answer = asks ? lend(y, offers()) : offers();
            tell(peer, stranger ? Peer.welcome(shares, answer) : answer);
        }
        Worker[] named = fleet.find(m.type == PeerMessage.Type.OFFERS ? y.zone : s.zone(), m); // whose workers
        if (m.type == PeerMessage.Type.OFFERS) {
            giveBack(y, false); // what it lent before makes room for what it offers now
            y.offers(named, m, now, bornAt, OFFER_LIFE);
            offersUntil = y.zone == s.zone() && m.entries > 0 ? now + OFFER_LIFE : offersUntil;
        } else if (m.type == PeerMessage.Type.RETURNS) {
            y.takeBack(named, m, now);
        } else if (m.type == PeerMessage.Type.HOLDS) {
            y.holdsOnly(named, m.count, now, this::refresh);
        } else {
            y.holds(named, m.count, now, this::refresh);
        }
        r = 1 - (1 - p) * notAccepting();
        drain();
        giveBack(y, heldSlots > 0);
        if (isNeighbour(y) && m.type == PeerMessage.Type.OFFERS && m.entries > 0) {
            spillHeld();
        }
    }

    /** Danger: a zone that lost its workers would hold and refuse while a neighbour's stand idle. */
    private void spillHeld() {
        p = acceptance();
        for (int rank : new int[] {IN_SHARE, LATE}) { // what lies beyond a share is not worth a crossing
            for (HeldQueue[] of : queues) {
                Job j = of[rank].head;
                while (j != null && random.nextDouble() >= p && spill(j)) {
                    j = of[rank].head;
                }
            }
        }
    }

    /** A peer that fell silent (restart, cut, death) no longer holds slots here. */
    private void forgetSilentPeers() {
        for (Peer y : peers) {
            if (y.heard > 0 && !fresh(y)) {
                y.forget(this::refresh);
            }
            y.dropOldHolds(now, this::refresh);
        }
    }

    private void learnShares() {
        Peer.Traffic t = Peer.traffic(peers, s.self(), s.zone(), rate);
        share = t.ofZone();
        trafficShare = t.ofAll();
        zoneSlots = 0;
        // danger: who does not fill a worker would take it for cold for good, and use no slot offered there
        homesMark = fleet.warmUp(now - s.cold()) ? 0 : homesMark; // it goes from its guardian to its owner
        coldHere = fleet.anyCold();
        for (int k = 0; k < fleet.groups(); k++) {
            zoneSlots += fleet.counted(k) * known.ours(k);
        }
    }

    // ---- health ----
    private void checkHealth() {
        int step = Math.min(fleet.owned(), 1 + fleet.owned() / 8);
        for (Worker w : fleet.watched(checkTurn, step)) {
            if (w.suspect && w.attempts.isEmpty() && now >= w.trialAt) {
                clear(w, w.failedTrials);
            }
            if (!w.suspect && SuspicionLevel.nats(w, now, known, s) > SUSPECT_NATS) {
                suspect(w);
            }
        }
        checkTurn += step;
    }

    /** Danger: a hung worker takes jobs and holds its slots for ever. It leaves m; its jobs move. */
    private void suspect(Worker w) {
        w.suspect = true;
        awaitTrial(w);
        refresh(w);
        for (Attempt a : new ArrayList<>(w.attempts)) {
            Job j = a.job;
            if (j.over
                    || j.streaming
                    || j.spec.effect() == Effect.UNSAFE
                    || j.tries >= s.maxAttempts()
                    || a.cancelled
                    || now > j.request.validUntil() - 3 * TICK) {
                continue;
            }
            if (s.parallel() && j.queue == null && mayRepeat(j)) {
                hold(j, true);
            } else if (!s.parallel()) {
                cancel(a);
            }
        }
    }

    private void awaitTrial(Worker w) {
        w.trialAt = now + spread(TRIAL << Math.min(w.failedTrials, DOUBLINGS));
        w.failedTrials = next(w.failedTrials);
    }

    // Danger: what all of a fleet, or all refused at once, wait equally long for comes back in step, for ever
    private long spread(long least) {
        return least + random.nextLong(least / 4 + 1);
    }

    /** Danger: a count that wraps turns a shift, an index or a rate into nonsense. It stays at its end. */
    static int next(int count) {
        return Math.min(count, Integer.MAX_VALUE - 1) + 1;
    }

    private void sign(Worker w) {
        w.lastSign = now;
        w.resets = 0;
        if (w.suspect && w.errors < ERRORS) {
            clear(w, 0);
        }
    }

    private void clear(Worker w, int failedTrials) {
        w.failedTrials = failedTrials;
        w.suspect = false;
        w.busySince = now;
        refresh(w);
    }

    /** Danger: a worker that broke a connection may have restarted; it is cold before the list says so. */
    private void broken(Worker w, boolean restarted) {
        if (restarted) {
            chill(now, w);
        }
        if (!w.suspect) {
            suspect(w);
        }
    }

    // ---- ends of attempts and requests ----
    private Attempt attempt(long id, int number) {
        Job j = jobs.get(id);
        return j != null && number >= 0 && number < j.tries ? j.attempts[number] : null;
    }

    @Override
    public void note(long clock, long id, int number, boolean started) {
        now = clock;
        Attempt a = attempt(id, number);
        if (a != null) {
            if (started && a.startedAt == 0) {
                a.worker.cold.growth.started(now, a.sentAt);
            }
            a.startedAt = started ? now : a.startedAt;
            a.lastNote = now;
            sign(a.worker);
        }
    }

    @Override
    public void streamStarted(long clock, long id, int number) {
        now = clock;
        Attempt a = attempt(id, number);
        if (a != null) {
            a.job.streaming = true;
            unhold(a.job);
            sign(a.worker);
        }
    }

    @Override
    public void attemptEnded(long clock, long id, int number, Outcome outcome, long took, boolean over, Report report) {
        now = clock;
        Attempt a = attempt(id, number);
        if (a == null || a.ended) {
            return;
        }
        Job j = a.job;
        Worker w = a.worker;
        a.ended = true;
        a.neverRan = outcome.neverRan;
        a.failed = outcome == Outcome.ERROR;
        j.broke |= outcome == Outcome.RESET;
        j.inFlight--;
        w.attempts.remove(a);
        w.mine -= j.request.slots();
        observe(a, outcome, took);
        if (report != null) {
            learn(w, report);
        }
        refresh(w);
        tellLender(w);
        if (j.over && j.inFlight == 0) {
            jobs.remove(id);
        }
        if (!j.over && over) {
            finish(j);
        }
        if (!j.over && j.inFlight == 0) {
            again(j);
        }
        drain();
    }

    private void observe(Attempt a, Outcome outcome, long took) {
        Worker w = a.worker;
        switch (outcome) {
            case OK -> {
                w.errors = 0;
                w.fulls = a.sentAt > w.fullAt ? 0 : w.fulls;
                int c = a.job.request.jobClass();
                long ran = a.startedAt > 0 ? Math.max(1, now - a.startedAt) : Math.max(1, took);
                known.ran(c, kindIndex(w.kind), ran);
                w.speed += (Math.min(4, ran / known.mean[c]) - w.speed) * 0.05;
                sign(w);
            }
            case ERROR -> {
                sign(w);
                // danger: a worker that fails each job at once is always free and would draw all of them
                if (++w.errors >= ERRORS) {
                    suspect(w);
                }
            }
            case FULL -> {
                // danger: a worker that drains before the list says so turns everything away
                w.restUntil = now + spread(FULL_REST << Math.min(w.fulls, FULL_DOUBLINGS));
                w.fulls = next(w.fulls);
                w.fullAt = now;
                w.cold.growth.waited(now);
            }
            case CONNECT_FAILED -> broken(w, false);
            // danger: one broken connection is no broken worker; that one breaks all, and gives no other sign
            case RESET -> {
                if (++w.resets >= RESETS) {
                    broken(w, true);
                }
            }
            default -> {}
        }
    }

    /** Nothing of the job is in flight any more: hold it for another attempt, or end it. */
    private void again(Job j) {
        if (j.queue != null) {
            return;
        }
        boolean repeatable = j.spec.effect() != Effect.UNSAFE || j.nothingMayHaveRun();
        boolean can =
                repeatable && j.tries < s.maxAttempts() && now < j.request.validUntil() - 3 * TICK && mayRepeat(j);
        if (can) {
            hold(j, true);
        } else {
            end(j);
        }
    }

    /** Takes a repeat out of the budget, at once: many jobs may be held for it before any is sent. */
    private boolean mayRepeat(Job j) {
        return j.nothingMayHaveRun() || repeats.take();
    }

    private void end(Job j) {
        if (mayRefuse(j)) {
            out.refuse(j.request.id(), comeBack(j));
        } else {
            out.fail(j.request.id());
        }
        finish(j);
    }

    /** When a refused client should return: once our part of the zone has run what we hold now. */
    private long comeBack(Job j) {
        double rounds = heldSlots / Math.max(zoneSlots * share, 1);
        long least = Math.max(TICK, (long) (rounds * known.mean[j.request.jobClass()]));
        return Math.min(s.maxRetryAfter(), spread(least));
    }

    private void finish(Job j) {
        j.over = true;
        unhold(j);
        // danger: what is over must not fill memory until its client would have left
        if (++goneByNow > 64 + leaving.size() / 2) {
            leaving.removeIf(x -> x.over);
            goneByNow = 0;
        }
        if (j.inFlight == 0) {
            jobs.remove(j.request.id());
        }
        for (int i = 0; i < j.tries && !j.streaming; i++) {
            cancel(j.attempts[i]);
        }
    }

    private void cancel(Attempt a) {
        if (s.mayCancel() && !a.ended && !a.cancelled) {
            a.cancelled = true;
            out.cancel(a.job.request.id(), a.number);
        }
    }

    @Override
    public void clientGone(long clock, long id) {
        now = clock;
        Job j = jobs.get(id);
        if (j != null && !j.over) {
            finish(j);
        }
    }

    // ---- the rules' guards ----
    private static boolean mayRefuse(Job j) {
        return j.spec.effect() == Effect.SAFE
                || j.nothingMayHaveRun()
                || j.spec.effect() == Effect.KEYED && j.spec.group() == Group.ALL;
    }

    /** May the job be sent to this worker now? Every path passes here. */
    private boolean maySend(Job j, Worker w) {
        if (j.over
                || j.streaming
                || j.tries >= s.maxAttempts()
                || w.state != WorkerState.IN_SERVICE
                || j.inFlight > 0 && !s.parallel()) {
            return false;
        }
        for (int i = 0; i < j.tries; i++) {
            Attempt a = j.attempts[i];
            if (a.ended && a.neverRan) {
                continue;
            }
            // danger: the worker that failed it has a free slot at once, and would get all its attempts
            if (a.failed && a.worker == w && anotherFor(j, w)) {
                return false;
            }
            if (j.spec.effect() == Effect.UNSAFE || a.worker == w && !a.ended) {
                return false;
            }
            if (j.spec.effect() == Effect.KEYED
                    && (now >= a.sentAt + j.spec.keyTtl() - TICK || !Book.sameGroup(j.spec.group(), a.worker, w))) {
                return false;
            }
        }
        return true;
    }

    private boolean anotherFor(Job j, Worker w) {
        for (Worker x : fleet.here()) {
            if (x != w
                    && x.state == WorkerState.IN_SERVICE
                    && !x.suspect
                    && (j.spec.effect() != Effect.KEYED || Book.sameGroup(j.spec.group(), w, x))) {
                return true;
            }
        }
        return false;
    }

    /** Whether our part of a cold worker's budget, which grows with its capacity, is enough for that work. */
    private boolean coldCovers(Worker w, double work, boolean waits) {
        double rate = coldRate.of(now - w.coldSince) * known.whole(kindIndex(w.kind)) / processes;
        double part = w.cold.part(shares, now, w.hash, w.zone == s.zone());
        // danger: who goes beyond its part while warm workers have room fills slow ones first
        part = waits ? w.cold.growth.of(part, now) : part;
        return w.cold.covers(work, now, part, rate, shares.phase(w.hash));
    }

    /** Slot time a job is expected to take there, on its own. */
    private double cost(Job j, Worker w) {
        return known.cost(j.request, kindIndex(w.kind));
    }

    private void chill(long start, Worker w) {
        fleet.chill(w, start);
        coldHere = true;
        homesMark = 0;
    }

    // ---- list of workers ----
    @Override
    public void workers(long clock, ListKind kind, List<WorkerInfo> entries) {
        now = clock;
        boolean first = !begun;
        begun = true;
        boolean changed = kind != ListKind.CHANGES; // what a whole list does not name is gone
        if (changed) {
            fleet.goneAll();
        }
        for (WorkerInfo e : entries) {
            changed |= take(e, first);
        }
        if (changed) {
            arrange();
        }
        if (first) {
            begin();
        }
        if (kind != ListKind.WARM_COPY) {
            calls.served();
        }
    }

    private boolean take(WorkerInfo e, boolean first) {
        Worker w = fleet.get(e.address());
        boolean fresh = w == null;
        if (fresh) {
            w = new Worker(e.address(), e.kind());
            fleet.add(w);
        }
        boolean moved = fresh || w.state != e.state() || w.zone != e.zone();
        w.zone = e.zone();
        w.cell = e.cell();
        w.state = e.state();
        // a new start, or a machine that came up after us, is cold
        long start = e.startedAt() > 0 ? e.startedAt() : fresh && !first ? now : 0;
        if (start > w.coldSince && now - start < s.cold()) {
            chill(start, w);
            w.suspect = false;
            w.failedTrials = 0;
        }
        if (moved) {
            fleet.touch(w);
        }
        return moved;
    }

    private boolean served(int zone) {
        return zone == s.zone() || heardIn[zone] > 0 && now - heardIn[zone] <= LEFT_ALONE;
    }

    /** Which zones have dispatchers, and who fills which worker first, as far as heard. */
    private void learnHomes() {
        settled = now - bornAt > SETTLE || peers.length == 1;
        int mark = settled ? 1 : 0;
        for (Peer y : peers) {
            if (y.heard > 0 && y.zone >= 0) {
                int how = y.zone + (shares.counts(y.number, now) ? 0 : 1 << 20);
                mark = (int) Book.mix(mark, 1 + y.number * s.zones() + how);
            }
        }
        for (int z = 0; z < heardIn.length; z++) {
            mark = (int) Book.mix(mark, served(z) ? z : ~z);
        }
        if (mark != homesMark) {
            homesMark = mark;
            arrange();
        }
    }

    /** Who has dispatchers, who of ours fills which worker, and what follows for those that change hands. */
    private void arrange() {
        int[] near = Arrays.stream(peers)
                .filter(y -> y.number == s.self() || y.heard > 0 && y.zone == s.zone())
                .mapToInt(y -> y.number)
                .toArray();
        BitSet served = new BitSet();
        for (int z = 0; z < heardIn.length; z++) {
            served.set(z, !settled || served(z));
        }
        int[] counted = Arrays.stream(near).filter(y -> shares.counts(y, now)).toArray();
        for (Worker w : fleet.arrange(homes, homes.hear(near, counted, served), known)) {
            if (w.seat == s.zone()) {
                own(w, homes.owner(w));
            }
            for (int i = 0; w.others > 0 && i < peers.length; i++) {
                // its process took the jobs with it, or who fills it now hears of them: nobody will tell us
                boolean elsewhere = !w.ours && peers[i].zone == s.zone();
                if (elsewhere || w.state == WorkerState.GONE) {
                    peers[i].hold(w, 0, now);
                }
            }
            refresh(w);
        }
    }

    private void own(Worker w, int owner) {
        // danger: it changes hands with jobs on it, and who fills it now would count their slots as free
        boolean unknown = w.mine > 0 && w.lender != owner;
        w.lender = w.ours ? -1 : unknown ? owner : w.lender;
        if (unknown) {
            tellLender(w);
        }
    }

    private void begin() {
        lastTick = now;
        bornAt = now;
        learnHomes();
        learnShares();
        // a random phase: timers of a fleet that starts together must not run in step
        nextExchange = now + random.nextLong(MIN_PERIOD);
        for (Peer y : peers) {
            tell(y.number, message(PeerMessage.Type.OFFERS));
        }
        out.timer(TICK_TOKEN, 1 + random.nextLong(TICK));
        probeCredit = Math.min(12, fleet.owned());
        for (int i = 0; i < 3; i++) {
            probeTurn = random.nextInt(1 << 20);
            probeSome();
        }
        if (s.listOnDemand()) {
            call(calls.first(random));
        }
    }

    // Danger: attempts that cannot be opened end at once and use up all tries
    @Override
    public void room(long clock, boolean open) {
        now = clock;
        mayOpen = open;
        drain();
    }

    @Override
    public void workersUnavailable(long clock, WatchEnd how) {
        now = clock;
        call(calls.again(random, how));
    }

    private void call(long after) {
        if (after > 0) {
            out.timer(SUBSCRIBE_TOKEN, calls.after(after, now));
        } else {
            out.subscribe();
        }
    }

    long looks() {
        return fleet.looks();
    }

    @Override
    public void allowances(long clock, List<Tenant> tenants) {
        now = clock;
        allowances.follow(tenants);
    }

    @Override
    public int avoided() {
        return fleet.avoided();
    }

    @Override
    public Sharing sharing() {
        return fleet.sharing(peers, shares, now);
    }

    // ---- another process of this dispatcher, to replace or to be replaced by ----
    @Override
    public HandoverState beside() {
        return new HandoverState(fleet.jobs(), known.told());
    }

    @Override
    public void beside(long clock, HandoverState other) {
        now = clock;
        known.take(other.learned());
        processes = other.equals(HandoverState.NOBODY) ? 1 : 2;
        repeats.share(processes);
        for (Worker w : fleet.all()) {
            twin.hold(w, other.jobs().getOrDefault(w.address, 0), now);
            refresh(w);
        }
        drain();
    }

    // ---- time ----
    @Override
    public void timer(long clock, long token) {
        now = clock;
        if (token == SUBSCRIBE_TOKEN && calls.isDue(now)) {
            out.subscribe();
        }
        if (token != TICK_TOKEN) {
            return;
        }
        double seconds = (now - lastTick) / 1e6;
        // danger: a rate that starts from nothing makes most requests after a start look beyond their share
        double over = Math.min(RATE_SPAN, (now - bornAt) / 1e6);
        rate += (arrivals / Math.max(seconds, 1e-3) - rate) * Math.min(1, seconds / Math.max(over, 1e-3));
        arrivals = 0;
        lastTick = now;
        allowances.fill(seconds, trafficShare);
        repeats.pass(seconds);
        if (ticks++ % 8 == 0 || now - bornAt < SETTLE / 2) {
            forgetSilentPeers();
            learnHomes();
            learnShares();
        }
        for (Worker w : fleet.coldOurs()) {
            coldCovers(w, 0, heldSlots > 0);
        }
        checkHealth();
        endLeaving();
        drain();
        for (Peer y : peers) {
            giveBack(y, heldSlots > 0);
            if (!y.holdsDue(now)) {
                continue;
            }
            tell(y.number, y.holds(now, fleet.borrowed(), message(PeerMessage.Type.HOLDS)));
        }
        placeBound();
        retryHeld();
        probeSome();
        p = acceptance();
        if (s.mayTell() && now >= nextExchange) {
            exchange();
            lastExchange = now;
            nextExchange = now + period - random.nextLong(period / 4); // a later one would miss its tick
        }
        out.timer(TICK_TOKEN, TICK);
    }

    /** Held jobs are drawn again when half their slack is gone. */
    private void retryHeld() {
        for (int c = 0; c < queues.length; c++) {
            Job j = queues[c][IN_SHARE].head;
            boolean pressed = j != null && now - j.arrived > slack(c) / 2;
            if (pressed && random.nextDouble() >= acceptance()) {
                spill(j);
            }
        }
    }

    /** Danger: a held job must have its answer before the client gives up. */
    private void endLeaving() {
        while (!leaving.isEmpty() && leaving.peek().request.validUntil() <= now + 2 * TICK) {
            Job j = leaving.poll();
            if (j.inFlight == 0 && !j.over) {
                end(j);
            } else {
                unhold(j);
            }
        }
    }

    /** Jobs tied to a group, or asking several slots, wait outside the order and are tried each tick. */
    private void placeBound() {
        for (HeldQueue[] of : queues) {
            Job j = of[BOUND].head;
            for (int i = 0; j != null && i < 32; i++) {
                Job next = j.next;
                if (!sendTo(j, choose(j)) && hopeless(j)) {
                    end(j);
                }
                j = next;
            }
        }
    }

    /** Danger: an answer must not wait for the deadline when no worker of the job's group is left. */
    private boolean hopeless(Job j) {
        return j.inFlight == 0
                && j.spec.effect() == Effect.KEYED
                && !j.nothingMayHaveRun()
                && fleet.all().stream().noneMatch(w -> maySend(j, w));
    }
}
