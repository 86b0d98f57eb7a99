package saffronferry.rig;

import java.util.LinkedHashMap;
import java.util.Map;

/** Reads from a console's text the figures of what a dispatcher spends on control. */
final class ControlMetrics {
    private static final String PREFIX = "app_control_";

    private ControlMetrics() {}

    /** Those that the console tells, by their names; none of a program that has none. */
    static Map<String, Object> of(String text) {
        Map<String, Object> all = new LinkedHashMap<>();
        for (String line : text.split("\n")) {
            int space = line.lastIndexOf(' ');
            if (line.startsWith(PREFIX) && space > 0) {
                all.put(
                        "console_" + name(line.substring(PREFIX.length(), space)),
                        Double.parseDouble(line.substring(space + 1)));
            }
        }
        return all;
    }

    /** {@code bytes{kind="list",way="in"}} is {@code bytes_list_in}. */
    private static String name(String figure) {
        return figure.replaceAll("\\w+=\"(\\w+)\"", "$1")
                .replaceAll("[{,]", "_")
                .replace("}", "");
    }
}
