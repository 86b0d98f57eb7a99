package saffronferry.limit;

/**
 * Detects an event loop that hangs or has ended, and does not mistake a stopped or starved process for one.
 *
 * <p>It is called at regular intervals with a counter that the loop increments, and counts consecutive calls without an
 * increment. A stopped process makes no calls, and one that gets little processor time makes few.
 */
public final class EventLoopMonitor {
    private final int maxStalledChecks;
    private long lastTurn = Long.MIN_VALUE;
    private int stalledChecks;

    /** The loop counts as hung after this many consecutive checks without an increment. */
    public EventLoopMonitor(int maxStalledChecks) {
        this.maxStalledChecks = maxStalledChecks;
    }

    /** Checks the counter; true once the loop counts as hung. */
    public boolean isHung(long turn) {
        stalledChecks = turn == lastTurn ? stalledChecks + 1 : 0;
        lastTurn = turn;
        return stalledChecks >= maxStalledChecks;
    }
}
