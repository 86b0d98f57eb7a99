package saffronferry.ops;

/**
 * The state of a drain. An operator's call or SIGTERM starts it; only the operator's drain can be cancelled.
 * Times in milliseconds, passed in by the caller. Not thread-safe.
 */
public final class DrainState {
    /** How clients are treated; each phase includes what the phases before it do. */
    public enum Phase {
        /** All requests are served, and {@code /up} answers 200. */
        SERVING,
        /** {@code /up} answers 503, so that the upstream load balancer stops; all arriving requests are served. */
        FAILING_HEALTH_CHECKS,
        /** Each connection is closed after the response to its current request. */
        CLOSING_AFTER_RESPONSE,
        /** Idle connections are closed. */
        CLOSING_IDLE
    }

    /** The upstream load balancer polls {@code /up} ten times per second, so it has stopped by then. */
    static final long HEALTH_CHECK_NOTICE_MS = 300;
    /** Idle connections are closed well before 2 s: a request arriving later would be held for too long. */
    static final long CLOSE_IDLE_AFTER_MS = 1_200;

    private boolean requested;
    private long requestedAt;
    private boolean replaced;
    private boolean shuttingDown;
    private boolean replacedAtShutdown;
    private long closeAfterResponseAt;
    private long closeIdleAt;

    /** Starts the operator's drain; one that is already running continues. */
    public void start(long now) {
        requestedAt = requested ? requestedAt : now;
        requested = true;
    }

    /** Cancels the operator's drain; false if the process is shutting down, which cannot be cancelled. */
    public boolean stop() {
        requested = false;
        return !shuttingDown;
    }

    /**
     * Sets whether another process serves the same address. While it does, each connection is closed after its
     * response, because the client's next request reaches the other process at once. Fewer connections are then
     * left to be cut off when this process ends.
     */
    public void setReplaced(boolean replaced) {
        this.replaced = replaced;
    }

    /**
     * Starts the shutdown of the process. Kept connections are served for {@code keepAliveMs}; where another
     * process serves the same address, they are closed after their responses instead, because the client's next
     * request reaches the other process at once.
     */
    public void shutDown(long now, long keepAliveMs, boolean replaced) {
        if (!shuttingDown) {
            shuttingDown = true;
            replacedAtShutdown = replaced;
            closeAfterResponseAt = now + (replaced ? 0 : keepAliveMs);
            closeIdleAt = now + keepAliveMs;
        }
    }

    public boolean isShuttingDown() {
        return shuttingDown;
    }

    /** Whether another process serves the same address; during a shutdown, whether it did when that began. */
    public boolean isReplaced() {
        return shuttingDown ? replacedAtShutdown : replaced;
    }

    /** The later of the phases that the operator's drain and the shutdown or replacement have reached. */
    public Phase phase(long now) {
        Phase byRequest = !requested
                ? Phase.SERVING
                : phaseAt(now, requestedAt + HEALTH_CHECK_NOTICE_MS, requestedAt + CLOSE_IDLE_AFTER_MS);
        Phase byShutdown = shuttingDown
                ? phaseAt(now, closeAfterResponseAt, closeIdleAt)
                : replaced ? Phase.CLOSING_AFTER_RESPONSE : Phase.SERVING;
        return byRequest.compareTo(byShutdown) > 0 ? byRequest : byShutdown;
    }

    private static Phase phaseAt(long now, long closeAfterResponseAt, long closeIdleAt) {
        return now >= closeIdleAt
                ? Phase.CLOSING_IDLE
                : now >= closeAfterResponseAt ? Phase.CLOSING_AFTER_RESPONSE : Phase.FAILING_HEALTH_CHECKS;
    }

    /** The time until the phase may change without a further call; -1 if it will not. */
    public long msUntilNextPhase(long now) {
        long byRequest = !requested
                ? -1
                : msUntilNext(now, requestedAt + HEALTH_CHECK_NOTICE_MS, requestedAt + CLOSE_IDLE_AFTER_MS);
        long byShutdown = !shuttingDown ? -1 : msUntilNext(now, closeAfterResponseAt, closeIdleAt);
        return byRequest < 0 || byShutdown < 0 ? Math.max(byRequest, byShutdown) : Math.min(byRequest, byShutdown);
    }

    private static long msUntilNext(long now, long first, long second) {
        return now < first ? first - now : now < second ? second - now : -1;
    }
}
