package saffronferry.ops;

import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * What a dispatcher counts from its start on, each where it happens, and its text form (that of Prometheus,
 * version 0.0.4). Classes are indices into the names given; what is of no class counts nowhere. For one
 * thread.
 */
public final class Figures {
    /** How a job ended. One whose client has gone ended in none of these. */
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
     * What holds at the moment of asking: open jobs, workers on the list, those of them that are avoided, and
     * further figures.
     */
    public record Now(int active, int poolSize, int poolEjected, List<More> more) {}

    /** A figure with its name, type and help; {@code value} in the unit that the help names. */
    public record More(String name, String type, String help, double value) {}

    private final List<String> classes;
    private final long[][] responses;
    private final long[] tries;
    private Supplier<List<More>> also = List::of;

    public Figures(List<String> classes) {
        this.classes = List.copyOf(classes);
        responses = new long[classes.size()][Result.values().length];
        tries = new long[classes.size()];
    }

    /** Has further figures told, asked for each time. */
    public void also(Supplier<List<More>> more) {
        also = more;
    }

    /** A job of the class has had its one answer. */
    public void answered(int jobClass, Result result) {
        if (known(jobClass)) {
            responses[jobClass][result.ordinal()]++;
        }
    }

    /** An attempt of the class is written whole to a worker. */
    public void tried(int jobClass) {
        if (known(jobClass)) {
            tries[jobClass]++;
        }
    }

    /** Guards an answer against an error in counting it. */
    private boolean known(int jobClass) {
        return jobClass >= 0 && jobClass < tries.length;
    }

    public long responses(int jobClass, Result result) {
        return responses[jobClass][result.ordinal()];
    }

    public long tries(int jobClass) {
        return tries[jobClass];
    }

    /** All figures as text, one to a line. */
    public String text(Now now) {
        StringBuilder out = new StringBuilder();
        head(out, "app_responses", "counter", "Jobs served, refused (shed) and failed, by class.");
        for (int c = 0; c < classes.size(); c++) {
            for (Result r : Result.values()) {
                out.append("app_responses{kind=\"")
                        .append(escaped(classes.get(c)))
                        .append("\",result=\"")
                        .append(r.label)
                        .append("\"} ")
                        .append(responses[c][r.ordinal()])
                        .append('\n');
            }
        }
        head(out, "app_tries", "counter", "Attempts written whole to workers, by class.");
        for (int c = 0; c < classes.size(); c++) {
            out.append("app_tries{kind=\"")
                    .append(escaped(classes.get(c)))
                    .append("\"} ")
                    .append(tries[c])
                    .append('\n');
        }
        gauge(out, "app_active", "Jobs taken and not yet ended.", now.active);
        gauge(out, "app_pool_size", "Workers on the list.", now.poolSize);
        gauge(out, "app_pool_ejected", "Workers on the list that are avoided, by hand or by choice.", now.poolEjected);
        for (More m : Stream.concat(now.more.stream(), also.get().stream()).toList()) {
            head(out, m.name, m.type, m.help);
            String value = m.value == Math.rint(m.value)
                    ? Long.toString((long) m.value)
                    : String.format(Locale.ROOT, "%.3f", m.value);
            out.append(m.name).append(' ').append(value).append('\n');
        }
        return out.toString();
    }

    private static void gauge(StringBuilder out, String name, String help, long value) {
        head(out, name, "gauge", help);
        out.append(name).append(' ').append(value).append('\n');
    }

    static void head(StringBuilder out, String name, String type, String help) {
        out.append("# HELP ").append(name).append(' ').append(help).append('\n');
        out.append("# TYPE ").append(name).append(' ').append(type).append('\n');
    }

    /** Guards against a class's name that would end its label early and pass for another figure. */
    static String escaped(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
