package saffronferry;

import java.util.List;
import saffronferry.fleet.SharingStatus;
import saffronferry.fleet.WatchEnd;

/**
 * The interface of the decision module: its input ({@link Events}), its output ({@link Actions}) and their types.
 *
 * <p>One {@link Dispatcher} makes the decisions of one dispatcher. It is not thread-safe: a single caller delivers
 * events in order, with a non-decreasing clock. All times are in microseconds. The module has no clock of its own and
 * no source of randomness but its seed, so equal events give equal actions. Indices (class, tenant, kind, zone) refer
 * to the lists in {@link Settings}; -1 means none or unknown. Events about unknown requests, attempts, workers or
 * peers are ignored, since these may have finished or been removed. The caller must deliver exactly one
 * {@link Events#attemptEnded} for every {@link Actions#startAttempt} and one {@link Events#timerFired} for every timer.
 */
public interface Contract {
    /** Whether a request may be attempted again after an earlier attempt may have run. */
    enum Idempotency {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The workers that share deduplication of requests with the same idempotency key. */
    enum DedupScope {
        ALL,
        ZONE,
        CELL
    }

    /** State of a worker in the worker list. */
    enum WorkerState {
        IN_SERVICE,
        DRAINING,
        GONE
    }

    /** Content of a worker list event: changes, the complete list, or a complete list saved before a restart. */
    enum ListKind {
        CHANGES,
        WHOLE,
        WARM_COPY
    }

    /** How an attempt or a probe ended; {@code neverRan} means that the job certainly did not run. */
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
     * A class of requests, to be answered within {@code latencyTarget} plus {@code targetStretch} times the job's
     * running time.
     *
     * @param deadline longest time that a client waits for the answer
     * @param value value of an answer in time
     * @param lateValue value of a late answer
     * @param keyTtl time after an attempt during which another one may be started within {@code dedupScope}
     * @param kind kind of worker that the class needs, or -1 for any
     */
    record JobClass(
            String name,
            long latencyTarget,
            double targetStretch,
            long deadline,
            double value,
            double lateValue,
            Idempotency idempotency,
            DedupScope dedupScope,
            long keyTtl,
            int kind) {}

    /** A tenant and its allowed requests per second over all dispatchers; 0 means that no limit is known. */
    record Tenant(String name, double allowancePerS) {}

    /**
     * Settings of one dispatcher.
     *
     * @param self this dispatcher's number in the fleet
     * @param dispatcherCount dispatchers in the fleet, this one included
     * @param kindCount number of worker kinds
     * @param parallelAttempts whether several attempts of a request may run at the same time
     * @param loadReports whether workers report their load
     * @param peerMessages whether dispatchers may exchange messages
     * @param listOnDemand whether the worker list has to be requested from discovery
     * @param reportsJobStart whether workers report the start of a job
     * @param progressInterval time between progress reports of a running job; 0 if there are none
     * @param coldPeriod time until a started worker is warm
     * @param coldCapacity part of its full capacity that a worker has when it starts
     * @param overloadMultiple load, as a multiple of a worker's capacity, at which the worker fails
     * @param maxRetryAfter longest retry delay that is advised to clients; 0 if none is advised
     * @param peerPrice cost of one peer message of maximum size for each request
     * @param probePrice cost of one probe for each request
     * @param maxResubscribeDelay longest time between a failed call to discovery and the next one
     */
    record Settings(
            long seed,
            int self,
            int dispatcherCount,
            int zone,
            int zoneCount,
            int kindCount,
            List<JobClass> classes,
            List<Tenant> tenants,
            int maxAttempts,
            boolean parallelAttempts,
            boolean canCancel,
            boolean canProbe,
            boolean loadReports,
            boolean peerMessages,
            boolean listOnDemand,
            boolean reportsJobStart,
            long progressInterval,
            long coldPeriod,
            double coldCapacity,
            double overloadMultiple,
            long maxRetryAfter,
            double peerPrice,
            double probePrice,
            long maxResubscribeDelay) {
        public Settings {
            require(dispatcherCount >= 1, "peers", dispatcherCount);
            require(zone >= 0 && zone < zoneCount, "zone", zone);
            require(self >= 0, "self", self);
            require(!classes.isEmpty(), "classes", classes.size());
            require(maxAttempts >= 1, "maxAttempts", maxAttempts);
            require(coldPeriod >= 0, "cold", coldPeriod);
            require(coldCapacity > 0 && coldCapacity <= 1, "coldShare", coldCapacity);
            require(overloadMultiple > 0, "fallMultiple", overloadMultiple);
            require(maxResubscribeDelay >= 1_000_000, "mostUnasked", maxResubscribeDelay);
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
        }

        private static void require(boolean valid, String name, Object value) {
            if (!valid) {
                throw new IllegalArgumentException("illegal setting " + name + ": " + value);
            }
        }
    }

