package saffronferry.fleet;

/**
 * Lets a dispatcher exceed its share of a cold worker's budget while jobs start on the worker without delay.
 *
 * <p>Prompt starts show that the worker has free slots, hence that all dispatchers together send less than it can
 * handle; the share then doubles every {@link #PACE}. A job that has to wait or is rejected resets it. In this way the
 * shares of failed dispatchers do not stay unused until the worker is warm. Times are in microseconds. See
 * docs/design/fleet-faults.md.
 */
public final class Growth {
    /** Least time between doublings, each of which needs a job that started promptly meanwhile. */
    public static final long PACE = 500_000;
    /** Time between halvings without jobs; long, since a small share allows a job only now and then. */
    public static final long FADE = 8 * PACE;
    /** Longest time to a prompt start: more than connection setup and a round trip take. */
    public static final long AT_ONCE = 150_000;
    /** Time without growth after a job had to wait. */
    private static final long REST = 2 * PACE;

    private static final double MOST = 1 << 10;
    /** Limit of a grown share, relative to {@link ColdRate}: two thirds of the load at which a worker fails. */
    private static final double BEYOND = 4.0 / 3;

    private double factor = 1;
    private long since;
    /** When the oldest job without a reported start was sent; 0 if there is none. */
    private long oldest;

    private boolean startedOne;

    /** Records that a job was sent; {@code now} is 0 if its start will not be reported. */
    public void sent(long now) {
        oldest = oldest == 0 ? now : oldest;
    }

    /** Records the reported start of a job. */
    public void started(long now, long sentAt) {
        if (now - sentAt > AT_ONCE) {
            waited(now);
        } else {
            startedOne = true;
            oldest = 0;
        }
    }

    /** Records that a job had to wait or was rejected. */
    public void waited(long now) {
        factor = 1;
        since = now + REST - PACE;
        startedOne = false;
        oldest = 0;
    }

    /** Starts again after a restart of the worker. */
    public void reset() {
        factor = 1;
        since = 0;
        oldest = 0;
        startedOne = false;
    }

    /** The share of the allowed rate that a dispatcher with the given share may use now. */
    public double of(double part, long now) {
        return Math.min(BEYOND, part * factor(now));
    }

    /** Current multiple of the share. */
    public double factor(long now) {
        if (oldest != 0 && now - oldest > AT_ONCE) {
            waited(now);
        }
        if (startedOne && now - since >= PACE) {
            factor = Math.min(MOST, 2 * factor);
            startedOne = false;
            since = now;
        } else if (now - since >= FADE) {
            // Without recent jobs there is no evidence that the worker still has free slots.
            factor = Math.max(1, factor / 2);
            since = now;
        }
        return factor;
    }
}
