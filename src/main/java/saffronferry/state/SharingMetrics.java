package saffronferry.state;

import java.util.List;
import saffronferry.fleet.SharingStatus;
import saffronferry.ops.Metrics.Metric;

/** Metrics of what a dispatcher shares with other dispatchers. */
final class SharingMetrics {
    private SharingMetrics() {}

    static List<Metric> of(SharingStatus sharing) {
        return List.of(
                gauge("app_peers", "Dispatchers of the fleet, this one included.", sharing.dispatchers()),
                gauge("app_peers_heard", "Of these, those that are heard, this one included.", sharing.heard()),
                gauge(
                        "app_peers_counted",
                        "Of its zone, those to whom it leaves its parts of cold workers.",
                        sharing.delegates()),
                gauge(
                        "app_fallback",
                        "0 all are heard, 1 some are silent, 2 nobody is heard.",
                        sharing.fallback().ordinal()),
                gauge("app_cold", "Cold workers of its zone.", sharing.coldWorkers()),
                gauge("app_cold_guarded", "Of these, those that it guards.", sharing.guardedWorkers()),
                gauge(
                        "app_cold_part",
                        "Its part of what all may send to those, 0 to 1, on the mean.",
                        sharing.meanShare()),
                counter("app_cold_lent_seconds", "Slot time lent of parts of cold workers.", sharing.lentSlotTime()),
                counter("app_cold_back_seconds", "Of that, what came back unused.", sharing.returnedSlotTime()),
                counter("app_cold_borrowed_seconds", "Slot time borrowed.", sharing.borrowedSlotTime()));
    }

    private static Metric gauge(String name, String help, double value) {
        return new Metric(name, "gauge", help, value);
    }

    private static Metric counter(String name, String help, long micros) {
        return new Metric(name, "counter", help, Math.round(micros / 1e3) / 1e3);
    }
}
