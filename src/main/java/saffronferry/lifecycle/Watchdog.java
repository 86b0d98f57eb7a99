package saffronferry.lifecycle;

import io.vertx.core.Vertx;
import saffronferry.limit.EventLoopMonitor;

/**
 * Ends a process whose event loop is dead or hangs. Otherwise it would keep its clients' connections and its address
 * without answering, and the platform would not notice that it has to be restarted. Runs on its own thread, since
 * the loop cannot detect its own failure.
 */
final class Watchdog {
    /** The exit code of a process that ended itself because it could not serve: EX_SOFTWARE of sysexits.h. */
    static final int EXIT_UNABLE = 70;

    private static final long CHECK_INTERVAL_MS = 1_000;
    /** No task on the loop takes more than some tens of milliseconds, so a loop this late hangs. */
    static final long HANG_TIMEOUT_MS = 10_000;

    private final Runnable onHang;
    private final long checkIntervalMs;
    private final EventLoopMonitor watch;
    private volatile long heartbeats;
    private volatile boolean stopped;

    /** {@code onHang} runs on the watchdog's thread. */
    Watchdog(long hangTimeoutMs, Runnable onHang) {
        this.onHang = onHang;
        checkIntervalMs = Math.min(CHECK_INTERVAL_MS, hangTimeoutMs);
        watch = new EventLoopMonitor((int) (hangTimeoutMs / checkIntervalMs));
    }

    /** To be called on the event loop. */
    void start(Vertx vertx) {
        vertx.setPeriodic(checkIntervalMs / 2, t -> heartbeats++);
        Thread thread = new Thread(this::watchLoop, "watchdog");
        thread.setDaemon(true);
        thread.start();
    }

    void stop() {
        stopped = true;
    }

    private void watchLoop() {
        try {
            while (!stopped && !watch.isHung(heartbeats)) {
                Thread.sleep(checkIntervalMs);
            }
            if (!stopped) {
                onHang.run();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
