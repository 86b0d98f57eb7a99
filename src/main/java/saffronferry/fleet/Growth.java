package saffronferry.fleet;

/**
 * How far a dispatcher may go beyond the part of a cold worker's budget that is its own, or left to it, on
 * evidence from the worker alone: whether jobs start there at once. As long as they do it has free slots,
 * so that all together send less than it can do, and the part doubles each {@link #PACE}; a job that has to
 * wait, or is turned away, ends it at once. So the dead ones' parts are not idle until the worker is warm.
 * Pure; times in microseconds. Worked out in docs/design/fleet-faults.md.
 */
public final class Growth {
    /** A part grows by its own size in that time at most, if a job has started at once meanwhile. */
    public static final long PACE = 500_000;
    /** While nothing is sent there it is halved in that time: a small part allows a job only so often. */
    public static final long FADE = 8 * PACE;
    /** A job that has not started by then waits: more than a connection and two ways take. */
    public static final long AT_ONCE = 150_000;
    /** After a job that had to wait nothing grows for so long. */
    private static final long REST = 2 * PACE;

    private static final double MOST = 1 << 10;
    /** Of what all together may send: two thirds of what the rule allows, where that is half of it. */
    private static final double BEYOND = 4.0 / 3;

    private double factor = 1;
    private long since; // of the last step
    private long oldest; // when the oldest job was sent of which no start is told; 0: none
    private boolean startedOne;

    /** A job is sent there; 0: nobody will tell of its start. */
    public void sent(long now) {
        oldest = oldest == 0 ? now : oldest;
    }

    /** A job that was sent then is told to have started now. */
    public void started(long now, long sentAt) {
        if (now - sentAt > AT_ONCE) {
            waited(now);
        } else {
            startedOne = true;
            oldest = 0;
        }
    }

    /** A job had to wait, or was turned away. */
    public void waited(long now) {
        factor = 1;
        since = now + REST - PACE;
        startedOne = false;
        oldest = 0;
    }

    /** The worker has started anew. */
    public void reset() {
        factor = 1;
        since = 0;
        oldest = 0;
        startedOne = false;
    }

    /** What one may spend now whose part that is, of what all together may. */
    public double of(double part, long now) {
        return Math.min(BEYOND, part * factor(now));
    }

    /** So many times its part. */
    public double factor(long now) {
        if (oldest != 0 && now - oldest > AT_ONCE) {
            waited(now);
        }
        if (startedOne && now - since >= PACE) {
            factor = Math.min(MOST, 2 * factor);
            startedOne = false;
            since = now;
        } else if (now - since >= FADE) {
            // guards against growth that outlives its evidence: what nobody tried says nothing
            factor = Math.max(1, factor / 2);
            since = now;
        }
        return factor;
    }
}
