package saffronferry.limit;

import saffronferry.limit.DescriptorBudget.Purpose;

/**
 * Decides whether the next pending connection is accepted or stays in the system's backlog.
 *
 * <p>Accepting pauses when no descriptor is available for the purpose, until one is released, and after a failed system
 * call, for a time that doubles with each consecutive failure. Times are in milliseconds. Not thread-safe.
 */
public final class AcceptGate {
    /** Pause after the first failure. */
    static final long FIRST_PAUSE = 10;

    static final long LONGEST_PAUSE = 500;
    /** Connections accepted in one turn of the event loop; more would delay requests in progress. */
    static final int MOST_A_TURN = 8;
    /** After a start, one more connection per turn is accepted each time that this many have been accepted. */
    private static final int A_STEP = 8;

    private final DescriptorBudget descriptors;
    private final Purpose purpose;
    private final int tight;

    private long pause = FIRST_PAUSE;
    private int accepted;
    private int leaving;
    private long closedUntil = Long.MIN_VALUE;

    /** Creates a gate for clients' connections. */
    public AcceptGate(DescriptorBudget descriptors) {
        this(descriptors, Purpose.CLIENTS, DescriptorBudget.LOW_CLIENTS);
    }

    /**
     * Creates a gate for connections of a purpose.
     *
     * @param lowMark idle connections should be closed while fewer descriptors than this are available
     */
    public AcceptGate(DescriptorBudget descriptors, Purpose purpose, int lowMark) {
        this.descriptors = descriptors;
        this.purpose = purpose;
        this.tight = lowMark;
    }

    /** Takes a descriptor for a connection to be accepted now; false if accepting is paused. */
    public boolean enter(long now) {
        return now >= closedUntil && descriptors.tryTake(purpose);
    }

    /** The connection for which a descriptor was taken has been accepted. */
    public void accepted() {
        pause = FIRST_PAUSE;
        accepted = Math.min(accepted + 1, A_STEP * MOST_A_TURN);
    }

    /** No connection was pending; gives the descriptor back. */
    public void nothing() {
        descriptors.release(purpose);
    }

    /** The system call failed; returns the time to pause. */
    public long failed(long now) {
        long currentPause = pause;
        closedUntil = now + currentPause;
        pause = Math.min(LONGEST_PAUSE, 2 * pause);
        descriptors.release(purpose);
        return currentPause;
    }

    /** A connection is being closed; its descriptor is still in use. */
    public void leaving() {
        leaving++;
    }

    /** A connection reported to {@link #leaving()} is closed; releases its descriptor. */
    public void left() {
        leaving--;
        descriptors.release(purpose);
    }

    /** Whether accepting may resume after a pause. */
    public boolean mayResume(long now) {
        return now >= closedUntil && descriptors.available(purpose) > 0;
    }

    /** Number of pending connections that one turn of the event loop may accept. */
    public int perTurn() {
        return Math.min(MOST_A_TURN, 1 + accepted / A_STEP);
    }

    /** Whether idle connections should be closed to make room for new ones. */
    public boolean tight() {
        return descriptors.available(purpose) + leaving < tight;
    }
}
