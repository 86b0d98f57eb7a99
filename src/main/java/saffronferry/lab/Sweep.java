package saffronferry.lab;

import java.util.ArrayList;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.world.ClusterSimulation.RunResult;

/** Runs of a scenario with several values of its keys: parses the values, and formats each run for a result file. */
public final class Sweep {
    private Sweep() {}

    /**
     * Parses the values of several keys that change together.
     *
     * @param set one KEY=V1,V2,... for each key
     * @return for each step of the sweep, KEY=VALUE of every key
     * @throws IllegalArgumentException if an element is malformed, or differs from the first in the number of values
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
     * One run: its sizes, and its figures per dispatcher, per second where the name says so. Figures with
     * {@code start_} cover the time before the first request, in which all dispatchers start; the others leave it out.
     * Figures with {@code decision_} are CPU time of the deciding thread and depend on the machine; the others do
     * not. Bytes are those of sent datagram payloads.
     */
    public static JSONObject runEntry(Scenario scenario, RunResult run) {
        JSONObject json = run.json();
        double requests = Math.max(1, json.getLong("requests"));
        double seconds = scenario.length() / 1e6;
        double dispatchers = scenario.dispatchers();
        double dispatcherSeconds = dispatchers * seconds;
        double datagrams = json.getLong("datagrams") - json.getLong("start_datagrams");
        double bytes = json.getLong("datagram_bytes") - json.getLong("start_datagram_bytes");
        JSONObject figures = new JSONObject()
                .put("decision_us_request", rounded(run.decisionUsPerRequest()))
                .put("decision_core_percent", rounded(run.decisionUsPerRequest() * requests / dispatcherSeconds / 1e4))
                .put("start_decision_ms", rounded(run.startDecisionUs() / dispatchers / 1e3))
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
        run.violations().forEach(b -> broken.put(b.rule()));
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

    /** The content of a result file. */
    public static JSONObject json(String scenario, JSONArray runs) {
        return new JSONObject()
                .put("scenario", scenario)
                .put("seed", runs.getJSONObject(0).getLong("seed"))
                .put("plays", runs);
    }

    private static double rounded(double value) {
        return Math.round(value * 1e4) / 1e4;
    }
}
