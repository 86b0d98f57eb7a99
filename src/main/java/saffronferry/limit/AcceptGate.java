package saffronferry.limit;

import saffronferry.limit.Descriptors.Purpose;

/**
 * Whether the next waiting connection is accepted. While it is not, the system's backlog keeps it. Accepting
 * pauses when its purpose has no descriptor left, until one is free again, and after a failure of the
 * system's call, for a time that doubles with each failure on end. Times in milliseconds. For one thread.
 */
public final class AcceptGate {
    /** After the first failure, and at most. */
    static final long FIRST_PAUSE = 10;

    static final long LONGEST_PAUSE = 500;

    private final Descriptors descriptors;
    private final Purpose purpose;
    private final int tight;
    /** In one turn of the loop: requests under way must not wait behind a crowd of newcomers. */
    static final int MOST_A_TURN = 8;
    /** A start is cold: its turns take on one more each time that so many have come in. */
    private static final int A_STEP = 8;

    private long pause = FIRST_PAUSE;
    private int accepted;
    private int leaving;
    private long closedUntil = Long.MIN_VALUE;

    /** For clients' connections. */
    public AcceptGate(Descriptors descriptors) {
        this(descriptors, Purpose.CLIENTS, Descriptors.TIGHT);
    }

    /**
     * For connections of a purpose, of which the silent are to go where no more than {@code tight} are left.
     */
    public AcceptGate(Descriptors descriptors, Purpose purpose, int tight) {
        this.descriptors = descriptors;
        this.purpose = purpose;
        this.tight = tight;
    }

    /** Takes a descriptor for a connection to be accepted now; false if accepting is to pause. */
    public boolean enter(long now) {
        return now >= closedUntil && descriptors.take(purpose);
    }

    /** The connection entered for is here. */
    public void accepted() {
        pause = FIRST_PAUSE;
        accepted = Math.min(accepted + 1, A_STEP * MOST_A_TURN);
    }

    /** No connection waited after all. */
    public void nothing() {
        descriptors.release(purpose);
    }

    /** The call failed; how long to pause. */
    public long failed(long now) {
        long wait = pause;
        closedUntil = now + wait;
        pause = Math.min(LONGEST_PAUSE, 2 * pause);
        descriptors.release(purpose);
        return wait;
    }

    /** A connection has ended, but the system is yet to give its descriptor back. */
    public void leaving() {
        leaving++;
    }

    /** What was {@link #leaving} has left: its descriptor is free. */
    public void left() {
        leaving--;
        descriptors.release(purpose);
    }

    /** Whether a paused accepting may go on. */
    public boolean mayResume(long now) {
        return now >= closedUntil && descriptors.left(purpose) > 0;
    }

    /** How many waiting connections a turn of the loop may take in. */
    public int perTurn() {
        return Math.min(MOST_A_TURN, 1 + accepted / A_STEP);
    }

    /** Whether those that say nothing should make room for newcomers. */
    public boolean tight() {
        return descriptors.left(purpose) + leaving < tight;
    }
}
