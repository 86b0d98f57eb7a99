package saffronferry.limit;

import java.util.ArrayList;
import java.util.List;

/**
 * The one place that knows how many descriptors there are and who may take one. Each purpose has a number it
 * is sure of and a most; between the two it takes what others leave. The sum never passes the limit less
 * {@link #SPARE}, which stays for what the JVM and its libraries open unasked. For one thread.
 */
public final class Descriptors {
    /** What descriptors are for. Files and listening sockets are counted once, at the start. */
    public enum Purpose {
        CLIENTS,
        WORKERS,
        PROBES,
        DISCOVERY,
        CONSOLE
    }

    /** Never given out: no crowd may bring the process nearer to its limit than this. */
    public static final int SPARE = 16;
    /** Where clients have no more left than this, those that say nothing make room for newcomers. */
    public static final int TIGHT = 8;
    /**
     * The same for operators' calls: of those they are sure of, others must stay while a new one comes in.
     */
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
    private int owed; // what purposes are sure of and have not taken
    private int usedInAll;
    private final List<Runnable> onFree = new ArrayList<>();

    /**
     * Plans for a limit of which the process itself holds {@code own}, listening sockets included.
     *
     * @throws IllegalArgumentException if the purposes' sure parts do not fit
     */
    public Descriptors(int limit, int own) {
        this.limit = limit;
        this.own = own;
        total = limit - SPARE - own;
        // by the platform's word usual clients hold a third at most
        plan(Purpose.CLIENTS, limit / 3, limit / 2);
        plan(Purpose.WORKERS, limit / 4, limit / 2);
        plan(Purpose.PROBES, PROBES, Math.max(PROBES, limit / 8));
        plan(Purpose.DISCOVERY, DISCOVERY, DISCOVERY);
        // operators must be heard however many clients there are
        plan(Purpose.CONSOLE, CONSOLE, MOST_CONSOLE);
        if (owed > total) {
            throw new IllegalArgumentException(limit + " descriptors are too few: " + own
                    + " are the program's own, " + SPARE + " stay free, and clients, workers, probes,"
                    + " discovery and the console need " + owed);
        }
    }

    /**
     * Plans anew for this process's part of the limit, of which so many processes live. What is taken beyond
     * the new plan stays, and nothing more is given out until it is back.
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

    private void plan(Purpose p, int surely, int atMost) {
        sure[p.ordinal()] = surely;
        most[p.ordinal()] = atMost;
        plannedSure[p.ordinal()] = surely;
        plannedMost[p.ordinal()] = atMost;
        owed += surely;
    }

    /** Calls back after each release, since one purpose's may be another's gain. */
    public void onFree(Runnable listener) {
        onFree.add(listener);
    }

    /** How many more descriptors this purpose could take now. */
    public int left(Purpose p) {
        int i = p.ordinal();
        int own = Math.max(0, sure[i] - used[i]);
        int shared = total - usedInAll - owed;
        return Math.min(own + Math.max(0, shared), most[i] - used[i]);
    }

    /** Takes a descriptor; false where none is left for this purpose, and nothing is taken. */
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

    /** Gives back one that was taken. */
    public void release(Purpose p) {
        int i = p.ordinal();
        if (used[i] == 0) {
            throw new IllegalStateException("none is taken for " + p);
        }
        used[i]--;
        usedInAll--;
        owed += used[i] < sure[i] ? 1 : 0;
        onFree.forEach(Runnable::run);
    }

    public int used(Purpose p) {
        return used[p.ordinal()];
    }

    /** The most that this purpose may ever hold. */
    public int most(Purpose p) {
        return most[p.ordinal()];
    }
}
