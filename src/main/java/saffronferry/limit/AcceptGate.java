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
    static final long MIN_PAUSE_MS = 10;

    static final long MAX_PAUSE_MS = 500;
    /** Connections accepted in one turn of the event loop; more would delay requests in progress. */
    static final int MAX_ACCEPTS_PER_TURN = 8;
    /** After a start, one more connection per turn is accepted each time that this many have been accepted. */
    private static final int ACCEPTS_PER_STEP = 8;

    private static final long NOT_WAITING = Long.MIN_VALUE;

    private final DescriptorBudget descriptors;
    private final Purpose purpose;
    private final int lowMark;

    private long pause = MIN_PAUSE_MS;
    private int acceptedCount;
    private int closingCount;
    private long pausedUntil = Long.MIN_VALUE;
    private boolean listening = true;
    /** Since when connections may wait in the backlog; {@link #NOT_WAITING} while it is empty. */
    private long waitingSince = NOT_WAITING;

    private long pastWaitMs;

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
        this.lowMark = lowMark;
    }

    /** Takes a descriptor for a connection to be accepted now; false if accepting is paused. */
    public boolean tryAcquire(long now) {
        boolean acquired = now >= pausedUntil && descriptors.tryTake(purpose);
        if (!acquired) {
            startWait(now);
        }
        return acquired;
    }

    private void startWait(long now) {
        waitingSince = waitingSince == NOT_WAITING ? now : waitingSince;
    }

    /** The connection for which a descriptor was taken has been accepted. */
    public void accepted() {
        pause = MIN_PAUSE_MS;
        acceptedCount = Math.min(acceptedCount + 1, ACCEPTS_PER_STEP * MAX_ACCEPTS_PER_TURN);
    }

    /** No connection was pending; gives the descriptor back. */
    public void nothingAccepted(long now) {
        descriptors.release(purpose);
        backlogEmpty(now);
    }

    /** No connection waits in the backlog. */
    public void backlogEmpty(long now) {
        pastWaitMs += waitMs(now);
        waitingSince = NOT_WAITING;
    }

    /** Whether connections may wait in the backlog since an earlier pause. */
    public boolean mayWait() {
        return waitingSince != NOT_WAITING;
    }

    /**
     * The longest time that a connection accepted now can have waited in the backlog because accepting was paused, in
     * milliseconds. The operating system does not tell when a connection was established, so this is the time since
     * the backlog was last known to be empty.
     */
    public long waitMs(long now) {
        return mayWait() ? Math.max(0, now - waitingSince) : 0;
    }

    /** The time in milliseconds since the start in which connections may have waited in the backlog. */
    public long totalWaitMs(long now) {
        return pastWaitMs + waitMs(now);
    }

    /** The system call failed; returns the time to pause. */
    public long acceptFailed(long now) {
        long currentPause = pause;
        pausedUntil = now + currentPause;
        startWait(now);
        pause = Math.min(MAX_PAUSE_MS, 2 * pause);
        descriptors.release(purpose);
        return currentPause;
    }

    /** A connection is being closed; its descriptor is still in use. */
    public void connectionClosing() {
        closingCount++;
    }

    /** A connection reported to {@link #connectionClosing()} is closed; releases its descriptor. */
    public void connectionClosed() {
        closingCount--;
        descriptors.release(purpose);
    }

    /** Whether accepting may resume after a pause. */
    public boolean canResume(long now) {
        return now >= pausedUntil && descriptors.available(purpose) > 0;
    }

    /** Number of pending connections that one turn of the event loop may accept. */
    public int acceptsPerTurn() {
        return Math.min(MAX_ACCEPTS_PER_TURN, 1 + acceptedCount / ACCEPTS_PER_STEP);
    }

    /** Sets whether new connections can come; without them, no room has to be made for any. */
    public void setListening(boolean listening) {
        this.listening = listening;
    }

    /** Whether idle connections should be closed to make room for new ones. */
    public boolean isLow() {
        return listening && descriptors.available(purpose) + closingCount < lowMark;
    }
}
