package saffronferry.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;

/**
 * Processor time of the calling thread, in nanoseconds: unlike the wall's time it leaves out what other work
 * on the machine takes. To look costs time of its own, which {@link #since} leaves out.
 */
final class ThreadCpuClock {
    private static final int LOOKS = 20_001;

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final long look;

    /** Measures first what a look costs: the median of many. */
    ThreadCpuClock() {
        long[] seen = new long[LOOKS];
        for (int i = 0; i < LOOKS; i++) {
            long begun = now();
            seen[i] = now() - begun;
        }
        Arrays.sort(seen);
        look = seen[LOOKS / 2];
    }

    long now() {
        return threads.getCurrentThreadCpuTime();
    }

    /** What the thread has spent since an earlier {@link #now}, without the look itself. */
    long since(long begun) {
        return Math.max(0, now() - begun - look);
    }
}
