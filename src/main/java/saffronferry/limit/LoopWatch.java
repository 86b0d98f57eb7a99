package saffronferry.limit;

/**
 * Tells an event loop that hangs or is dead from a process that was stopped or starved for a while. It looks
 * at a count that the loop raises, at even intervals, and counts the looks that saw none: a process that is
 * stopped takes no looks, and one that gets little of a core takes few.
 */
public final class LoopWatch {
    private final int mostLooks;
    private long lastTurn = Long.MIN_VALUE;
    private int still;

    /** The loop is given up after so many looks on end that saw it stand still. */
    public LoopWatch(int mostLooks) {
        this.mostLooks = mostLooks;
    }

    /** Takes a look; true once the loop is to be given up. */
    public boolean hangs(long turn) {
        still = turn == lastTurn ? still + 1 : 0;
        lastTurn = turn;
        return still >= mostLooks;
    }
}
