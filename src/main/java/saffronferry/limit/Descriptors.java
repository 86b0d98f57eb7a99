package saffronferry.limit;

import java.util.ArrayList;
import java.util.List;

/**
 * Budget of the process's file descriptors. Each purpose has a guaranteed and a maximum number; between the two it
 * competes for what the other purposes leave. The sum never exceeds the limit less {@link #SPARE}, which is reserved
 * for descriptors that the JVM and its libraries open on their own. Not thread-safe.
 */
public final class Descriptors {
    /** Purposes of descriptors. Files and listening sockets are counted once, at the start. */
    public enum Purpose {
        CLIENTS,
        WORKERS,
        PROBES,
        DISCOVERY,
        CONSOLE
    }

    /** Descriptors that are never given out. */
    public static final int SPARE = 16;
    /** With fewer descriptors available for clients than this, idle client connections make room for new ones. */
    public static final int TIGHT = 8;
    /** The same for console connections; low, so that other calls can continue while a new one comes in. */
    public static final int TIGHT_CONSOLE = 2;

    private static final int DISCOVERY = 4;
    private static final int PROBES = 8;
    private static final int CONSOLE = 6;
    private static final int MOST_CONSOLE = 16;

    private final int limit;
    private final int own;
    private int total;
    private final int[] sure = new int[Purpose.values().length];
    private final int[] most = new int[Purpose.values().length];
    private final int[] plannedSure = new int[Purpose.values().length];
    private final int[] plannedMost = new int[Purpose.values().length];
    private final int[] used = new int[Purpose.values().length];
    /** Guaranteed descriptors that have not been taken. */
    private int owed;

    private int usedInAll;
    private final List<Runnable> onFree = new ArrayList<>();

    /**
     * Divides a limit of which the process itself holds {@code own} descriptors, listening sockets included.
     *
     * @throws IllegalArgumentException if the guaranteed numbers do not fit
     */
    public Descriptors(int limit, int own) {
        this.limit = limit;
        this.own = own;
        total = limit - SPARE - own;
        // The platform specifies that normal clients hold at most a third.
        plan(Purpose.CLIENTS, limit / 3, limit / 2);
        plan(Purpose.WORKERS, limit / 4, limit / 2);
        plan(Purpose.PROBES, PROBES, Math.max(PROBES, limit / 8));
        plan(Purpose.DISCOVERY, DISCOVERY, DISCOVERY);
        // Operators must be able to connect however many clients there are.
        plan(Purpose.CONSOLE, CONSOLE, MOST_CONSOLE);
        if (owed > total) {
            throw new IllegalArgumentException("file descriptor limit of " + limit + " is too low: " + own
                    + " are used by the process, " + SPARE + " are reserved, and clients, workers, probes,"
                    + " discovery and the console need " + owed);
        }
    }

    /**
     * Divides this process's part of the limit while {@code processes} processes of the dispatcher run. Descriptors
     * held beyond the new numbers stay in use, and no more are given out until these are released.
     */
    public void share(int processes) {
        int whole = limit - SPARE - own;
        total = Math.max(Purpose.values().length, (limit - SPARE) / processes - own);
        owed = 0;
        for (Purpose p : Purpose.values()) {
            int i = p.ordinal();
            sure[i] = Math.max(1, plannedSure[i] * total / whole);
            most[i] = Math.max(sure[i], plannedMost[i] / processes);
            owed += Math.max(0, sure[i] - used[i]);
        }
        onFree.forEach(Runnable::run);
    }

    private void plan(Purpose p, int guaranteedCount, int maximumCount) {
        sure[p.ordinal()] = guaranteedCount;
        most[p.ordinal()] = maximumCount;
        plannedSure[p.ordinal()] = guaranteedCount;
        plannedMost[p.ordinal()] = maximumCount;
        owed += guaranteedCount;
    }

    /** Adds a callback for each release, after which other purposes may have more descriptors available. */
    public void onFree(Runnable listener) {
        onFree.add(listener);
    }

    /** Number of further descriptors that this purpose can take now. */
    public int left(Purpose p) {
        int i = p.ordinal();
        int unclaimed = Math.max(0, sure[i] - used[i]);
        int shared = total - usedInAll - owed;
        return Math.min(unclaimed + Math.max(0, shared), most[i] - used[i]);
    }

    /** Takes a descriptor; false if none is available for this purpose. */
    public boolean take(Purpose p) {
        if (left(p) <= 0) {
            return false;
        }
        int i = p.ordinal();
        owed -= used[i] < sure[i] ? 1 : 0;
        used[i]++;
        usedInAll++;
        return true;
    }

    /** Releases a descriptor that was taken. */
    public void release(Purpose p) {
        int i = p.ordinal();
        if (used[i] == 0) {
            throw new IllegalStateException("no descriptor is taken for " + p);
        }
        used[i]--;
        usedInAll--;
        owed += used[i] < sure[i] ? 1 : 0;
        onFree.forEach(Runnable::run);
    }

    public int used(Purpose p) {
        return used[p.ordinal()];
    }

    /** Maximum number that this purpose may hold. */
    public int most(Purpose p) {
        return most[p.ordinal()];
    }
}
