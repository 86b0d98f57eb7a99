package saffronferry.ops;

import java.util.ArrayDeque;
import java.util.Locale;

/**
 * What a dispatcher uses for control traffic, for operators to compare with its budget: bytes by kind, counted
 * where they are read and written, and samples of the processor time and memory of the whole process. Rates cover
 * the last minute. Times in milliseconds, passed in by the caller. Not thread-safe.
 */
public final class ControlUsage {
    /** A kind of control traffic. Requests of clients and their responses are not control traffic. */
    public enum Kind {
        /** The list of discovery and its changes, including HTTP headers. */
        LISTS("lists"),
        /** Datagrams of other dispatchers, without the IP and UDP headers. */
        DATAGRAMS("datagrams"),
        /** Load reports of workers, including HTTP headers. */
        PROBES("probes");

        private final String label;

        Kind(String label) {
            this.label = label;
        }
    }

    /** Rates cover about this period. */
    private static final long RATE_WINDOW_MS = 60_000;

    private record Sample(long at, long cpuMs, long controlBytes) {}

    private final long[] received = new long[Kind.values().length];
    private final long[] sent = new long[Kind.values().length];
    /** Samples no older than the rate window, but always the last two. */
    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    private long residentBytes;

    public void recordReceived(Kind kind, int bytes) {
        received[kind.ordinal()] += bytes;
    }

    /** Counts bytes that were handed to the operating system. */
    public void recordSent(Kind kind, int bytes) {
        sent[kind.ordinal()] += bytes;
    }

    public long bytesReceived(Kind kind) {
        return received[kind.ordinal()];
    }

    public long bytesSent(Kind kind) {
        return sent[kind.ordinal()];
    }

    private long totalBytes() {
        long total = 0;
        for (Kind kind : Kind.values()) {
            total += bytesReceived(kind) + bytesSent(kind);
        }
        return total;
    }

    /** Adds a sample: the processor time of the process since its start, and its resident memory. */
    public void recordSample(long now, long cpuMs, long residentBytes) {
        this.residentBytes = residentBytes;
        samples.add(new Sample(now, cpuMs, totalBytes()));
        // Old samples are dropped to bound the memory, and so that the cost of the start, which exceeds all later
        // cost, does not stay in the rate.
        while (samples.size() > 2 && now - samples.peekFirst().at >= RATE_WINDOW_MS) {
            samples.removeFirst();
        }
    }

    /** Formats all metrics as text, one sample per line, like {@link Metrics}. */
    public String format() {
        StringBuilder text = new StringBuilder();
        Metrics.appendHeader(text, "app_control_bytes", "counter", "Bytes of control read and written, by kind.");
        for (Kind kind : Kind.values()) {
            appendSample(text, "app_control_bytes{kind=\"" + kind.label + "\",way=\"in\"}", bytesReceived(kind));
            appendSample(text, "app_control_bytes{kind=\"" + kind.label + "\",way=\"out\"}", bytesSent(kind));
        }
        Sample first = samples.peekFirst();
        Sample last = samples.peekLast();
        double seconds = first == null ? 0 : (last.at - first.at) / 1e3;
        appendGauge(
                text,
                "app_control_bytes_per_second",
                "The same, all kinds and both ways, over the last minute.",
                seconds > 0 ? (last.controlBytes - first.controlBytes) / seconds : 0);
        Metrics.appendHeader(
                text, "app_control_cpu_seconds", "counter", "Processor time of the process, jobs included.");
        appendSample(text, "app_control_cpu_seconds", last == null ? 0 : last.cpuMs / 1e3);
        appendGauge(
                text,
                "app_control_core_percent",
                "The same in percent of a core, over the last minute.",
                seconds > 0 ? (last.cpuMs - first.cpuMs) / 1e3 / seconds * 100 : 0);
        appendGauge(text, "app_control_resident_bytes", "Memory that the process holds.", residentBytes);
        return text.toString();
    }

    private static void appendGauge(StringBuilder text, String name, String help, double value) {
        Metrics.appendHeader(text, name, "gauge", help);
        appendSample(text, name, value);
    }

    private static void appendSample(StringBuilder text, String name, double value) {
        text.append(name)
                .append(' ')
                .append(
                        value == Math.rint(value)
                                ? Long.toString((long) value)
                                : String.format(Locale.ROOT, "%.3f", value))
                .append('\n');
    }
}
