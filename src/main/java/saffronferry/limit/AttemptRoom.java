package saffronferry.limit;

import saffronferry.limit.DescriptorBudget.Purpose;

/**
 * Whether further call attempts can be opened: descriptors for workers are available, and the system has not refused
 * a connection just now. Reports changes only. Times are in milliseconds. Not thread-safe.
 */
public final class AttemptRoom {
    /** Receives changes. */
    public interface Listener {
        void room(boolean open);
    }

    /** Time after which opening is tried again: the system usually has a free descriptor or port soon. */
    public static final long PAUSE = 50;

    private final DescriptorBudget descriptors;
    private final Listener listener;
    private boolean open = true;
    private long closedUntil = Long.MIN_VALUE;

    public AttemptRoom(DescriptorBudget descriptors, Listener listener) {
        this.descriptors = descriptors;
        this.listener = listener;
    }

    /** The system had no descriptor or port for an attempt; call {@link #look} again after {@link #PAUSE}. */
    public void refused(long now) {
        closedUntil = now + PAUSE;
        look(now);
    }

    /** To be called whenever a descriptor was taken or released. */
    public void look(long now) {
        boolean availableNow = descriptors.available(Purpose.WORKERS) > 0 && now >= closedUntil;
        if (availableNow != open) {
            open = availableNow;
            listener.room(availableNow);
        }
    }
}
