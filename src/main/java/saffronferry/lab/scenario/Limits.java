package saffronferry.lab.scenario;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Limits of a scale run by the name of the figure: the most a dispatcher may cost, and the least a fleet must
 * achieve. Only limits stated in the scenario are checked.
 */
public record Limits(Map<String, Double> stated) {
    /** All figures that may have a limit, with their units. */
    public static final Map<String, String> FIGURES = figures();
    /** Figures whose limit is a minimum; the limit of all others is a maximum. */
    private static final Set<String> MINIMUM_FIGURES = Set.of("goal_share", "served_share", "cold_used_share");

    public Limits {
        stated = Map.copyOf(stated);
    }

    /** Whether the limit of the figure is a minimum. */
    public static boolean isLeast(String figure) {
        return MINIMUM_FIGURES.contains(figure);
    }

    private static Map<String, String> figures() {
        Map<String, String> all = new LinkedHashMap<>();
        for (String event : new String[] {"pick", "report", "tick", "list", "datagram", "list_parse"}) {
            all.put(event + "_us", "microseconds of CPU time per event, mean");
        }
        all.put("decision_us_per_request", "microseconds of CPU time");
        all.put("decision_core_percent", "percent of a core per dispatcher, mean, including the parsing of lists");
        all.put("decision_core_worst_percent", "percent of a core of the dispatcher that uses most");
        all.put("messages_per_request", "datagrams and probes");
        all.put("requests_per_s", "first tries of clients, all dispatchers in total");
        for (String kind : new String[] {"datagrams_out", "probes_out", "lists_in"}) {
            all.put(kind + "_per_s", "messages a second a dispatcher");
        }
        for (String kind : new String[] {"datagram", "list", "probe"}) {
            all.put(kind + "_bytes_out_per_s", "bytes a second a dispatcher");
            all.put(kind + "_bytes_in_per_s", "bytes a second a dispatcher");
        }
        all.put("whole_list_bytes_in_per_s", "bytes a second a dispatcher, included in list_bytes_in_per_s");
        all.put("settings_bytes_per_s", "bytes a second a dispatcher; settings are not distributed yet");
        all.put("control_bytes_per_s", "bytes a second a dispatcher, in and out, all kinds");
        all.put("control_bytes_worst_per_s", "bytes of a dispatcher in its busiest second");
        all.put("start_control_bytes", "bytes per dispatcher before the first request, including the first list");
        all.put(
                "start_decision_ms",
                "milliseconds of CPU time per dispatcher before the first request, including the first list");
        all.put("heap_mb_per_dispatcher", "megabytes of heap: the module and the worker list");
        all.put("module_heap_mb_per_dispatcher", "megabytes of heap: the module alone");
        all.put("list_heap_mb_per_dispatcher", "megabytes of heap: the worker list alone");
        all.put("goal_share", "the goal of the simulation");
        all.put("served_share", "of the worth asked");
        all.put("cold_used_share", "share of the capacity of cold workers used while requests wait, mean");
        all.put("cold_multiple", "multiple of a cold worker's capacity, within the rule's window");
        return all;
    }
}
