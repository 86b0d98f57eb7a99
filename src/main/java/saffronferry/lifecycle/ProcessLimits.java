package saffronferry.lifecycle;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the system says of this process: descriptors and signals; where it says nothing, cautious guesses. */
final class ProcessLimits {
    /** A JVM of ours holds fewer at its start. */
    private static final int OPEN_GUESS = 24;

    private ProcessLimits() {}

    /** How many descriptors the system lets the process hold; the largest number if it does not say. */
    static int most() {
        try {
            return most(Files.readString(Path.of("/proc/self/limits")));
        } catch (IOException e) {
            return Integer.MAX_VALUE;
        }
    }

    /** The soft limit in the text of a {@code limits} file as proc(5) has it. */
    static int most(String limits) {
        return limits.lines()
                .filter(line -> line.startsWith("Max open files"))
                .map(line -> line.substring("Max open files".length()).trim().split("\\s+")[0])
                .filter(soft -> soft.matches("\\d{1,9}"))
                .mapToInt(Integer::parseInt)
                .findFirst()
                .orElse(Integer.MAX_VALUE);
    }

    /**
     * Whether this process was started with SIGHUP ignored. The JVM leaves a signal so that it finds so, and
     * takes a handler for it without a word that is never called.
     */
    static boolean hangupIgnored() {
        try {
            return hangupIgnored(Files.readString(Path.of("/proc/self/status")));
        } catch (IOException e) {
            return false;
        }
    }

    /** Bit 0 of the mask of ignored signals in the text of a {@code status} file as proc(5) has it. */
    static boolean hangupIgnored(String status) {
        return status.lines()
                .filter(line -> line.matches("SigIgn:\\s*[0-9a-f]{1,16}"))
                .map(line -> line.substring(line.length() - 1))
                .anyMatch(lowest -> (Integer.parseInt(lowest, 16) & 1) != 0);
    }

    /** How many descriptors the process holds now. */
    static int open() {
        String[] names = new File("/proc/self/fd").list();
        return names == null ? OPEN_GUESS : names.length - 1; // without the one that reads the folder
    }
}
