package saffronferry.ops;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * The counters of a dispatcher since its start, and their text form (Prometheus exposition format, version
 * 0.0.4). Classes are indices into the names given; events of an unknown class are not counted. Not thread-safe.
 */
public final class Metrics {
    /** How a request ended. A request whose client has disconnected has no result. */
    public enum Result {
        OK("ok"),
        SHED("shed"),
        ERRORS("errors");

        private final String label;

        Result(String label) {
            this.label = label;
        }
    }

    /**
     * The gauges at the moment of the query: open requests, workers on the list, how many of these are
     * ejected, and additional metrics.
     */
    public record Snapshot(int active, int poolSize, int poolEjected, List<Metric> additional) {}

    /** A metric with its name, type and help text; {@code value} is in the unit that the help text names. */
    public record Metric(String name, String type, String help, double value) {}

    private final List<String> classes;
    private final long[][] responses;
    private final long[] attempts;
    private final List<Supplier<List<Metric>>> additionalMetrics = new ArrayList<>();

    public Metrics(List<String> classes) {
        this.classes = List.copyOf(classes);
        responses = new long[classes.size()][Result.values().length];
        attempts = new long[classes.size()];
    }

    /** Adds a supplier of additional metrics, called each time the metrics are formatted. */
    public void addAdditionalMetrics(Supplier<List<Metric>> supplier) {
        additionalMetrics.add(supplier);
    }

    /** Counts the final response to a request of the class. */
    public void recordResult(int rpcClass, Result result) {
        if (isKnownClass(rpcClass)) {
            responses[rpcClass][result.ordinal()]++;
        }
    }

    /** Counts an attempt of the class whose request was written completely to a worker. */
    public void recordAttempt(int rpcClass) {
        if (isKnownClass(rpcClass)) {
            attempts[rpcClass]++;
        }
    }

    /** Checked before counting, so that an unknown class cannot make the response itself fail. */
    private boolean isKnownClass(int rpcClass) {
        return rpcClass >= 0 && rpcClass < attempts.length;
    }

    public long responseCount(int rpcClass, Result result) {
        return responses[rpcClass][result.ordinal()];
    }

    public long attemptCount(int rpcClass) {
        return attempts[rpcClass];
    }

    /** Formats all metrics as text, one sample per line. */
    public String format(Snapshot snapshot) {
        StringBuilder out = new StringBuilder();
        appendHeader(out, "app_responses", "counter", "Jobs served, refused (shed) and failed, by class.");
        for (int c = 0; c < classes.size(); c++) {
            for (Result result : Result.values()) {
                out.append("app_responses{kind=\"")
                        .append(escapeLabel(classes.get(c)))
                        .append("\",result=\"")
                        .append(result.label)
                        .append("\"} ")
                        .append(responses[c][result.ordinal()])
                        .append('\n');
            }
        }
        appendHeader(out, "app_tries", "counter", "Attempts written whole to workers, by class.");
        for (int c = 0; c < classes.size(); c++) {
            out.append("app_tries{kind=\"")
                    .append(escapeLabel(classes.get(c)))
                    .append("\"} ")
                    .append(attempts[c])
                    .append('\n');
        }
        appendGauge(out, "app_active", "Jobs taken and not yet ended.", snapshot.active);
        appendGauge(out, "app_pool_size", "Workers on the list.", snapshot.poolSize);
        appendGauge(
                out,
                "app_pool_ejected",
                "Workers on the list that are avoided, by hand or by choice.",
                snapshot.poolEjected);
        Stream<Metric> supplied = additionalMetrics.stream().flatMap(supplier -> supplier.get().stream());
        for (Metric metric :
                Stream.concat(snapshot.additional.stream(), supplied).toList()) {
            appendHeader(out, metric.name, metric.type, metric.help);
            String value = metric.value == Math.rint(metric.value)
                    ? Long.toString((long) metric.value)
                    : String.format(Locale.ROOT, "%.3f", metric.value);
            out.append(metric.name).append(' ').append(value).append('\n');
        }
        return out.toString();
    }

    private static void appendGauge(StringBuilder out, String name, String help, long value) {
        appendHeader(out, name, "gauge", help);
        out.append(name).append(' ').append(value).append('\n');
    }

    static void appendHeader(StringBuilder out, String name, String type, String help) {
        out.append("# HELP ").append(name).append(' ').append(help).append('\n');
        out.append("# TYPE ").append(name).append(' ').append(type).append('\n');
    }

    /** Escapes a label value: an unescaped quote or newline would end the label and could forge another metric. */
    static String escapeLabel(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
