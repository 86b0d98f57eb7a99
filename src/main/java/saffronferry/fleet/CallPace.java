package saffronferry.fleet;

import java.util.SplittableRandom;

/**
 * When a dispatcher calls discovery, which is one service for the whole fleet and handles calls in turn. A
 * call that has waited too long fails and has cost discovery its work all the same: where more call than it
 * can serve in that time, and each that failed calls again at once, no call is served any more, for good.
 * So the calls of a large fleet are spread, and over more after each call that waited in vain. But a change
 * counts as told 6 s after discovery had it and could be reached, so what has cost discovery nothing is
 * tried again well within that time. A few dispatchers cannot make a line so long, and call at once. Times in
 * microseconds.
 */
public final class CallPace {
    /** An empty line comes each 2 s on a watch; one that says nothing for so long is silent. */
    public static final long SILENCE = 3_000_000;
    /** A call may wait 3 s in discovery's line; one that has told no list by then will tell none. */
    public static final long FIRST_LIST = 3_300_000;
    /** So many callers can wait in turn, and the last one is still served in time. */
    private static final int SHORT_LINE = 8;
    /** The first calls of a fleet that starts together are so far apart; one alone should not wait long. */
    private static final long EACH_FIRST = 150_000;
    /** A failure shows that the line is too long already, with calls in it that nobody waits for any more. */
    private static final long EACH_AGAIN = 500_000;

    private static final double GROWTH = 1.5;
    private static final long AGAIN = 300_000; // half of it at least, before asking again; doubles once
    /** Of the 6 s after which a change counts as told: the call itself may wait in line for the rest. */
    private static final long IN_TIME = 4_000_000;
    /** A watch that fell silent has been so for {@link #SILENCE} by then, and a call may wait 3 s. */
    private static final long SILENT = 1_500_000;
    /** While discovery is down: so soon after its return all have called, so far apart if there is time. */
    private static final long DOWN = 4_500_000;

    private static final long EACH_BACK = 250_000;
    /** So many waits in vain after that are no sign of a line that lasts: all have come back at once. */
    private static final int COMING_BACK = 2;

    private static final int MOST_FAILURES = 16;
    /** Timers run on another clock than ours, and may come up a little before their time. */
    private static final long EARLY = 50_000;

    private final int line; // callers beyond those that can wait in turn
    private final long longest;
    private int failures;
    private boolean watching;
    private int comingBack;
    private long dueAt = Long.MAX_VALUE;

    /**
     * A pace among so many callers.
     *
     * @param longest the most that may pass between a failed call and the next one
     */
    public CallPace(int callers, long longest) {
        line = Math.max(0, callers - SHORT_LINE);
        this.longest = longest;
    }

    /** How long until the first call: a fleet may have started together, or this one alone. */
    public long first(SplittableRandom random) {
        return line == 0 ? 0 : random.nextLong(Math.min(IN_TIME, line * EACH_FIRST));
    }

    /** How long until the next call, one having failed or a watch having ended. */
    public long again(SplittableRandom random, WatchEnd how) {
        long pause = AGAIN << Math.min(failures, 1);
        boolean late = how == WatchEnd.LATE || how == WatchEnd.ENDED && !watching;
        boolean lasting = late && comingBack == 0;
        comingBack = late ? Math.max(0, comingBack - 1) : COMING_BACK;
        // danger: a watch that ends is no failed call, and does not allow what that allows
        long most = how == WatchEnd.SILENT ? SILENT : how == WatchEnd.DOWN ? DOWN : lasting ? longest : IN_TIME;
        double grown = line * (late ? EACH_AGAIN * (lasting ? Math.pow(GROWTH, failures) : 1) : EACH_BACK);
        failures = lasting ? Math.min(failures + 1, MOST_FAILURES) : Math.max(failures, 1);
        watching = false;
        long spread = (long) Math.min(most - 2 * pause, grown);
        // a few need no spread: what they wait is lost of the time in which a change has to be told
        return pause / 2 + random.nextLong(line == 0 ? pause / 2 : pause) + (spread > 0 ? random.nextLong(spread) : 0);
    }

    /** A timer is set for the next call; of several the last one counts. */
    public long after(long wait, long now) {
        dueAt = now + wait;
        return wait;
    }

    /** Whether a timer that has come up is that of the next call: each end has one successor. */
    public boolean isDue(long now) {
        boolean due = dueAt - now <= EARLY;
        dueAt = due ? Long.MAX_VALUE : dueAt;
        return due;
    }

    /** Discovery has told something. */
    public void served() {
        failures = 0;
        watching = true;
    }
}
