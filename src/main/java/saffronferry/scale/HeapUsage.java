package saffronferry.scale;

/** How much of the heap is in use by what can be reached. */
final class HeapUsage {
    private static final double BYTES_PER_MB = 1e6;
    private static final int MAX_COLLECTIONS = 12;

    private HeapUsage() {}

    /** In megabytes of a million bytes, after full collections until two free nothing more. */
    static double usedMb() {
        double least = Double.MAX_VALUE;
        for (int collection = 0, roundsWithoutGain = 0; collection < MAX_COLLECTIONS && roundsWithoutGain < 2; collection++) {
            System.gc();
            Runtime runtime = Runtime.getRuntime();
            double used = (runtime.totalMemory() - runtime.freeMemory()) / BYTES_PER_MB;
            // guards against taking for a dispatcher's what one collection leaves behind of the play
            roundsWithoutGain = used < least - 0.01 ? 0 : roundsWithoutGain + 1;
            least = Math.min(least, used);
        }
        return least;
    }
}
