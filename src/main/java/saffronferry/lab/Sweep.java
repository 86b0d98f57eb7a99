package saffronferry.lab;

import java.util.ArrayList;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.world.ClusterSimulation.RunResult;

/** Days at several sizes: which keys change together, and each play as an entry of a result file. */
public final class Sweep {
    private Sweep() {}

    /**
     * The values of several keys that change together.
     *
     * @param set each as KEY=V1,V2,...
     * @return for each step KEY=VALUE of every key
     * @throws IllegalArgumentException if one is no KEY=V1,V2,..., or has not as many values as the first
     */
    public static List<List<String>> parseSteps(List<String> set) {
        List<List<String>> steps = new ArrayList<>();
        for (String each : set) {
            int equals = each.indexOf('=');
            if (equals <= 0) {
                throw new IllegalArgumentException("--set: expected KEY=V1,V2,..., got " + each);
            }
            String[] values = each.substring(equals + 1).split(",");
            if (!steps.isEmpty() && steps.size() != values.length) {
                throw new IllegalArgumentException("--set: " + each.substring(0, equals) + " has " + values.length
                        + " values, the first key " + steps.size());
            }
            for (int i = 0; i < values.length; i++) {
                if (i == steps.size()) {
                    steps.add(new ArrayList<>());
                }
                steps.get(i).add(each.substring(0, equals + 1) + values[i]);
            }
        }
        return steps;
    }

    /**
     * One play: its sizes, and its figures of one dispatcher, a second where the name says so. {@code start_}
     * is what all spent before the first request, having started together; the others leave that out. What
     * {@code decision_} begins or holds is processor time of the thread that decided, and depends on the
     * machine; the others do not. Bytes are those of datagrams' payloads, sent.
     */
    public static JSONObject runEntry(Scenario scenario, RunResult day) {
        JSONObject json = day.json();
        double requests = Math.max(1, json.getLong("requests"));
        double seconds = scenario.length() / 1e6;
        double dispatchers = scenario.dispatchers();
        double dispatcherSeconds = dispatchers * seconds;
        double datagrams = json.getLong("datagrams") - json.getLong("start_datagrams");
        double bytes = json.getLong("datagram_bytes") - json.getLong("start_datagram_bytes");
        JSONObject figures = new JSONObject()
                .put("decision_us_request", rounded(day.decisionUsPerRequest()))
                .put("decision_core_percent", rounded(day.decisionUsPerRequest() * requests / dispatcherSeconds / 1e4))
                .put("start_decision_ms", rounded(day.startDecisionUs() / dispatchers / 1e3))
                .put("start_datagrams", rounded(json.getLong("start_datagrams") / dispatchers))
                .put("start_datagram_bytes", rounded(json.getLong("start_datagram_bytes") / dispatchers))
                .put("datagrams_request", rounded(datagrams / requests))
                .put("datagrams_per_s", rounded(datagrams / dispatcherSeconds))
                .put("datagram_bytes_per_s", rounded(bytes / dispatcherSeconds))
                .put("probes_request", rounded(json.getLong("probes") / requests))
                .put("requests_per_s", rounded(requests / dispatcherSeconds))
                .put("goal", json.getDouble("goal"))
                .put("cold_used", json.getDouble("cold_used"))
                .put("cold_multiple", json.getDouble("cold_multiple"))
                .put("attempts_request", rounded(json.getLong("attempts") / requests));
        JSONArray broken = new JSONArray();
        day.violations().forEach(b -> broken.put(b.rule()));
        return new JSONObject()
                .put("seed", json.getLong("seed"))
                .put("dispatchers", scenario.dispatchers())
                .put("workers", scenario.workers())
                .put("zones", scenario.zones().size())
                .put("seconds", seconds)
                .put("figures", figures)
                .put("limits", new JSONObject())
                .put("broken", broken);
    }

    /** A result file. */
    public static JSONObject json(String scenario, JSONArray plays) {
        return new JSONObject()
                .put("scenario", scenario)
                .put("seed", plays.getJSONObject(0).getLong("seed"))
                .put("plays", plays);
    }

    private static double rounded(double value) {
        return Math.round(value * 1e4) / 1e4;
    }
}
