package saffronferry.wire;

import java.util.HashMap;
import java.util.Map;
import org.json.JSONObject;
import saffronferry.Contract.Report;

/** Parses load reports: {@code inflight=7,queue=2} in a header or body, or an object in a worker's response line. */
final class LoadReportParser {
    private final String freeSlots;

    /** Creates a parser; {@code freeSlots} is the name of the field with the free slots, or null if there is none. */
    LoadReportParser(String freeSlots) {
        this.freeSlots = freeSlots;
    }

    /** Returns null if the text is null or has no known field. */
    Report parse(String text) {
        if (text == null) {
            return null;
        }
        Map<String, Double> values = new HashMap<>();
        for (String part : text.trim().split(",")) {
            int at = part.indexOf('=');
            if (at > 0) {
                try {
                    values.put(
                            part.substring(0, at).trim(),
                            Double.valueOf(part.substring(at + 1).trim()));
                } catch (NumberFormatException e) {
                    // a field that is not a number is ignored; the others still count
                }
            }
        }
        return report(values);
    }

    /** Returns null if the object is null or has no known field. */
    Report parse(JSONObject load) {
        if (load == null) {
            return null;
        }
        Map<String, Double> values = new HashMap<>();
        load.keySet().forEach(k -> values.put(k, load.optDouble(k)));
        return report(values);
    }

    private Report report(Map<String, Double> values) {
        // a worker without measurements reports zeros only; an idle worker would report free slots
        if (values.values().stream().allMatch(v -> v == 0)) {
            return null;
        }
        Report report = new Report(
                values.getOrDefault("inflight", Double.NaN),
                values.getOrDefault("queue", Double.NaN),
                values.getOrDefault(freeSlots, Double.NaN));
        boolean empty =
                Double.isNaN(report.held()) && Double.isNaN(report.queued()) && Double.isNaN(report.freeSlots());
        return empty ? null : report;
    }
}
