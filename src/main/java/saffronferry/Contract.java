package saffronferry;

import java.util.List;
import saffronferry.fleet.Sharing;
import saffronferry.fleet.WatchEnd;

/**
 * What reaches the module ({@link Events}), what it answers ({@link Actions}) and the types of both.
 *
 * <p>One {@link Dispatcher} is one dispatcher. It is not thread-safe: one caller hands it events in order,
 * with one non-decreasing clock. All times are microseconds. It keeps no other clock and no other random
 * source than its seed, so equal events give equal actions. Indices (class, tenant, kind, zone) point into
 * the lists of {@link Settings}; -1 stands for none or unknown. Unknown request ids, attempts, workers and
 * peers in events are ignored: they may be finished or forgotten. The caller must deliver exactly one
 * {@link Events#attemptEnded} for every {@link Actions#send}, and a {@link Events#timer} for every timer.
 */
public interface Contract {
    /** Whether a request may be repeated once it may have run. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Among which workers repeats of a keyed request are discarded. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** State of a worker in the list. */
    enum WorkerState {
        IN_SERVICE,
        DRAINING,
        GONE
    }

    /** What a list event carries: changes, the whole list, or the whole list as it was before a restart. */
    enum ListKind {
        CHANGES,
        WHOLE,
        WARM_COPY
    }

    /** How an attempt or a probe ended; {@code neverRan} is proof that the job did not run. */
    enum Outcome {
        OK(false),
        ERROR(false),
        FULL(true),
        TIMEOUT(false),
        CONNECT_FAILED(true),
        RESET(false),
        CANCELLED(false),
        NOT_SENT(true);

        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /**
     * A class of request. Wanted within {@code aim} plus {@code stretch} times the job's running time. {@code
     * keyTtl}: so long after an attempt another one may be decided on, within the group.
     */
    record JobClass(
            String name,
            long aim,
            double stretch,
            long deadline,
            double worth,
            double lateWorth,
            Effect effect,
            Group group,
            long keyTtl,
            int kind) {}

    /** A tenant and the requests a second, over all dispatchers, within its share; 0 = no limit known. */
    record Tenant(String name, double allowancePerS) {}

    /**
     * Settings of one dispatcher; {@code maxRetryAfter} 0: clients are not told when to come back. {@code
     * mostUnasked}: so long may one go without asking for the list once a call has failed.
     */
    record Settings(
            long seed,
            int self,
            int peers,
            int zone,
            int zones,
            int kinds,
            List<JobClass> classes,
            List<Tenant> tenants,
            int maxAttempts,
            boolean parallel,
            boolean mayCancel,
            boolean mayProbe,
            boolean reports,
            boolean mayTell,
            boolean listOnDemand,
            boolean tellsStart,
            long progressEvery,
            long cold,
            double coldShare,
            double fallMultiple,
            long maxRetryAfter,
            double peerPrice,
            double probePrice,
            long mostUnasked) {
        public Settings {
            require(peers >= 1, "peers", peers);
            require(zone >= 0 && zone < zones, "zone", zone);
            require(self >= 0, "self", self);
            require(!classes.isEmpty(), "classes", classes.size());
            require(maxAttempts >= 1, "maxAttempts", maxAttempts);
            require(cold >= 0, "cold", cold);
            require(coldShare > 0 && coldShare <= 1, "coldShare", coldShare);
            require(fallMultiple > 0, "fallMultiple", fallMultiple);
            require(mostUnasked >= 1_000_000, "mostUnasked", mostUnasked);
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
        }

        private static void require(boolean legal, String what, Object value) {
            if (!legal) {
                throw new IllegalArgumentException("illegal setting " + what + ": " + value);
            }
        }
    }

    /** One line of the worker list. {@code startedAt} 0 = long ago. */
    record WorkerInfo(String address, WorkerState state, int kind, int zone, long startedAt, int cell) {}

    /** A client's request. */
    record Request(long id, int jobClass, int tenant, long validUntil, int slots, boolean repeat) {}

    /** A worker's own report; NaN for what it does not tell. {@code held}: requests waiting or running. */
    record Report(double held, double queued, double freeSlots) {}

    /** Everything the module is told. */
    interface Events {
        /** The worker list, or changes to it. A worker missing from a whole list is gone. */
        void workers(long now, ListKind kind, List<WorkerInfo> entries);

        /** Asking for the list failed or the subscription broke; the old list stays in force. */
        void workersUnavailable(long now, WatchEnd how);

        /** What another process of the same dispatcher should know while it runs beside this one. */
        HandoverState beside();

        /** What such a process tells; {@link HandoverState#NOBODY} when it is gone. */
        void beside(long now, HandoverState other);

        /** What tenants may ask for from now on: who was there keeps the index, and who is new is behind. */
        void allowances(long now, List<Tenant> tenants);

        /** How many workers in service are given no jobs for now, but for a trial. */
        int avoided();

        /** What it shares with other dispatchers now. */
        Sharing sharing();

        /** Whether attempts can be sent at all: while there is no descriptor or port for them, none is. */
        void room(long now, boolean open);

        /** A request that now awaits exactly one final answer. */
        void request(long now, Request request);

        /** The answer of a streamed class has begun: the client owns the attempt from here on. */
        void streamStarted(long now, long id, int attempt);

        /** The worker says that the job has started, or else that some of it is done. */
        void note(long now, long id, int attempt, boolean started);

        /** An attempt ended. {@code over}: the request has its final answer. {@code report} may be null. */
        void attemptEnded(long now, long id, int attempt, Outcome outcome, long took, boolean over, Report report);

        /** The client left; nothing more is owed. */
        void clientGone(long now, long id);

        void probed(long now, String worker, Outcome outcome, Report report);

        void peerMessage(long now, int peer, byte[] bytes);

        void timer(long now, long token);
    }

    /** Everything the module may do; called only while it handles an event. */
    interface Actions {
        /** Attempts are numbered 0, 1, 2 by these calls; each may go on until the client leaves. */
        void send(long id, String worker);

        void cancel(long id, int attempt);

        /** Final: refused, a retry does no harm, best after {@code retryAfter}; 0 gives no advice. */
        void refuse(long id, long retryAfter);

        /** Final: failed, nothing promised. */
        void fail(long id);

        void timer(long token, long delay);

        void probe(String worker);

        /** At most 256 bytes to one peer. */
        void tell(int peer, byte[] bytes);

        /** Ask for the list, and for its changes from then on. */
        void subscribe();
    }
}
