package saffronferry.rig;

import java.util.LinkedHashMap;
import java.util.Map;

/** Reads the metrics of a dispatcher's control traffic and control CPU time from its console output. */
final class ControlMetrics {
    private static final String PREFIX = "app_control_";

    private ControlMetrics() {}

    /** The control metrics by name; empty if the program exports none. */
    static Map<String, Object> parse(String text) {
        Map<String, Object> metrics = new LinkedHashMap<>();
        for (String line : text.split("\n")) {
            int space = line.lastIndexOf(' ');
            if (line.startsWith(PREFIX) && space > 0) {
                metrics.put(
                        "console_" + name(line.substring(PREFIX.length(), space)),
                        Double.parseDouble(line.substring(space + 1)));
            }
        }
        return metrics;
    }

    /** Converts {@code bytes{kind="list",way="in"}} to {@code bytes_list_in}. */
    private static String name(String metric) {
        return metric.replaceAll("\\w+=\"(\\w+)\"", "$1")
                .replaceAll("[{,]", "_")
                .replace("}", "");
    }
}
