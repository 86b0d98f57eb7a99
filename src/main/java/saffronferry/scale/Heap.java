package saffronferry.scale;

/** How much of the heap is in use by what can be reached. */
final class Heap {
    private static final double MB = 1e6;
    private static final int ROUNDS = 2;

    private Heap() { }

    /** In megabytes of a million bytes, after full collections. */
    static double usedMb() {
        for (int i = 0; i < ROUNDS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return (runtime.totalMemory() - runtime.freeMemory()) / MB;
    }
}
