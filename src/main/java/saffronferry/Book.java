package saffronferry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.function.Consumer;
import saffronferry.Contract.Group;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.Request;
import saffronferry.Contract.WorkerState;
import saffronferry.fleet.ColdBudget;
import saffronferry.fleet.ColdShares;
import saffronferry.fleet.Lent;
import saffronferry.fleet.Loan;

/** What the module remembers of workers, jobs and peers. Data only: {@link Dispatcher} decides. */
final class Book {
    private Book() {}

    static boolean sameGroup(Group group, Worker a, Worker b) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> a.zone == b.zone;
            case CELL -> a.zone == b.zone && a.cell == b.cell;
        };
    }

    /** A hash of the pair that all dispatchers agree on. */
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
        long coldSince; // 0 = warm
        final ColdBudget cold = new ColdBudget();
        int mine; // slots our jobs take there
        int others; // slots that peers say their jobs take there
        double speed = 1; // running time over the class's mean
        long restUntil;
        boolean suspect;
        long trialAt;
        int failedTrials;
        long lastSign;
        long busySince;
        long probedAt;
        long fullAt;
        int fulls;
        int errors; // in a row
        int resets; // since the last sign of life
        int seat = -1; // zone whose dispatchers fill it; -1: none, or it is gone
        int dealtTo = -1; // dispatcher of our zone that fills it while it is warm
        int lender = -1; // dispatcher that offered a slot there last
        boolean ours; // this dispatcher fills it first
        double lately; // slots taken, averaged over about the age of a report
        int takenThen;
        long takenAt;
        int openAt = -1;
        boolean borrowed; // these three: as Fleet has it in its indexes
        boolean watched;
        boolean counts;
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
        long lastNote;
        boolean ended;
        boolean neverRan;
        boolean failed; // the worker said so
        boolean cancelled;

        Attempt(Job job, Worker worker, int number, long sentAt) {
            this.job = job;
            this.worker = worker;
            this.number = number;
            this.sentAt = sentAt;
        }
    }

    static final class Job {
        /** A class, since the class archive cannot hold what the library's combinators make at run time. */
        static final Comparator<Job> BY_DEADLINE = new Comparator<>() {
            @Override
            public int compare(Job a, Job b) {
                int byDeadline = Long.compare(a.request.validUntil(), b.request.validUntil());
                return byDeadline != 0 ? byDeadline : Long.compare(a.request.id(), b.request.id());
            }
        };

        final Request request;
        final JobClass spec;
        final long arrived;
        final boolean overShare;
        Attempt[] attempts = new Attempt[2];
        int tries;
        int inFlight;
        boolean over;
        boolean streaming;
        /** A worker broke under it: one of much work must not push cold ones over in turn. */
        boolean broke;

        HeldQueue queue;
        Job next;
        Job previous;

        Job(Request request, JobClass spec, long arrived, boolean overShare) {
            this.request = request;
            this.spec = spec;
            this.arrived = arrived;
            this.overShare = overShare;
        }

        void add(Attempt a) {
            if (tries == attempts.length) {
                attempts = Arrays.copyOf(attempts, 2 * tries);
            }
            attempts[tries++] = a;
            inFlight++;
        }

        boolean nothingMayHaveRun() {
            for (int i = 0; i < tries; i++) {
                if (!attempts[i].ended || !attempts[i].neverRan) {
                    return false;
                }
            }
            return true;
        }
    }

    /** Held jobs of one class and rank, oldest first. */
    static final class HeldQueue {
        int slots;
        Job head;
        Job tail;

        void add(Job j, boolean front) {
            slots += j.request.slots();
            j.queue = this;
            j.next = front ? head : null;
            j.previous = front ? null : tail;
            if (j.previous != null) {
                j.previous.next = j;
            } else {
                head = j;
            }
            if (j.next != null) {
                j.next.previous = j;
            } else {
                tail = j;
            }
        }

        void moveTo(Job j, HeldQueue other) {
            remove(j);
            other.add(j, false);
        }

        void remove(Job j) {
            slots -= j.request.slots();
            if (j.previous != null) {
                j.previous.next = j.next;
            } else {
                head = j.next;
            }
            if (j.next != null) {
                j.next.previous = j.previous;
            } else {
                tail = j.previous;
            }
            j.queue = null;
            j.next = null;
            j.previous = null;
        }
    }

    static final class Peer {
        /** Two parts lent to one dispatcher are told apart by their time. */
        private static final long LENT_APART = 5_000;
        /** So often a lender is told of all our jobs on its workers, and for so long that counts. */
        private static final long HOLDS_TOLD = 500_000;

        private static final long HOLDS_KEPT = 1_600_000;
        private static final int PERIODS_KEPT = 6; // messages get lost: a peer is silent only after these

        final int number;
        int zone = -1;
        double p = 1;
        double r = 1;
        double rate;
        long heard;
        long gap;
        private final ArrayList<Hold> holds = new ArrayList<>();
        Worker[] offers = new Worker[0];
        int[] offered = new int[0];
        private int[] offeredHash = new int[0]; // also of those not on our list: they go back too
        boolean[] lent = new boolean[0]; // which of them are parts of a cold worker's budget
        long offeredAt;
        final Loan borrowed = new Loan(); // what it lent us
        long lentTo; // when we lent it, by our clock
        private final Lent out = new Lent();
        long lentInAll; // slot time, since our start
        long backInAll;
        long borrowedInAll;
        private long lentAt; // the stamp of what it lent us
        private long holdsDue; // when to tell it next of all our jobs on its workers; 0: it knows

        Peer(int number) {
            this.number = number;
        }

        void hear(PeerMessage m, long now, long firstGap) {
            zone = m.zone;
            p = m.p;
            r = m.r;
            rate = m.rate;
            gap = heard == 0 ? firstGap : Math.max(m.period, (3 * gap + now - heard) / 4);
            heard = now;
        }

        /** So long its silence means nothing; never less than what we have told others of it holds. */
        long horizon() {
            return Math.max(PERIODS_KEPT * gap, 2 * ColdShares.LEASE);
        }

        /** Tells whom of our zone we hear, ourselves included: only those we shall not forget for a lease. */
        static void word(Peer[] peers, ColdShares shares, int zone, PeerMessage m) {
            if (m.type != PeerMessage.Type.OFFERS) {
                return;
            }
            m.hears = new BitSet();
            for (Peer y : peers) {
                m.hears.set(
                        y.number,
                        shares.isSelf(y.number)
                                || y.heard > 0 && y.zone == zone && m.at - y.heard <= y.horizon() - ColdShares.LEASE);
            }
            m.word = shares.word(m.hears, m.at);
        }

        /** Tells one that may have just started who is of other zones; others know. */
        static PeerMessage welcome(ColdShares shares, PeerMessage m) {
            BitSet others = shares.elsewhere();
            // guards against a message that is too long: it is as full as it may be already
            boolean fits = m.word != null && m.size() + 1 + (others.length() + 7) / 8 <= PeerMessage.MOST_BYTES;
            m.elsewhere = others.isEmpty() || !fits ? null : others;
            return m;
        }

        /** It is told of a job of ours, or of its end; that may be lost. */
        void toldOfHold(long now) {
            holdsDue = now + HOLDS_TOLD;
        }

        boolean holdsDue(long now) {
            return holdsDue != 0 && now >= holdsDue;
        }

        /**
         * Puts all that our jobs take on its workers into a message, for as long as there are any and once
         * more: whoever has not heard of a job's end would count its slot as taken.
         */
        PeerMessage holds(long now, Iterable<Worker> workers, PeerMessage m) {
            for (Worker w : workers) {
                if (w.lender == number && !w.ours && w.mine > 0) {
                    m.add(w.hash, w.mine);
                }
            }
            holdsDue = m.entries == 0 ? 0 : now + HOLDS_TOLD;
            return m;
        }

        /** All that its jobs take on our workers: what it does not name has ended. */
        void holdsOnly(Worker[] named, int[] slots, long now, Consumer<Worker> changed) {
            holds(named, slots, now, changed);
            for (int i = holds.size() - 1; i >= 0; i--) {
                Worker w = holds.get(i).worker;
                if (!Arrays.asList(named).contains(w)) {
                    hold(w, 0, now);
                    changed.accept(w);
                }
            }
        }

        /** Sets the slots that its jobs take at several workers; those not on our list are null. */
        void holds(Worker[] named, int[] slots, long now, Consumer<Worker> changed) {
            for (int i = 0; i < named.length; i++) {
                if (named[i] != null) {
                    hold(named[i], slots[i], now);
                    changed.accept(named[i]);
                }
            }
        }

        void forget(Consumer<Worker> changed) {
            heard = 0;
            rate = 0;
            offers = new Worker[0];
            dropHolds(Long.MAX_VALUE, changed);
        }

        /**
         * Takes what it offers. A lent part counts once and for a while, from when it was lent on: told
         * twice, late, or to a process of ours that is gone, it is nothing.
         */
        void offers(Worker[] named, PeerMessage m, long now, long bornAt, long life) {
            boolean counts = m.word != null && borrowed.counts(m.at, now, bornAt, life);
            offers = named;
            offered = new int[named.length];
            offeredHash = Arrays.copyOf(m.hash, named.length);
            lent = new boolean[named.length];
            offeredAt = now;
            for (int i = 0; i < named.length; i++) {
                lent[i] = m.lent(i);
                offered[i] = lent[i] && !counts ? 0 : m.amount(i);
                offeredAt = lent[i] ? Math.min(offeredAt, m.at) : offeredAt;
                if (lent[i] && counts) {
                    borrowed.taken(m.at);
                    lentAt = m.at;
                    borrowedInAll += (long) (offered[i] * PeerMessage.LENT_UNIT);
                }
            }
        }

        /** Whether a message to it may lend parts: it asks, tells times, and was lent nothing just now. */
        boolean mayLend(PeerMessage m, long now, int ourZone) {
            return m.word != null && zone == ourZone && now > lentTo;
        }

        /** Lends it a part of a worker's budget: spent here before it is told, and so never spent twice. */
        void lend(Worker w, double part, PeerMessage m, long now) {
            w.cold.spend(part);
            out.lent(w.hash, m.at, part);
            lentInAll += (long) part;
            m.lend(w.hash, units(part));
            lentTo = now + LENT_APART;
        }

        /** Whether it lent us what nobody waits for, or what is no longer good. */
        boolean lentInVain(boolean wanted, long now, long life) {
            if (wanted && now - offeredAt < life) {
                return false;
            }
            for (int i = 0; i < offers.length; i++) {
                if (lent[i] && offered[i] > 0) {
                    return true;
                }
            }
            return false;
        }

        /** Gives back what is left of what it lent us: ours no more before it is told. */
        PeerMessage giveBack(PeerMessage m) {
            m.at = lentAt;
            for (int i = 0; i < offers.length; i++) {
                if (lent[i] && offered[i] > 0) {
                    m.giveBack(offeredHash[i], offered[i]);
                    offered[i] = 0;
                }
            }
            return m;
        }

        /** What it has given back of what we lent it; those not on our list are null. */
        void takeBack(Worker[] named, PeerMessage m, long now) {
            for (int i = 0; i < named.length; i++) {
                if (named[i] != null) {
                    double back = out.back(m.hash[i], m.at, m.amount(i) * PeerMessage.LENT_UNIT, now);
                    named[i].cold.back(back);
                    backInAll += (long) back;
                }
            }
        }

        /** So much work, rounded up to what a message can say. */
        static double whole(double work) {
            return units(work) * PeerMessage.LENT_UNIT;
        }

        /** Whether an offer is enough for a job of so many slots and that much work. */
        boolean enough(int i, int slots, double work) {
            return offers[i] != null && offered[i] >= (lent[i] ? units(work) : slots);
        }

        /** The job is sent on that offer. */
        void use(int i, int slots, double work) {
            offered[i] -= lent[i] ? units(work) : slots;
        }

        static int units(double work) {
            return (int) Math.ceil(work / PeerMessage.LENT_UNIT);
        }

        /** Our part of the traffic of our zone, and of all: of those whom we hear, ourselves included. */
        record Traffic(double ofZone, double ofAll) {}

        static Traffic traffic(Peer[] peers, int self, int ourZone, double rate) {
            double zone = rate;
            double all = rate;
            int heard = 1;
            int near = 1;
            for (Peer y : peers) {
                if (y.heard > 0 && y.number != self) {
                    heard++;
                    near += y.zone == ourZone ? 1 : 0;
                    all += y.rate;
                    zone += y.zone == ourZone ? y.rate : 0;
                }
            }
            // where nobody has traffic: even parts
            return new Traffic(
                    zone > 0 ? rate / zone : 1.0 / near,
                    heard * 2 > peers.length && all > 0 ? rate / all * heard / peers.length : 1.0 / peers.length);
        }

        /** The first peer of the zone from a place in the list on, or null. */
        static Peer anyOf(int zone, Peer[] peers, int from) {
            for (int i = 0; i < peers.length; i++) {
                Peer y = peers[(from + i) % peers.length];
                if (y.zone == zone) {
                    return y;
                }
            }
            return null;
        }

        /** Sets the slots that its jobs take at a worker. */
        void hold(Worker w, int slots, long now) {
            int at = 0;
            while (at < holds.size() && holds.get(at).worker != w) {
                at++;
            }
            if (at < holds.size()) {
                w.others -= holds.remove(at).slots;
            }
            if (slots > 0) {
                holds.add(new Hold(w, slots, now));
                w.others += slots;
            }
        }

        /**
         * Drops what was told too long ago to be true: it is told anew while it holds. Word that a job has
         * ended may be lost: without this the slot would count as taken for good.
         */
        void dropOldHolds(long now, Consumer<Worker> changed) {
            dropHolds(now - HOLDS_KEPT, changed);
        }

        private void dropHolds(long before, Consumer<Worker> changed) {
            for (int i = holds.size() - 1; i >= 0; i--) {
                if (holds.get(i).told < before) {
                    Hold dropped = holds.remove(i);
                    dropped.worker.others -= dropped.slots;
                    changed.accept(dropped.worker);
                }
            }
        }

        /** Slots that its jobs take at a worker, and when it said so. */
        private record Hold(Worker worker, int slots, long told) {}
    }

    /** Jobs by request id, open addressing: no boxing, and nothing ever depends on its order. */
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

        void put(Job j) {
            if (2 * ++size > slots.length) {
                Job[] old = slots;
                slots = new Job[2 * old.length];
                for (Job o : old) {
                    if (o != null) {
                        insert(o);
                    }
                }
            }
            insert(j);
        }

        private void insert(Job j) {
            int mask = slots.length - 1;
            int i = home(j.request.id(), mask);
            while (slots[i] != null) {
                i = i + 1 & mask;
            }
            slots[i] = j;
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
