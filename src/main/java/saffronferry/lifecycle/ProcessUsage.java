package saffronferry.lifecycle;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import saffronferry.ops.ControlUsage;

/** Samples the processor time and memory that the operating system reports for this process, for the metrics. */
final class ProcessUsage {
    /** Long enough that the sampling itself does not show in the samples. */
    private static final long SAMPLE_INTERVAL_MS = 5_000;
    /** proc(5) reports processor time in clock ticks of 10 ms. */
    private static final long CLOCK_TICK_MS = 10;

    /** The processor time since the start in milliseconds, and the resident memory in bytes. */
    record Sample(long cpu, long resident) {}

    private ProcessUsage() {}

    /** To be called on the event loop. Where the system reports nothing, only the metrics are missing. */
    static void startSampling(Vertx vertx, ControlUsage usage) {
        vertx.executeBlocking(ProcessUsage::read).onComplete(sample -> {
            if (sample.succeeded()) {
                usage.recordSample(System.nanoTime() / 1_000_000, sample.result().cpu, sample.result().resident);
            }
            vertx.setTimer(SAMPLE_INTERVAL_MS, t -> startSampling(vertx, usage));
        });
    }

    /** Reads files. */
    static Sample read() throws IOException {
        return read(Files.readString(Path.of("/proc/self/stat")), Files.readString(Path.of("/proc/self/status")));
    }

    /** Parses the contents of the files {@code stat} and {@code status} of proc(5). */
    static Sample read(String stat, String status) throws IOException {
        try {
            // The second field is the program name, which may contain blanks and brackets: parse after the last
            // bracket.
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            long ticks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
            String kib = status.lines()
                    .filter(line -> line.startsWith("VmRSS:"))
                    .findFirst()
                    .orElseThrow()
                    .replaceAll("\\D", "");
            return new Sample(ticks * CLOCK_TICK_MS, Long.parseLong(kib) * 1024);
        } catch (RuntimeException e) {
            throw new IOException("cannot parse /proc/self/stat and /proc/self/status: " + e.getMessage());
        }
    }
}
