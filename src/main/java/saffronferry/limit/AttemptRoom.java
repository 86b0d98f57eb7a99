package saffronferry.limit;

import saffronferry.limit.Descriptors.Purpose;

/**
 * Whether further call attempts can be opened: there are descriptors left for workers, and the system has not
 * just refused one. Tells of changes only. Times in milliseconds. For one thread.
 */
public final class AttemptRoom {
    /** Who hears of changes. */
    public interface Listener {
        void room(boolean open);
    }

    /** The system's want is seldom its last word: a descriptor or port is free again soon. */
    public static final long PAUSE = 50;

    private final Descriptors descriptors;
    private final Listener listener;
    private boolean open = true;
    private long closedUntil = Long.MIN_VALUE;

    public AttemptRoom(Descriptors descriptors, Listener listener) {
        this.descriptors = descriptors;
        this.listener = listener;
    }

    /** The system had no descriptor or port for an attempt; {@link #look} is due after {@link #PAUSE}. */
    public void refused(long now) {
        closedUntil = now + PAUSE;
        look(now);
    }

    /** To be called whenever a descriptor was taken or given back. */
    public void look(long now) {
        boolean is = descriptors.left(Purpose.WORKERS) > 0 && now >= closedUntil;
        if (is != open) {
            open = is;
            listener.room(is);
        }
    }
}
