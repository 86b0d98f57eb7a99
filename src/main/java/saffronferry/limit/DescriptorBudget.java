package saffronferry.limit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Budget of the process's file descriptors. Each purpose has a guaranteed and a maximum number; between the two it
 * competes for what the other purposes leave. The sum never exceeds the limit less {@link #RESERVED}, which is reserved
 * for descriptors that the JVM and its libraries open on their own. Not thread-safe.
 */
public final class DescriptorBudget {
    /** Purposes of descriptors. Files and listening sockets are counted once, at the start. */
    public enum Purpose {
        CLIENTS(1),
        WORKERS(1),
        PROBES(2),
        DISCOVERY(2),
        /** More than {@link #LOW_CONSOLE}, so that a single call is never closed to make room. */
        CONSOLE(3);

        /** Guaranteed however few descriptors the process has while it shares them with another one. */
        private final int minimum;

        Purpose(int minimum) {
            this.minimum = minimum;
        }
    }

    /** Descriptors that are never given out. */
    public static final int RESERVED = 16;
    /** With fewer descriptors available for clients than this, idle client connections make room for new ones. */
    public static final int LOW_CLIENTS = 8;
    /** The same for console connections; low, so that other calls can continue while a new one comes in. */
    public static final int LOW_CONSOLE = 2;

    private static final int DISCOVERY = 4;
    private static final int PROBES = 8;
    private static final int CONSOLE = 6;
    private static final int MAX_CONSOLE = 16;
    private static final int SUM_OF_MINIMA =
            Arrays.stream(Purpose.values()).mapToInt(p -> p.minimum).sum();
    /** Besides an attempt for each client, what a process needs that accepts no more clients. */
    private static final int SPARE_WITH_CLIENTS = 16;
    /** The same once its clients have gone. */
    private static final int SPARE_WITHOUT_CLIENTS = 12;

    private final int limit;
    private final int heldByProcess;
    private int total;
    private final int[] guaranteed = new int[Purpose.values().length];
    private final int[] maximum = new int[Purpose.values().length];
    private final int[] plannedGuaranteed = new int[Purpose.values().length];
    private final int[] plannedMaximum = new int[Purpose.values().length];
    private final int[] used = new int[Purpose.values().length];
    /** Guaranteed descriptors that have not been taken. */
    private int unclaimedGuarantees;

    private int totalUsed;
    private final List<Runnable> releaseListeners = new ArrayList<>();

    /**
     * Divides a limit of which the process itself holds {@code heldByProcess} descriptors, listening sockets included.
     *
     * @throws IllegalArgumentException if the guaranteed numbers do not fit
     */
    public DescriptorBudget(int limit, int heldByProcess) {
        this.limit = limit;
        this.heldByProcess = heldByProcess;
        total = limit - RESERVED - heldByProcess;
        // The platform specifies that normal clients hold at most a third.
        plan(Purpose.CLIENTS, limit / 3, limit / 2);
        plan(Purpose.WORKERS, limit / 4, limit / 2);
        plan(Purpose.PROBES, PROBES, Math.max(PROBES, limit / 8));
        plan(Purpose.DISCOVERY, DISCOVERY, DISCOVERY);
        // Operators must be able to connect however many clients there are.
        plan(Purpose.CONSOLE, CONSOLE, MAX_CONSOLE);
        if (unclaimedGuarantees > total) {
            throw new IllegalArgumentException("file descriptor limit of " + limit + " is too low: " + heldByProcess
                    + " are used by the process, " + RESERVED + " are reserved, and clients, workers, probes,"
                    + " discovery and the console need " + unclaimedGuarantees);
        }
    }

    /** The number of descriptors that all processes of the dispatcher share. */
    int shareable() {
        return limit - RESERVED;
    }

    /** Descriptors of the process itself, which belong to no purpose. */
    int heldByProcess() {
        return heldByProcess;
    }

    /**
     * Limits this process to a part of the descriptors, those of the process itself included. Descriptors held beyond
     * the new numbers stay in use, and no more are given out until these are released.
     */
    public void limitTo(int partOfProcess) {
        int whole = shareable() - heldByProcess;
        total = Math.max(SUM_OF_MINIMA, partOfProcess - heldByProcess);
        boolean fits = total >= Arrays.stream(plannedGuaranteed).sum();
        unclaimedGuarantees = 0;
        for (Purpose p : Purpose.values()) {
            int i = p.ordinal();
            int proportional = Math.max(p.minimum, plannedGuaranteed[i] * total / whole);
            guaranteed[i] = fits ? plannedGuaranteed[i] : proportional;
            maximum[i] = Math.max(guaranteed[i], plannedMaximum[i] * total / whole);
            unclaimedGuarantees += Math.max(0, guaranteed[i] - used[i]);
        }
        releaseListeners.forEach(Runnable::run);
    }

    /**
     * The part that suffices for a process that accepts no more clients: what is in use, an attempt for each client
     * that it still serves, and some for repeats, the list, probes and operators.
     */
    int needed() {
        int clients = used[Purpose.CLIENTS.ordinal()];
        int workers = used[Purpose.WORKERS.ordinal()];
        int spare = clients > 0 ? SPARE_WITH_CLIENTS : SPARE_WITHOUT_CLIENTS;
        return heldByProcess + totalUsed + Math.max(0, clients - workers) + spare;
    }

    private void plan(Purpose p, int guaranteedCount, int maximumCount) {
        guaranteed[p.ordinal()] = guaranteedCount;
        maximum[p.ordinal()] = maximumCount;
        plannedGuaranteed[p.ordinal()] = guaranteedCount;
        plannedMaximum[p.ordinal()] = maximumCount;
        unclaimedGuarantees += guaranteedCount;
    }

    /** Adds a callback for each release, after which other purposes may have more descriptors available. */
    public void addReleaseListener(Runnable listener) {
        releaseListeners.add(listener);
    }

    /** Number of further descriptors that this purpose can take now. */
    public int available(Purpose p) {
        int i = p.ordinal();
        int unclaimed = Math.max(0, guaranteed[i] - used[i]);
        int shared = total - totalUsed - unclaimedGuarantees;
        return Math.min(unclaimed + Math.max(0, shared), maximum[i] - used[i]);
    }

    /** Takes a descriptor; false if none is available for this purpose. */
    public boolean tryTake(Purpose p) {
        if (available(p) <= 0) {
            return false;
        }
        int i = p.ordinal();
        unclaimedGuarantees -= used[i] < guaranteed[i] ? 1 : 0;
        used[i]++;
        totalUsed++;
        return true;
    }

    /** Releases a descriptor that was taken. */
    public void release(Purpose p) {
        int i = p.ordinal();
        if (used[i] == 0) {
            throw new IllegalStateException("no descriptor is taken for " + p);
        }
        used[i]--;
        totalUsed--;
        unclaimedGuarantees += used[i] < guaranteed[i] ? 1 : 0;
        releaseListeners.forEach(Runnable::run);
    }

    public int used(Purpose p) {
        return used[p.ordinal()];
    }

    /** Maximum number that this purpose may hold. */
    public int maximum(Purpose p) {
        return maximum[p.ordinal()];
    }
}
