package saffronferry.ops;

/**
 * The states of a drain, whether a call or SIGTERM began it; only a call's can be taken back. Times in
 * milliseconds, of a clock that is handed in. For one thread.
 */
public final class Drain {
    /** What is done with clients; each phase does what the one before does, and more. */
    public enum Phase {
        /** All are served, and {@code /up} says yes. */
        OPEN,
        /** {@code /up} says no, so that the front turns away; all that comes is served. */
        TURNING,
        /** Each connection closes with the answer of its request. */
        LEAVING,
        /** Idle connections are closed. */
        EMPTY
    }

    /** By then the front has heard a no (it asks ten times a second) and sends no new connections. */
    static final long TURNED = 300;
    /** Idle connections are closed well before 2 s: a job that comes later would be held too long. */
    static final long EMPTIED = 1_200;

    private boolean called;
    private long calledAt;
    private boolean away;
    private boolean ending;
    private boolean elsewhere;
    private long leavesAt;
    private long emptyAt;

    /** A call to drain; where one is under way already it goes on. */
    public void start(long now) {
        calledAt = called ? calledAt : now;
        called = true;
    }

    /** A call to take clients again; false if the process is ending, which nothing takes back. */
    public boolean stop() {
        called = false;
        return !ending;
    }

    /**
     * Another process has begun to serve at our address, or is gone: each connection leaves with its answer,
     * for the next request can go there at once. The end of this process then finds less to cut off.
     */
    public void away(boolean served) {
        away = served;
    }

    /**
     * The process ends. Kept connections are served for {@code keptMs} more; where another process serves the
     * same address they are left as their requests are answered, for the next one can go there at once.
     */
    public void end(long now, long keptMs, boolean elsewhere) {
        if (!ending) {
            ending = true;
            this.elsewhere = elsewhere;
            leavesAt = now + (elsewhere ? 0 : keptMs);
            emptyAt = now + keptMs;
        }
    }

    public boolean ending() {
        return ending;
    }

    /** Whether another process serves at our address, so that it is no matter whether this one is left. */
    public boolean elsewhere() {
        return ending ? elsewhere : away;
    }

    public Phase phase(long now) {
        Phase byCall = !called ? Phase.OPEN : at(now, calledAt + TURNED, calledAt + EMPTIED);
        Phase byEnd = ending ? at(now, leavesAt, emptyAt) : away ? Phase.LEAVING : Phase.OPEN;
        return byCall.compareTo(byEnd) > 0 ? byCall : byEnd;
    }

    private static Phase at(long now, long leaves, long empty) {
        return now >= empty ? Phase.EMPTY : now >= leaves ? Phase.LEAVING : Phase.TURNING;
    }

    /** How long until the phase may change by itself; -1 if it will not. */
    public long untilNext(long now) {
        long byCall = !called ? -1 : after(now, calledAt + TURNED, calledAt + EMPTIED);
        long byEnd = !ending ? -1 : after(now, leavesAt, emptyAt);
        return byCall < 0 || byEnd < 0 ? Math.max(byCall, byEnd) : Math.min(byCall, byEnd);
    }

    private static long after(long now, long first, long second) {
        return now < first ? first - now : now < second ? second - now : -1;
    }
}
