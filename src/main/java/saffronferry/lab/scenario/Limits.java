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
            all.put(event + "_us", "microseconds of processor time each, mean");
        }
        all.put("decision_us_per_request", "microseconds of processor time");
        all.put("decision_core_percent", "percent of a core a dispatcher, mean, lists' reading included");
        all.put("decision_core_worst_percent", "percent of a core of the one that spends most");
        all.put("messages_per_request", "datagrams and probes");
        all.put("requests_per_s", "first tries of clients, all dispatchers together");
        for (String kind : new String[] {"datagrams_out", "probes_out", "lists_in"}) {
            all.put(kind + "_per_s", "messages a second a dispatcher");
        }
        for (String kind : new String[] {"datagram", "list", "probe"}) {
            all.put(kind + "_bytes_out_per_s", "bytes a second a dispatcher");
            all.put(kind + "_bytes_in_per_s", "bytes a second a dispatcher");
        }
        all.put("whole_list_bytes_in_per_s", "bytes a second a dispatcher, a part of list_bytes_in_per_s");
        all.put("settings_bytes_per_s", "bytes a second a dispatcher; nothing spreads settings yet");
        all.put("control_bytes_per_s", "bytes a second a dispatcher, in and out, all kinds");
        all.put("control_bytes_worst_per_s", "bytes of one dispatcher in its worst second");
        all.put("start_control_bytes", "bytes a dispatcher before the first request and its first list");
        all.put("start_decision_ms", "milliseconds of processor time a dispatcher, of the same");
        all.put("heap_mb_per_dispatcher", "megabytes of heap: the module and the list beside it");
        all.put("module_heap_mb_per_dispatcher", "megabytes of heap: the module alone");
        all.put("list_heap_mb_per_dispatcher", "megabytes of heap: the list beside the module");
        all.put("goal_share", "the laboratory's goal");
        all.put("served_share", "of the worth asked");
        all.put("cold_used_share", "of what cold workers can do while requests wait, mean");
        all.put("cold_multiple", "times what a cold worker can do, in the rule's window");
        return all;
    }
}