    /** One entry of the worker list; a {@code startedAt} of 0 means that the worker started long ago. */
    record WorkerInfo(String address, WorkerState state, int kind, int zone, long startedAt, int cell) {}

    /** A client's request; {@code clientRetry} if the client has sent it before. */
    record Request(long id, int jobClass, int tenant, long validUntil, int slots, boolean clientRetry) {}

    /** A worker's load report; NaN for unreported values. {@code held} counts queued and running requests. */
    record Report(double held, double queued, double freeSlots) {}

    /** Input of the module. */
    interface Events {
        /** The worker list, or changes to it. A worker that is missing from a complete list is gone. */
        void workerList(long now, ListKind kind, List<WorkerInfo> entries);

        /** The request for the list failed or the subscription ended; the old list stays in force. */
        void workerListFailed(long now, WatchEnd reason);

        /** State for another process of this dispatcher while one replaces the other. */
        HandoverState handoverState();

        /** State of the other process of this dispatcher; {@link HandoverState#NONE} when it has ended. */
        void otherProcessState(long now, HandoverState state);

        /** Replaces the tenants' allowances. Known tenants keep their index, new ones are appended. */
        void tenantsChanged(long now, List<Tenant> tenants);

        /** Number of workers in service that get no jobs at present, except for a trial. */
        int avoidedWorkers();

        /** Current sharing of cold workers with other dispatchers. */
        SharingStatus sharing();

        /** Whether attempts can be started; none is while no file descriptor or port is available. */
        void attemptCapacityChanged(long now, boolean available);

        /** A new request, which is owed exactly one final answer. */
        void request(long now, Request request);

        /** A streamed answer has begun; from now on the request stays with this attempt. */
        void streamStarted(long now, long id, int attempt);

        /** The worker reports that the job has started, or that it has made progress. */
        void jobProgress(long now, long id, int attempt, boolean started);

        /** An attempt ended; {@code answered} if the request has its final answer. The report may be null. */
        void attemptEnded(long now, long id, int attempt, Outcome outcome, long took, boolean answered, Report report);

        /** The client disconnected; no answer is owed any more. */
        void clientGone(long now, long id);

        void probeEnded(long now, String worker, Outcome outcome, Report report);

        void peerMessage(long now, int peer, byte[] bytes);

        void timerFired(long now, long token);
    }

    /** Output of the module; called only while it handles an event. */
    interface Actions {
        /** Starts an attempt. Attempts are numbered 0, 1, 2 in the order of these calls. */
        void startAttempt(long id, String worker);

        void cancelAttempt(long id, int attempt);

        /** Final answer: refused, safe to retry, preferably after {@code retryAfter}; 0 gives no advice. */
        void refuse(long id, long retryAfter);

        /** Final answer: failed; a retry may not be safe. */
        void fail(long id);

        void startTimer(long token, long delay);

        void probe(String worker);

        /** Sends at most 256 bytes to one peer. */
        void sendToPeer(int peer, byte[] bytes);

        /** Requests the worker list and, from then on, its changes. */
        void subscribe();
    }
}
