package saffronferry.fleet;

/**
 * Lets a dispatcher exceed its share of a cold worker's budget while jobs start on the worker without delay.
 *
 * <p>Prompt starts show that the worker has free slots, hence that all dispatchers together send less than it can
 * handle; the share then doubles every {@link #DOUBLING_TIME_US}. A job that has to wait or is rejected resets it. In
 * this way the shares of failed dispatchers do not stay unused until the worker is warm. Times are in microseconds. See
 * docs/design/fleet-faults.md.
 */
public final class ShareGrowth {
    /** Least time between doublings, each of which needs a job that started promptly meanwhile. */
    public static final long DOUBLING_TIME_US = 500_000;
    /** Time between halvings without jobs; long, since a small share allows a job only now and then. */
    public static final long HALVING_TIME_US = 8 * DOUBLING_TIME_US;
    /** Longest time to a prompt start: more than connection setup and a round trip take. */
    public static final long MAX_START_DELAY_US = 150_000;
    /** Time without growth after a job had to wait. */
    private static final long PAUSE_AFTER_WAIT_US = 2 * DOUBLING_TIME_US;

    private static final double MAX_FACTOR = 1 << 10;
    /** Limit of a grown share, relative to {@link ColdRate}: two thirds of the load at which a worker fails. */
    private static final double MAX_SHARE = 4.0 / 3;

    private double factor = 1;
    private long lastStepAt;
    /** When the oldest job without a reported start was sent; 0 if there is none. */
    private long oldestUnstartedAt;

    private boolean promptStartSeen;

    /** Records that a job was sent; {@code now} is 0 if its start will not be reported. */
    public void jobSent(long now) {
        oldestUnstartedAt = oldestUnstartedAt == 0 ? now : oldestUnstartedAt;
    }

    /** Records the reported start of a job. */
    public void jobStarted(long now, long sentAt) {
        if (now - sentAt > MAX_START_DELAY_US) {
            jobWaited(now);
        } else {
            promptStartSeen = true;
            oldestUnstartedAt = 0;
        }
    }

    /** Records that a job had to wait or was rejected. */
    public void jobWaited(long now) {
        factor = 1;
        lastStepAt = now + PAUSE_AFTER_WAIT_US - DOUBLING_TIME_US;
        promptStartSeen = false;
        oldestUnstartedAt = 0;
    }

    /** Starts again after a restart of the worker. */
    public void reset() {
        factor = 1;
        lastStepAt = 0;
        oldestUnstartedAt = 0;
        promptStartSeen = false;
    }

    /** The share of the allowed rate that a dispatcher with the given share may use now. */
    public double grow(double share, long now) {
        return Math.min(MAX_SHARE, share * factor(now));
    }

    /** Current multiple of the share. */
    public double factor(long now) {
        if (oldestUnstartedAt != 0 && now - oldestUnstartedAt > MAX_START_DELAY_US) {
            jobWaited(now);
        }
        if (promptStartSeen && now - lastStepAt >= DOUBLING_TIME_US) {
            factor = Math.min(MAX_FACTOR, 2 * factor);
            promptStartSeen = false;
            lastStepAt = now;
        } else if (now - lastStepAt >= HALVING_TIME_US) {
            // Without recent jobs there is no evidence that the worker still has free slots.
            factor = Math.max(1, factor / 2);
            lastStepAt = now;
        }
        return factor;
    }
}
