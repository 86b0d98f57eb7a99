package saffronferry.scale;

/** Measures the heap used by reachable objects. */
final class HeapUsage {
    private static final double BYTES_PER_MB = 1e6;
    private static final int MAX_COLLECTIONS = 12;

    private HeapUsage() {}

    /** Used heap in megabytes (10^6 bytes), after full collections until two in a row free nothing more. */
    static double usedMb() {
        double least = Double.MAX_VALUE;
        for (int collection = 0, roundsWithoutGain = 0;
                collection < MAX_COLLECTIONS && roundsWithoutGain < 2;
                collection++) {
            System.gc();
            Runtime runtime = Runtime.getRuntime();
            double used = (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MB;
            // one collection may leave garbage of the simulation, which would be attributed to a dispatcher
            roundsWithoutGain = used < least - 0.01 ? 0 : roundsWithoutGain + 1;
            least = Math.min(least, used);
        }
        return least;
    }
}
