package saffronferry.state;

import java.util.List;
import saffronferry.fleet.Sharing;
import saffronferry.ops.Metrics.Metric;

/** Metrics of what a dispatcher shares with other dispatchers. */
final class SharingMetrics {
    private SharingMetrics() {}

    static List<Metric> of(Sharing sharing) {
        return List.of(
                gauge("app_peers", "Dispatchers of the fleet, this one included.", sharing.peers()),
                gauge("app_peers_heard", "Of these, those that are heard, this one included.", sharing.heard()),
                gauge(
                        "app_peers_counted",
                        "Of its zone, those to whom it leaves its parts of cold workers.",
                        sharing.counted()),
                gauge(
                        "app_fallback",
                        "0 all are heard, 1 some are silent, 2 nobody is heard.",
                        sharing.fallback().ordinal()),
                gauge("app_cold", "Cold workers of its zone.", sharing.cold()),
                gauge("app_cold_guarded", "Of these, those that it guards.", sharing.guarded()),
                gauge("app_cold_part", "Its part of what all may send to those, 0 to 1, on the mean.", sharing.part()),
                counter("app_cold_lent_seconds", "Slot time lent of parts of cold workers.", sharing.lent()),
                counter("app_cold_back_seconds", "Of that, what came back unused.", sharing.back()),
                counter("app_cold_borrowed_seconds", "Slot time borrowed.", sharing.borrowed()));
    }

    private static Metric gauge(String name, String help, double value) {
        return new Metric(name, "gauge", help, value);
    }

    private static Metric counter(String name, String help, long micros) {
        return new Metric(name, "counter", help, Math.round(micros / 1e3) / 1e3);
    }
}
