package saffronferry.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;

/**
 * Processor time of the calling thread, in nanoseconds: unlike the wall's time it leaves out what other work
 * on the machine takes. To look costs time of its own, which {@link #since} leaves out.
 */
final class ThreadCpuClock {
    private static final int CALIBRATION_READS = 20_001;

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final long readCostNanos;

    /** Measures first what a look costs: the median of many. */
    ThreadCpuClock() {
        long[] readCosts = new long[CALIBRATION_READS];
        for (int i = 0; i < CALIBRATION_READS; i++) {
            long begun = now();
            readCosts[i] = now() - begun;
        }
        Arrays.sort(readCosts);
        readCostNanos = readCosts[CALIBRATION_READS / 2];
    }

    long now() {
        return threads.getCurrentThreadCpuTime();
    }

    /** What the thread has spent since an earlier {@link #now}, without the look itself. */
    long elapsedSince(long begun) {
        return Math.max(0, now() - begun - readCostNanos);
    }
}
