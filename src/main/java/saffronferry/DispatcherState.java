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
final class DispatcherState {
    private DispatcherState() {}

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

        void hear(Message m, long now, long firstGap) {
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
        static void word(Peer[] peers, ColdShares shares, int zone, Message m) {
            if (m.type != Message.Type.OFFERS) {
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
        static Message welcome(ColdShares shares, Message m) {
            BitSet others = shares.elsewhere();
            // guards against a message that is too long: it is as full as it may be already
            boolean fits = m.word != null && m.size() + 1 + (others.length() + 7) / 8 <= Message.MOST_BYTES;
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
        Message holds(long now, Iterable<Worker> workers, Message m) {
            for (Worker w : workers) {
                if (w.lender == number && !w.ownedLocally && w.localSlots > 0) {
                    m.add(w.hash, w.localSlots);
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
        void offers(Worker[] named, Message m, long now, long bornAt, long life) {
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
                    borrowedInAll += (long) (offered[i] * Message.LENT_UNIT);
                }
            }
        }

        /** Whether a message to it may lend parts: it asks, tells times, and was lent nothing just now. */
        boolean mayLend(Message m, long now, int ourZone) {
            return m.word != null && zone == ourZone && now > lentTo;
        }

        /** Lends it a part of a worker's budget: spent here before it is told, and so never spent twice. */
        void lend(Worker w, double part, Message m, long now) {
            w.coldBudget.spend(part);
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
        Message giveBack(Message m) {
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
        void takeBack(Worker[] named, Message m, long now) {
            for (int i = 0; i < named.length; i++) {
                if (named[i] != null) {
                    double back = out.back(m.hash[i], m.at, m.amount(i) * Message.LENT_UNIT, now);
                    named[i].coldBudget.back(back);
                    backInAll += (long) back;
                }
            }
        }

        /** So much work, rounded up to what a message can say. */
        static double whole(double work) {
            return units(work) * Message.LENT_UNIT;
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
            return (int) Math.ceil(work / Message.LENT_UNIT);
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
                w.peerSlots -= holds.remove(at).slots;
            }
            if (slots > 0) {
                holds.add(new Hold(w, slots, now));
                w.peerSlots += slots;
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
                    dropped.worker.peerSlots -= dropped.slots;
                    changed.accept(dropped.worker);
                }
            }
        }

        /** Slots that its jobs take at a worker, and when it said so. */
        private record Hold(Worker worker, int slots, long told) {}
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
