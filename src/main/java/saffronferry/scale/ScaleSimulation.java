package saffronferry.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongConsumer;
import org.json.JSONArray;
import org.json.JSONObject;
import saffronferry.lab.check.RuleChecker;
import saffronferry.lab.policy.Policy;
import saffronferry.lab.scenario.Limits;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.world.ClusterSimulation;
import saffronferry.lab.world.ClusterSimulation.RunResult;
import saffronferry.scale.CostMeter.DecisionKind;
import saffronferry.scale.CostMeter.DispatcherCost;
import saffronferry.scale.CostMeter.MessageKind;

/** Simulates a scenario with dispatchers without sockets and reports the cost of each of them. */
public final class ScaleSimulation {
    /** Rule violations that are listed; of the others only the total is reported. */
    private static final int MAX_REPORTED_VIOLATIONS = 3;

    private ScaleSimulation() {}

    /**
     * A simulation and its figures, by name.
     *
     * @param set the scenario keys that a sweep has set, as written, other than the numbers of dispatchers and
     *     workers
     * @param violations the violated limits and rules, one line each
     */
    public record Run(
            Scenario scenario, Map<String, String> set, Map<String, Double> figures, List<String> violations) {
        /** The entry of this run in the result file. */
        public JSONObject json() {
            JSONObject json = new JSONObject()
                    .put("dispatchers", scenario.dispatchers())
                    .put("workers", scenario.workers())
                    .put("zones", scenario.zones().size())
                    .put("seconds", scenario.length() / 1e6)
                    .put("figures", new JSONObject(figures))
                    .put("limits", new JSONObject(scenario.limits().stated()))
                    .put("broken", new JSONArray(violations));
            return set.isEmpty() ? json : json.put("set", new JSONObject(set));
        }
    }

    /** The result file of a sweep. */
    public static JSONObject json(String scenario, long seed, List<Run> runs) {
        JSONArray all = new JSONArray();
        runs.forEach(run -> all.put(run.json()));
        return new JSONObject().put("scenario", scenario).put("seed", seed).put("plays", all);
    }

    /**
     * Runs a simulation. Figures of time and heap depend on the machine; all others are the same for the same
     * seed.
     *
     * @param progress receives the second of the simulation; negative before the first request
     */
    public static Run run(Scenario scenario, Map<String, String> set, long seed, LongConsumer progress) {
        CostMeter meter =
                new CostMeter(scenario, now -> progress.accept((now - ClusterSimulation.LOAD_START_US) / 1_000_000));
        RunResult day = ClusterSimulation.run(scenario, Policy.NETWORKED_QUEUES, seed, meter);
        Map<String, Double> figures = figures(scenario, meter, day);
        measureHeap(meter, figures);
        figures.replaceAll((name, value) -> rounded(value));
        return new Run(scenario, set, figures, violations(scenario, figures, day));
    }

    private static double rounded(double value) {
        double unit = Math.abs(value) >= 100 ? 10 : 10_000;
        return Math.round(value * unit) / unit;
    }

