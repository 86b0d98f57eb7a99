package saffronferry.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;

/**
 * CPU time of the calling thread, in nanoseconds, which unlike wall-clock time excludes other load of the
 * machine. {@link #elapsedSince} subtracts the cost of reading the clock.
 */
final class ThreadCpuClock {
    private static final int CALIBRATION_READS = 20_001;

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final long readCostNanos;

    /** Calibrates the cost of reading the clock: the median of many reads. */
    ThreadCpuClock() {
        long[] readCosts = new long[CALIBRATION_READS];
        for (int i = 0; i < CALIBRATION_READS; i++) {
            long startNanos = now();
            readCosts[i] = now() - startNanos;
        }
        Arrays.sort(readCosts);
        readCostNanos = readCosts[CALIBRATION_READS / 2];
    }

    long now() {
        return threads.getCurrentThreadCpuTime();
    }

    /** CPU time of the thread since an earlier {@link #now}, without the cost of reading the clock. */
    long elapsedSince(long startNanos) {
        return Math.max(0, now() - startNanos - readCostNanos);
    }
}
