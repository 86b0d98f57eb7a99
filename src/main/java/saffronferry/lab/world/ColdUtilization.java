package saffronferry.lab.world;

import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saffronferry.Contract.WorkerState;

/**
 * Measures how much of the capacity of cold workers is used while requests of their zone wait. Samples from the
 * outside, as the rig's judge does, and has no influence on the simulation.
 */
final class ColdUtilization {
    static final long SAMPLE_INTERVAL_US = 50_000;
    /** A request without an attempt in flight for longer than this counts as waiting, not as in transit. */
    private static final long WAITING_THRESHOLD_US = 100_000;
    /** Workers with less capacity than this, summed over the time in which requests waited, are left out. */
    private static final double MIN_CAPACITY_SECONDS = 0.1;

    private static final class Sample {
        double totalWorkDone;
        double workDoneWhileWaiting;
        double capacityWhileWaiting;
    }

    private final EventScheduler scheduler;
    private final Map<Worker, Sample> samples = new LinkedHashMap<>();
    private final long[] notServedAt;

    ColdUtilization(EventScheduler scheduler, int zones) {
        this.scheduler = scheduler;
        notServedAt = new long[zones];
        Arrays.fill(notServedAt, Long.MIN_VALUE / 2);
    }

    /** A dispatcher of the zone has refused or failed a request. */
    void requestNotServed(int zone) {
        notServedAt[zone] = scheduler.now();
    }

    /** Takes one sample of each cold worker. Call it every {@link #SAMPLE_INTERVAL_US}. */
    void sample(Collection<Worker> workers, List<EmulatedDispatcher> dispatchers) {
        boolean[] waiting = new boolean[notServedAt.length];
        for (int z = 0; z < waiting.length; z++) {
            int zone = z;
            waiting[z] = scheduler.now() - notServedAt[z] < WAITING_THRESHOLD_US
                    || dispatchers.stream()
                            .anyMatch(n -> n.zone == zone && n.hasRequestWaitingLongerThan(WAITING_THRESHOLD_US));
        }
        for (Worker w : workers) {
            if (!w.cold() || w.capacity() <= 0 || w.info().state() != WorkerState.IN_SERVICE) {
                continue;
            }
            Sample s = samples.computeIfAbsent(w, x -> new Sample());
            double done = w.workDone();
            if (waiting[w.zone]) {
                s.workDoneWhileWaiting += done - Math.min(done, s.totalWorkDone); // a restart sets it back to 0
                s.capacityWhileWaiting += w.capacity() * SAMPLE_INTERVAL_US;
            }
            s.totalWorkDone = done;
        }
    }

    /** The mean utilization over cold workers while requests waited; 1 if none waited. */
    double mean() {
        return samples.values().stream()
                .filter(ColdUtilization::hasEnoughData)
                .mapToDouble(ColdUtilization::utilization)
                .average()
                .orElse(1);
    }

    /** The lowest utilization of a cold worker while requests waited; 1 if none waited. */
    double min() {
        return samples.values().stream()
                .filter(ColdUtilization::hasEnoughData)
                .mapToDouble(ColdUtilization::utilization)
                .min()
                .orElse(1);
    }

    private static boolean hasEnoughData(Sample s) {
        return s.capacityWhileWaiting > MIN_CAPACITY_SECONDS * 1e6;
    }

    private static double utilization(Sample s) {
        return s.workDoneWhileWaiting / s.capacityWhileWaiting;
    }
}
