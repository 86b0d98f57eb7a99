package saffronferry.wire;

import java.util.HashMap;
import java.util.Map;
import org.json.JSONObject;
import saffronferry.Contract.Report;

/** Reads load reports: {@code inflight=7,queue=2} in a header or body, or an object of a worker's line. */
final class LoadReportParser {
    private final String freeSlots;

    /** The name of the field that holds free slots; null where there is none. */
    LoadReportParser(String freeSlots) {
        this.freeSlots = freeSlots;
    }

    /** Null if the text is null or holds no figure that is known. */
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
                    // a field that is no number says nothing; the others still count
                }
            }
        }
        return report(values);
    }

    /** Null if there is no object or it holds no figure that is known. */
    Report parse(JSONObject load) {
        if (load == null) {
            return null;
        }
        Map<String, Double> values = new HashMap<>();
        load.keySet().forEach(k -> values.put(k, load.optDouble(k)));
        return report(values);
    }

    private Report report(Map<String, Double> values) {
        // guards against a worker that has not measured yet: idle, it would not be without a free slot
        if (values.values().stream().allMatch(v -> v == 0)) {
            return null;
        }
        Report r = new Report(
                values.getOrDefault("inflight", Double.NaN),
                values.getOrDefault("queue", Double.NaN),
                values.getOrDefault(freeSlots, Double.NaN));
        boolean nothing = Double.isNaN(r.held()) && Double.isNaN(r.queued()) && Double.isNaN(r.freeSlots());
        return nothing ? null : r;
    }
}
