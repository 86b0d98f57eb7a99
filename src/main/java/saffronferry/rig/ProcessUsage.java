package saffronferry.rig;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a process has used until now, as the system counts it (Linux, {@code proc(5)}).
 *
 * @param cpuTicks processor time in the system's ticks of 10 ms, ended threads included
 * @param threads those that live, by their ids
 * @param resident memory in bytes that it holds
 * @param peak the most of it, in bytes, that it has held
 */
record ProcessUsage(long cpuTicks, Map<String, Thread> threads, long resident, long peak) {
    /** What kind a thread is of, its processor time in nanoseconds, how often it went to sleep by itself. */
    record Thread(String kind, long nanos, long sleeps) {}

    private static final Thread NONE = new Thread("", 0, 0);
    private static final double TICKS_PER_S = 100;
    private static final double MB = 1 << 20;
    /** What the JVM and the libraries call their threads, cut at 15 signs by the system. */
    private static final Map<String, String> KINDS = Map.of(
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

    /** Of a process that lives; an {@link IOException} tells that it does not. */
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
                                    KINDS.getOrDefault(name, "others"),
                                    Long.parseLong(times[0]),
                                    figure(Files.readString(task.resolve("status")), "voluntary_ctxt_switches:")));
                } catch (IOException e) {
                    // guards against a thread that has ended since the folder was read
                }
            }
        }
        String status = Files.readString(proc.resolve("status"));
        return new ProcessUsage(
                Long.parseLong(fields[11]) + Long.parseLong(fields[12]),
                threads,
                figure(status, "VmRSS:") * 1024,
                figure(status, "VmHWM:") * 1024);
    }

    /** The first number of the line with that key; 0 where there is none. */
    private static long figure(String status, String key) {
        return status.lines()
                .filter(line -> line.startsWith(key))
                .findFirst()
                .map(line -> Long.parseLong(line.substring(key.length()).strip().split("\\s")[0]))
                .orElse(0L);
    }

    /** Percent of one core since then. */
    double corePercent(ProcessUsage since, double seconds) {
        return (cpuTicks - since.cpuTicks) / TICKS_PER_S / seconds * 100;
    }

    /** The same by kind of thread, of those that live. */
    Map<String, Double> corePercentByThread(ProcessUsage since, double seconds) {
        Map<String, Double> all = new TreeMap<>();
        threads.forEach((id, t) -> all.merge(
                t.kind, (t.nanos - since.threads.getOrDefault(id, NONE).nanos) / 1e9 / seconds * 100, Double::sum));
        return all;
    }

    /** How often the threads that live went to sleep by themselves since then. */
    long wakeUps(ProcessUsage since) {
        return threads.entrySet().stream()
                .mapToLong(t -> t.getValue().sleeps - since.threads.getOrDefault(t.getKey(), NONE).sleeps)
                .sum();
    }

    /** Processor time since the start of the process, in seconds. */
    double cpuSeconds() {
        return cpuTicks / TICKS_PER_S;
    }

    double residentMb() {
        return resident / MB;
    }

    double peakMb() {
        return peak / MB;
    }
}
