package saffronferry.lab.world;

import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saffronferry.Contract.WorkerState;

/**
 * What cold workers did of what they could while jobs of their zone waited: seen from outside, as the rig's
 * judge sees it. It only looks, and changes nothing of the day.
 */
final class ColdUse {
    static final long LOOK = 50_000;
    /** A request that is at no worker so long waits; before that it is on its way. */
    private static final long ON_ITS_WAY = 100_000;
    /** Under so many seconds of waiting nothing is said of a worker. */
    private static final double LEAST = 0.1;

    private static final class Seen {
        double done;
        double doneWaiting;
        double couldWaiting;
    }

    private final Simulation sim;
    private final Map<Worker, Seen> seen = new LinkedHashMap<>();
    private final long[] refusedAt;

    ColdUse(Simulation sim, int zones) {
        this.sim = sim;
        refusedAt = new long[zones];
        Arrays.fill(refusedAt, Long.MIN_VALUE / 2);
    }

    /** A dispatcher of the zone has refused, or failed, a request. */
    void refused(int zone) {
        refusedAt[zone] = sim.now();
    }

    /** To be called each {@link #LOOK}. */
    void look(Collection<Worker> workers, List<Node> nodes) {
        boolean[] waiting = new boolean[refusedAt.length];
        for (int z = 0; z < waiting.length; z++) {
            int zone = z;
            waiting[z] = sim.now() - refusedAt[z] < ON_ITS_WAY
                    || nodes.stream().anyMatch(n -> n.zone == zone && n.waits(ON_ITS_WAY));
        }
        for (Worker w : workers) {
            if (!w.cold() || w.capacity() <= 0 || w.info().state() != WorkerState.IN_SERVICE) {
                continue;
            }
            Seen s = seen.computeIfAbsent(w, x -> new Seen());
            double done = w.done();
            if (waiting[w.zone]) {
                s.doneWaiting += done - Math.min(done, s.done); // one that fell has begun again
                s.couldWaiting += w.capacity() * LOOK;
            }
            s.done = done;
        }
    }

    /** The mean over cold workers of the part used while jobs waited; 1 where none waited. */
    double mean() {
        return seen.values().stream()
                .filter(ColdUse::counts)
                .mapToDouble(ColdUse::part)
                .average()
                .orElse(1);
    }

    /** The least of them. */
    double least() {
        return seen.values().stream()
                .filter(ColdUse::counts)
                .mapToDouble(ColdUse::part)
                .min()
                .orElse(1);
    }

    private static boolean counts(Seen s) {
        return s.couldWaiting > LEAST * 1e6;
    }

    private static double part(Seen s) {
        return s.doneWaiting / s.couldWaiting;
    }
}
