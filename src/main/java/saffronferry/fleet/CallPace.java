package saffronferry.fleet;

import java.util.SplittableRandom;

/**
 * When a dispatcher calls discovery, which is one service for the whole fleet and handles calls in turn. A
 * call that has waited too long fails and has cost discovery its work all the same: where more call than it
 * can serve in that time, and each that failed calls again at once, no call is served any more, for good.
 * So the calls of a large fleet are spread over the time that all of them take, and over more after each
 * failure. A few dispatchers cannot make a line so long, and call at once. Times in microseconds.
 */
public final class CallPace {
    /** So many callers can wait in turn, and the last one is still served in time. */
    private static final int SHORT_LINE = 8;
    /** The first calls of a fleet that starts together are so far apart; one alone should not wait long. */
    private static final long EACH_FIRST = 150_000;
    /** A failure shows that the line is too long already, with calls in it that nobody waits for any more. */
    private static final long EACH_AGAIN = 500_000;
    private static final double GROWTH = 1.5;
    private static final long AGAIN = 300_000; // at least, before asking again; doubles once
    /** What a silent watch missed counts as told 6 s after its last word; it was silent for 4.5 s of them. */
    private static final long SILENT = 2_500_000;
    private static final int MOST_FAILURES = 16;

    /**
     * Of the time for which a list may be held unasked, from the process's start: once that is over all
     * changes count as told when they were that old, and nothing is left of the time to stop sending.
     */
    private static final double IN_TIME = 0.9;
    /** Allowed between calls once one has failed, over what is allowed else. */
    private static final int FAILED_TIMES = 4;

    private final int line; // callers beyond those that can wait in turn
    private final long longest;
    private final long inTime;
    private int failures;
    private boolean watching;

    /**
     * A pace among so many callers.
     *
     * @param longest the most that may pass between a failed call and the next one
     */
    public CallPace(int callers, long longest) {
        line = Math.max(0, callers - SHORT_LINE);
        this.longest = longest;
        inTime = (long) (IN_TIME * longest / FAILED_TIMES);
    }

    /** How long until the first call: a fleet may have started together, or this one alone. */
    public long first(SplittableRandom random) {
        // danger: a list from before the start counts as told anew once it is that old, asked for or not
        return line == 0 ? 0 : random.nextLong(Math.min(inTime, line * EACH_FIRST));
    }

    /**
     * How long until the next call, one having failed or a watch having ended: that of all may have.
     *
     * @param silent the watch has told the list, and then nothing, though nobody has ended it
     */
    public long again(SplittableRandom random, boolean silent) {
        long least = AGAIN << Math.min(failures, 1);
        // danger: a watch that ends is no failed call, and does not allow what that allows
        long most = !watching ? longest : silent ? SILENT : inTime;
        long spread = (long) Math.min(most - 2 * least, line * EACH_AGAIN * Math.pow(GROWTH, failures));
        failures = Math.min(failures + 1, MOST_FAILURES);
        watching = false;
        return least / 2 + random.nextLong(least) + (spread > 0 ? random.nextLong(spread) : 0);
    }

    /** Discovery has told something. */
    public void served() {
        failures = 0;
        watching = true;
    }
}
