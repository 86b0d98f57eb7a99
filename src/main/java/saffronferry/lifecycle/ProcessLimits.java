package saffronferry.lifecycle;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the system reports of this process's file descriptors and signals, with cautious defaults. */
final class ProcessLimits {
    /** More than the descriptors that the JVM holds at the start; used if the system does not report them. */
    private static final int DEFAULT_OPEN_FILES = 24;

    private ProcessLimits() {}

    /** The number of descriptors that the process may hold; the largest number if the system does not report it. */
    static int maxOpenFiles() {
        try {
            return maxOpenFiles(Files.readString(Path.of("/proc/self/limits")));
        } catch (IOException e) {
            return Integer.MAX_VALUE;
        }
    }

    /** The soft limit in the text of a {@code limits} file of proc(5). */
    static int maxOpenFiles(String limits) {
        return limits.lines()
                .filter(line -> line.startsWith("Max open files"))
                .map(line -> line.substring("Max open files".length()).trim().split("\\s+")[0])
                .filter(soft -> soft.matches("\\d{1,9}"))
                .mapToInt(Integer::parseInt)
                .findFirst()
                .orElse(Integer.MAX_VALUE);
    }

    /**
     * Whether this process was started with SIGHUP ignored. The JVM leaves an ignored signal ignored: it accepts a
     * handler without an error, but never calls it.
     */
    static boolean hangupIgnored() {
        try {
            return hangupIgnored(Files.readString(Path.of("/proc/self/status")));
        } catch (IOException e) {
            return false;
        }
    }

    /** Bit 0 of the mask of ignored signals in the text of a {@code status} file of proc(5). */
    static boolean hangupIgnored(String status) {
        return status.lines()
                .filter(line -> line.matches("SigIgn:\\s*[0-9a-f]{1,16}"))
                .map(line -> line.substring(line.length() - 1))
                .anyMatch(lowest -> (Integer.parseInt(lowest, 16) & 1) != 0);
    }

    /** The number of descriptors that the process holds now. */
    static int openFiles() {
        String[] names = new File("/proc/self/fd").list();
        return names == null ? DEFAULT_OPEN_FILES : names.length - 1; // without the one that reads the folder
    }
}
