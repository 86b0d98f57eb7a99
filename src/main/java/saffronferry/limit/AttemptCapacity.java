package saffronferry.limit;

import saffronferry.limit.DescriptorBudget.Purpose;

/**
 * Whether further call attempts can be opened: descriptors for workers are available, and the system has not refused
 * a connection just now. Reports changes only. Times are in milliseconds. Not thread-safe.
 */
public final class AttemptCapacity {
    /** Receives changes. */
    public interface Listener {
        void capacityChanged(boolean available);
    }

    /** Time after which opening is tried again: the system usually has a free descriptor or port soon. */
    public static final long PAUSE_MS = 50;

    private final DescriptorBudget descriptors;
    private final Listener listener;
    private boolean available = true;
    private long pausedUntil = Long.MIN_VALUE;

    public AttemptCapacity(DescriptorBudget descriptors, Listener listener) {
        this.descriptors = descriptors;
        this.listener = listener;
    }

    /** The system had no descriptor or port for an attempt; call {@link #update} again after {@link #PAUSE_MS}. */
    public void openFailed(long now) {
        pausedUntil = now + PAUSE_MS;
        update(now);
    }

    /** To be called whenever a descriptor was taken or released. */
    public void update(long now) {
        boolean availableNow = descriptors.available(Purpose.WORKERS) > 0 && now >= pausedUntil;
        if (availableNow != available) {
            available = availableNow;
            listener.capacityChanged(availableNow);
        }
    }
}