    private static Map<String, Double> figures(Scenario scenario, CostMeter meter, RunResult day) {
        List<DispatcherCost> all = meter.costs;
        double dispatcherSeconds = all.size() * (scenario.length() / 1e6);
        double requests = Math.max(1, day.requests());
        Map<String, Double> figures = new LinkedHashMap<>();
        for (DecisionKind kind : DecisionKind.values()) {
            int index = kind.ordinal();
            figures.put(
                    kind.name().toLowerCase(Locale.ROOT) + "_us",
                    all.stream().mapToLong(a -> a.nanos[index]).sum()
                            / 1e3
                            / Math.max(
                                    1,
                                    all.stream()
                                            .mapToLong(a -> a.decisions[index])
                                            .sum()));
        }
        figures.put(
                "list_parse_us",
                all.stream().mapToLong(a -> a.parseNanos).sum()
                        / 1e3
                        / Math.max(1, all.stream().mapToLong(a -> a.parses).sum()));
        double busyNanos = all.stream().mapToLong(DispatcherCost::busyNanos).sum();
        double parseNanosTotal = all.stream().mapToLong(a -> a.parseNanos).sum();
        figures.put("decision_us_per_request", (busyNanos - parseNanosTotal) / 1e3 / requests);
        figures.put("decision_core_percent", busyNanos / 1e9 / dispatcherSeconds * 100);
        figures.put(
                "decision_core_worst_percent",
                all.stream().mapToLong(DispatcherCost::busyNanos).max().orElse(0) / 1e3 / scenario.length() * 100);
        figures.put(
                "messages_per_request",
                (sum(all, MessageKind.DATAGRAM_OUT, false) + sum(all, MessageKind.PROBE_OUT, false)) / requests);
        figures.put("requests_per_s", day.requests() / (scenario.length() / 1e6));
        figures.put("datagrams_out_per_s", sum(all, MessageKind.DATAGRAM_OUT, false) / dispatcherSeconds);
        figures.put("probes_out_per_s", sum(all, MessageKind.PROBE_OUT, false) / dispatcherSeconds);
        figures.put("lists_in_per_s", sum(all, MessageKind.LIST_IN, false) / dispatcherSeconds);
        for (MessageKind kind : MessageKind.values()) {
            String name = kind.name().toLowerCase(Locale.ROOT).replace("_", "_bytes_") + "_per_s";
            figures.put(name, sum(all, kind, true) / dispatcherSeconds);
        }
        figures.put(
                "whole_list_bytes_in_per_s",
                all.stream().mapToLong(a -> a.wholeListBytes).sum() / dispatcherSeconds);
        figures.put("settings_bytes_per_s", 0.0);
        figures.put(
                "control_bytes_per_s",
                all.stream().mapToLong(DispatcherCost::controlBytes).sum() / dispatcherSeconds);
        figures.put("control_bytes_worst_per_s", (double) all.stream()
                .flatMapToLong(a -> Arrays.stream(a.bytesBySecond))
                .max()
                .orElse(0));
        figures.put(
                "start_control_bytes",
                all.stream().mapToLong(a -> a.startBytes).average().orElse(0));
        figures.put(
                "start_decision_ms",
                all.stream().mapToLong(a -> a.startNanos).average().orElse(0) / 1e6);
        figures.put("goal_share", day.goal());
        figures.put("served_share", day.json().getDouble("worth_served"));
        figures.put("cold_used_share", day.json().getDouble("cold_used"));
        figures.put("cold_multiple", day.json().getDouble("cold_multiple"));
        return figures;
    }

    private static double sum(List<DispatcherCost> all, MessageKind kind, boolean bytes) {
        return all.stream()
                .mapToLong(a -> (bytes ? a.bytes : a.messages)[kind.ordinal()])
                .sum();
    }

    /** Measures the heap after the simulation by releasing first the retained lists, then the modules. */
    private static void measureHeap(CostMeter meter, Map<String, Double> figures) {
        double withLists = HeapUsage.usedMb();
        int lists = meter.releaseLists();
        double withoutLists = HeapUsage.usedMb();
        meter.releaseModules();
        double released = HeapUsage.usedMb();
        double module = Math.max(0, withoutLists - released) / meter.costs.size();
        double list = Math.max(0, withLists - withoutLists) / Math.max(1, lists);
        figures.put("heap_mb_per_dispatcher", module + list);
        figures.put("module_heap_mb_per_dispatcher", module);
        figures.put("list_heap_mb_per_dispatcher", list);
    }

    private static List<String> violations(Scenario scenario, Map<String, Double> figures, RunResult day) {
        List<String> violations = new ArrayList<>();
        Limits.FIGURES.keySet().stream()
                .filter(scenario.limits().stated()::containsKey)
                .forEach(name -> {
                    double limit = scenario.limits().stated().get(name);
                    double measured = figures.get(name);
                    boolean isMinimum = Limits.isLeast(name);
                    if (isMinimum ? measured < limit : measured > limit) {
                        violations.add(
                                name + " " + format(measured) + (isMinimum ? " under " : " over ") + format(limit));
                    }
                });
        day.violations().stream()
                .limit(MAX_REPORTED_VIOLATIONS)
                .map(RuleChecker.Violation::toString)
                .forEach(b -> violations.add(b.lines().findFirst().orElse("")));
        if (day.violationCount() > MAX_REPORTED_VIOLATIONS) {
            violations.add("rules broken in all: " + day.violationCount());
        }
        return violations;
    }

    private static String format(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
