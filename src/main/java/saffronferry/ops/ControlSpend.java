package saffronferry.ops;

import java.util.ArrayDeque;
import java.util.Locale;

/**
 * What a dispatcher spends on control, so that operators can hold it against what it may: bytes by kind,
 * counted where they are written and read, and samples of the process's own use, over the last minute where a
 * rate is told. Times in milliseconds, the clock handed in. For one thread.
 */
public final class ControlSpend {
    /** What control speaks of. Jobs and their answers are not control. */
    public enum Kind {
        /** Discovery's list and its changes, heads of HTTP included. */
        LISTS("lists"),
        /** Of other dispatchers, the system's own heads not included. */
        DATAGRAMS("datagrams"),
        /** Workers' loads, heads of HTTP included. */
        PROBES("probes");

        private final String label;

        Kind(String label) {
            this.label = label;
        }
    }

    /** Rates are told over about so long. */
    private static final long WINDOW = 60_000;

    private record Sample(long at, long cpu, long bytes) {}

    private final long[] in = new long[Kind.values().length];
    private final long[] out = new long[Kind.values().length];
    /** The oldest is the first that is no more than the window old, and one before it. */
    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    private long resident;

    /** So many bytes have been read. */
    public void heard(Kind kind, int bytes) {
        in[kind.ordinal()] += bytes;
    }

    /** So many bytes have been handed to the system. */
    public void said(Kind kind, int bytes) {
        out[kind.ordinal()] += bytes;
    }

    public long heard(Kind kind) {
        return in[kind.ordinal()];
    }

    public long said(Kind kind) {
        return out[kind.ordinal()];
    }

    private long bytes() {
        long all = 0;
        for (Kind kind : Kind.values()) {
            all += heard(kind) + said(kind);
        }
        return all;
    }

    /** The process has used so much processor time since its start, and holds so many bytes of memory. */
    public void sampled(long now, long cpu, long residentBytes) {
        resident = residentBytes;
        samples.add(new Sample(now, cpu, bytes()));
        // guards memory, and a rate against what was long ago: a start costs more than all that follows
        while (samples.size() > 2 && now - samples.peekFirst().at >= WINDOW) {
            samples.removeFirst();
        }
    }

    /** All figures as text, one to a line, as {@link Metrics} has them. */
    public String text() {
        StringBuilder text = new StringBuilder();
        Metrics.appendHeader(text, "app_control_bytes", "counter", "Bytes of control read and written, by kind.");
        for (Kind kind : Kind.values()) {
            line(text, "app_control_bytes{kind=\"" + kind.label + "\",way=\"in\"}", heard(kind));
            line(text, "app_control_bytes{kind=\"" + kind.label + "\",way=\"out\"}", said(kind));
        }
        Sample first = samples.peekFirst();
        Sample last = samples.peekLast();
        double seconds = first == null ? 0 : (last.at - first.at) / 1e3;
        gauge(
                text,
                "app_control_bytes_per_second",
                "The same, all kinds and both ways, over the last minute.",
                seconds > 0 ? (last.bytes - first.bytes) / seconds : 0);
        Metrics.appendHeader(text, "app_control_cpu_seconds", "counter", "Processor time of the process, jobs included.");
        line(text, "app_control_cpu_seconds", last == null ? 0 : last.cpu / 1e3);
        gauge(
                text,
                "app_control_core_percent",
                "The same in percent of a core, over the last minute.",
                seconds > 0 ? (last.cpu - first.cpu) / 1e3 / seconds * 100 : 0);
        gauge(text, "app_control_resident_bytes", "Memory that the process holds.", resident);
        return text.toString();
    }

    private static void gauge(StringBuilder text, String name, String help, double value) {
        Metrics.appendHeader(text, name, "gauge", help);
        line(text, name, value);
    }

    private static void line(StringBuilder text, String name, double value) {
        text.append(name)
                .append(' ')
                .append(
                        value == Math.rint(value)
                                ? Long.toString((long) value)
                                : String.format(Locale.ROOT, "%.3f", value))
                .append('\n');
    }
}
