package saffronferry.lifecycle;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import saffronferry.ops.ControlUsage;

/** Looks, a few times a minute, at what the system says this process has used, for operators to see. */
final class OwnUse {
    /** Rarely enough that the look itself costs nothing that it would show. */
    private static final long EVERY_MS = 5_000;
    /** Of proc(5): the system counts processor time for users in hundredths of a second. */
    private static final long TICK_MS = 10;

    /** Processor time since the start in milliseconds, and memory in bytes. */
    record Use(long cpu, long resident) {}

    private OwnUse() {}

    /** To be called on the event loop. A system that says nothing costs the figures alone. */
    static void keep(Vertx vertx, ControlUsage usage) {
        vertx.executeBlocking(OwnUse::read).onComplete(use -> {
            if (use.succeeded()) {
                usage.recordSample(System.nanoTime() / 1_000_000, use.result().cpu, use.result().resident);
            }
            vertx.setTimer(EVERY_MS, t -> keep(vertx, usage));
        });
    }

    /** Reads files. */
    static Use read() throws IOException {
        return read(Files.readString(Path.of("/proc/self/stat")), Files.readString(Path.of("/proc/self/status")));
    }

    /** Of the texts of {@code stat} and {@code status} as proc(5) has them. */
    static Use read(String stat, String status) throws IOException {
        try {
            // danger: the second field is the program's name, which may hold blanks and brackets
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            long ticks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
            String kib = status.lines()
                    .filter(line -> line.startsWith("VmRSS:"))
                    .findFirst()
                    .orElseThrow()
                    .replaceAll("\\D", "");
            return new Use(ticks * TICK_MS, Long.parseLong(kib) * 1024);
        } catch (RuntimeException e) {
            throw new IOException("what the system says cannot be read: " + e.getMessage());
        }
    }
}
