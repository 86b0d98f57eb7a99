package saffronferry.scale;

/** How much of the heap is in use by what can be reached. */
final class HeapUsage {
    private static final double MB = 1e6;
    private static final int MOST_ROUNDS = 12;

    private HeapUsage() {}

    /** In megabytes of a million bytes, after full collections until two free nothing more. */
    static double usedMb() {
        double least = Double.MAX_VALUE;
        for (int round = 0, still = 0; round < MOST_ROUNDS && still < 2; round++) {
            System.gc();
            Runtime runtime = Runtime.getRuntime();
            double used = (runtime.totalMemory() - runtime.freeMemory()) / MB;
            // guards against taking for a dispatcher's what one collection leaves behind of the play
            still = used < least - 0.01 ? 0 : still + 1;
            least = Math.min(least, used);
        }
        return least;
    }
}
