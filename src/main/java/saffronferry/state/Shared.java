package saffronferry.state;

import java.util.List;
import saffronferry.fleet.Sharing;
import saffronferry.ops.Metrics.Metric;

/** What a dispatcher shares with others, as operators' figures. */
final class Shared {
    private Shared() {}

    static List<Metric> figures(Sharing s) {
        return List.of(
                gauge("app_peers", "Dispatchers of the fleet, this one included.", s.peers()),
                gauge("app_peers_heard", "Of these, those that are heard, this one included.", s.heard()),
                gauge(
                        "app_peers_counted",
                        "Of its zone, those to whom it leaves its parts of cold workers.",
                        s.counted()),
                gauge(
                        "app_fallback",
                        "0 all are heard, 1 some are silent, 2 nobody is heard.",
                        s.fallback().ordinal()),
                gauge("app_cold", "Cold workers of its zone.", s.cold()),
                gauge("app_cold_guarded", "Of these, those that it guards.", s.guarded()),
                gauge("app_cold_part", "Its part of what all may send to those, 0 to 1, on the mean.", s.part()),
                counter("app_cold_lent_seconds", "Slot time lent of parts of cold workers.", s.lent()),
                counter("app_cold_back_seconds", "Of that, what came back unused.", s.back()),
                counter("app_cold_borrowed_seconds", "Slot time borrowed.", s.borrowed()));
    }

    private static Metric gauge(String name, String help, double value) {
        return new Metric(name, "gauge", help, value);
    }

    private static Metric counter(String name, String help, long micros) {
        return new Metric(name, "counter", help, Math.round(micros / 1e3) / 1e3);
    }
}
