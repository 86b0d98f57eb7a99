package saffronferry.lifecycle;

import io.vertx.core.Vertx;
import saffronferry.limit.LoopWatch;

/**
 * Ends a process whose event loop is dead or hangs: it would hold its clients' connections and its address,
 * answer nobody, and no platform would know that it must be started again. A thread of its own, since the
 * loop cannot tell of its own death; it does nothing but look.
 */
final class Watchdog {
    /** The exit code of a process that ended itself since it could not serve: EX_SOFTWARE of sysexits.h. */
    static final int EXIT_UNABLE = 70;

    private static final long LOOK_MS = 1_000;
    /** No step on the loop takes more than some tens of milliseconds: so long is not slowness. */
    static final long GIVE_UP_MS = 10_000;

    private final Runnable onHang;
    private final long lookMs;
    private final LoopWatch watch;
    private volatile long turn;
    private volatile boolean stopped;

    /** {@code onHang} runs on the watchdog's thread. */
    Watchdog(long giveUpMs, Runnable onHang) {
        this.onHang = onHang;
        lookMs = Math.min(LOOK_MS, giveUpMs);
        watch = new LoopWatch((int) (giveUpMs / lookMs));
    }

    /** To be called on the event loop. */
    void start(Vertx vertx) {
        vertx.setPeriodic(lookMs / 2, t -> turn++);
        Thread thread = new Thread(this::look, "watchdog");
        thread.setDaemon(true);
        thread.start();
    }

    void stop() {
        stopped = true;
    }

    private void look() {
        try {
            while (!stopped && !watch.hangs(turn)) {
                Thread.sleep(lookMs);
            }
            if (!stopped) {
                onHang.run();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
