package saffronferry.limit;

/**
 * Detects an event loop that hangs or has ended, and does not mistake a stopped or starved process for one.
 *
 * <p>It is called at regular intervals with a counter that the loop increments, and counts consecutive calls without an
 * increment. A stopped process makes no calls, and one that gets little processor time makes few.
 */
public final class LoopWatch {
    private final int mostLooks;
    private long lastTurn = Long.MIN_VALUE;
    private int still;

    /** The loop counts as hung after this many consecutive checks without an increment. */
    public LoopWatch(int maxStalledChecks) {
        this.mostLooks = maxStalledChecks;
    }

    /** Checks the counter; true once the loop counts as hung. */
    public boolean hangs(long turn) {
        still = turn == lastTurn ? still + 1 : 0;
        lastTurn = turn;
        return still >= mostLooks;
    }
}
