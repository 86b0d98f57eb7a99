package saffronferry.rig;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * Cumulative resource usage of a process (Linux, {@code proc(5)}).
 *
 * @param cpuTicks CPU time in clock ticks of 10 ms, including ended threads
 * @param threads the live threads by thread id
 * @param residentBytes resident set size
 * @param peakBytes peak resident set size
 */
record ProcessUsage(long cpuTicks, Map<String, Thread> threads, long residentBytes, long peakBytes) {
    /** The kind of a thread, its CPU time in nanoseconds and its voluntary context switches. */
    record Thread(String kind, long nanos, long voluntarySwitches) {}

    private static final Thread NO_USAGE = new Thread("", 0, 0);
    private static final double TICKS_PER_S = 100;
    private static final double BYTES_PER_MB = 1 << 20;
    /** Thread kinds by the names that the JVM and the libraries set, which Linux truncates to 15 characters. */
    private static final Map<String, String> THREAD_KINDS = Map.of(
            "vert.x-eventloo",
            "loop",
            "VM Thread",
            "vm_thread",
            "VM Periodic Tas",
            "vm_periodic",
            "C1 CompilerThre",
            "compiler",
            "vert.x-worker-t",
            "files",
            "watchdog",
            "watchdog",
            "vertx-blocked-t",
            "blocked_check");

    /** Reads the usage of a live process; throws {@link IOException} if it does not exist. */
    static ProcessUsage of(long pid) throws IOException {
        Path proc = Path.of("/proc/" + pid);
        String stat = Files.readString(proc.resolve("stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        Map<String, Thread> threads = new TreeMap<>();
        try (DirectoryStream<Path> tasks = Files.newDirectoryStream(proc.resolve("task"))) {
            for (Path task : tasks) {
                try {
                    String name = Files.readString(task.resolve("comm")).strip();
                    String[] times = Files.readString(task.resolve("schedstat")).split(" ");
                    threads.put(
                            task.getFileName().toString(),
                            new Thread(
                                    THREAD_KINDS.getOrDefault(name, "others"),
                                    Long.parseLong(times[0]),
                                    statusValue(Files.readString(task.resolve("status")), "voluntary_ctxt_switches:")));
                } catch (IOException e) {
                    // the thread has ended since the directory was read
                }
            }
        }
        String status = Files.readString(proc.resolve("status"));
        return new ProcessUsage(
                Long.parseLong(fields[11]) + Long.parseLong(fields[12]),
                threads,
                statusValue(status, "VmRSS:") * 1024,
                statusValue(status, "VmHWM:") * 1024);
    }

    /** The first number of the line that starts with a key; 0 if there is none. */
    private static long statusValue(String status, String key) {
        return status.lines()
                .filter(line -> line.startsWith(key))
                .findFirst()
                .map(line -> Long.parseLong(line.substring(key.length()).strip().split("\\s")[0]))
                .orElse(0L);
    }

    /** CPU time since an earlier reading, in percent of one core. */
    double corePercent(ProcessUsage since, double seconds) {
        return (cpuTicks - since.cpuTicks) / TICKS_PER_S / seconds * 100;
    }

    /** CPU time of the live threads since an earlier reading, in percent of one core, by thread kind. */
    Map<String, Double> corePercentByThread(ProcessUsage since, double seconds) {
        Map<String, Double> all = new TreeMap<>();
        threads.forEach((id, t) -> all.merge(
                t.kind, (t.nanos - since.threads.getOrDefault(id, NO_USAGE).nanos) / 1e9 / seconds * 100, Double::sum));
        return all;
    }

    /** Voluntary context switches of the live threads since an earlier reading. */
    long wakeUps(ProcessUsage since) {
        return threads.entrySet().stream()
                .mapToLong(t -> t.getValue().voluntarySwitches
                        - since.threads.getOrDefault(t.getKey(), NO_USAGE).voluntarySwitches)
                .sum();
    }

    /** CPU time since the start of the process, in seconds. */
    double cpuSeconds() {
        return cpuTicks / TICKS_PER_S;
    }

    double residentMb() {
        return residentBytes / BYTES_PER_MB;
    }

    double peakMb() {
        return peakBytes / BYTES_PER_MB;
    }
}
