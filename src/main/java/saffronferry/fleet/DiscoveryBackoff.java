package saffronferry.fleet;

import java.util.SplittableRandom;

/**
 * Schedules a dispatcher's calls to discovery, a single service that handles the calls of the whole fleet in turn.
 *
 * <p>A call that times out in discovery's queue has cost discovery its work all the same. If more dispatchers call than
 * it can serve within the timeout, and each retries at once, no call is ever served again. So the calls of a large
 * fleet are spread over time, and over more time after each timeout. A list change must take effect within 6 s after
 * discovery has it and can be reached, so calls that cost discovery nothing are retried well within that time. A few
 * dispatchers cannot fill the queue and call at once. Times are in microseconds.
 */
public final class DiscoveryBackoff {
    /** Discovery sends an empty line every 2 s on a watch; without any line for this long, the watch is silent. */
    public static final long WATCH_SILENCE_TIMEOUT_US = 3_000_000;
    /** A call may wait 3 s in discovery's queue; without a list by this time, there will be none. */
    public static final long FIRST_LIST_TIMEOUT_US = 3_300_000;
    /** With no more callers than this, the last one in the queue is still served in time. */
    private static final int SHORT_QUEUE_CALLERS = 8;
    /** Mean spacing of the first calls of a fleet that starts together; low, for dispatchers that start alone. */
    private static final long FIRST_CALL_SPACING_US = 150_000;
    /** Mean spacing of retries after a timeout: the queue is too long already and holds abandoned calls. */
    private static final long RETRY_SPACING_US = 500_000;

    /** Factor by which the spread grows with each consecutive timeout. */
    private static final double SPREAD_GROWTH = 1.5;
    /** Base of the pause before a retry, at least half of it; it doubles once. */
    private static final long BASE_PAUSE_US = 300_000;
    /** Longest delay that lets a change take effect within 6 s: the call itself may wait in the queue for the rest. */
    private static final long MAX_DELAY_US = 4_000_000;
    /** Longest delay after a silent watch: its detection took 3 s already, and a call may wait 3 s. */
    private static final long MAX_DELAY_AFTER_SILENCE_US = 1_500_000;
    /** Longest delay while discovery is down: all dispatchers have called this soon after its return. */
    private static final long MAX_DELAY_WHILE_DOWN_US = 4_500_000;

    /** Mean spacing of calls while discovery is down. */
    private static final long OUTAGE_SPACING_US = 250_000;
    /** Timeouts after an outage that are not a sign of lasting overload, since all dispatchers return at once. */
    private static final int RECOVERY_TIMEOUTS = 2;

    private static final int MAX_FAILURES = 16;
    /** Timers run on another clock and may fire a little early. */
    private static final long TIMER_TOLERANCE_US = 50_000;

    /** Callers beyond {@link #SHORT_QUEUE_CALLERS}. */
    private final int excessCallers;

    private final long maxDelay;
    private int failures;
    private boolean watching;
    private int recoveryTimeoutsLeft;
    private long dueAt = Long.MAX_VALUE;

    /**
     * Creates the schedule of one of {@code callers} dispatchers.
     *
     * @param maxDelay longest time between a failed call and the next one
     */
    public DiscoveryBackoff(int callers, long maxDelay) {
        excessCallers = Math.max(0, callers - SHORT_QUEUE_CALLERS);
        this.maxDelay = maxDelay;
    }

    /** Delay of the first call after a start, alone or at the same time as the whole fleet. */
    public long firstDelay(SplittableRandom random) {
        return excessCallers == 0 ? 0 : random.nextLong(Math.min(MAX_DELAY_US, excessCallers * FIRST_CALL_SPACING_US));
    }

    /** Delay of the next call after a call has failed or a watch has ended. */
    public long retryDelay(SplittableRandom random, WatchEnd reason) {
        long pause = BASE_PAUSE_US << Math.min(failures, 1);
        boolean timedOut = reason == WatchEnd.LATE || reason == WatchEnd.ENDED && !watching;
        boolean overloaded = timedOut && recoveryTimeoutsLeft == 0;
        recoveryTimeoutsLeft = timedOut ? Math.max(0, recoveryTimeoutsLeft - 1) : RECOVERY_TIMEOUTS;
        // The longest delay is allowed after a timeout only, not when a watch has merely ended.
        long limit = reason == WatchEnd.SILENT
                ? MAX_DELAY_AFTER_SILENCE_US
                : reason == WatchEnd.DOWN ? MAX_DELAY_WHILE_DOWN_US : overloaded ? maxDelay : MAX_DELAY_US;
        double wantedSpread = excessCallers
                * (timedOut
                        ? RETRY_SPACING_US * (overloaded ? Math.pow(SPREAD_GROWTH, failures) : 1)
                        : OUTAGE_SPACING_US);
        failures = overloaded ? Math.min(failures + 1, MAX_FAILURES) : Math.max(failures, 1);
        watching = false;
        long spread = (long) Math.min(limit - 2 * pause, wantedSpread);
        // A few callers need no spread: any delay reduces the time left for a change to take effect.
        return pause / 2
                + random.nextLong(excessCallers == 0 ? pause / 2 : pause)
                + (spread > 0 ? random.nextLong(spread) : 0);
    }

    /** Notes the time of the next call. Only the most recent one counts. */
    public long schedule(long delay, long now) {
        dueAt = now + delay;
        return delay;
    }

    /** Whether a timer that has fired is that of the next call; true once for each scheduled call. */
    public boolean isDue(long now) {
        boolean due = dueAt - now <= TIMER_TOLERANCE_US;
        dueAt = due ? Long.MAX_VALUE : dueAt;
        return due;
    }

    /** Discovery has sent the list or a change. */
    public void listReceived() {
        failures = 0;
        watching = true;
    }
}
