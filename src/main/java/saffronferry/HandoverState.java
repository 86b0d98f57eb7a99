package saffronferry;

import java.util.Arrays;
import java.util.Map;

/**
 * What one process of a dispatcher tells another that runs beside it, as long as one replaces the other: the
 * slots that its jobs take, by subchannel, and what it has learned, in a form of the module's own.
 */
public record HandoverState(Map<String, Integer> jobs, double[] learned) {
    /** Of no other process. */
    public static final HandoverState NOBODY = new HandoverState(Map.of(), new double[0]);

    @Override
    public boolean equals(Object o) {
        return o instanceof HandoverState b && jobs.equals(b.jobs) && Arrays.equals(learned, b.learned);
    }

    @Override
    public int hashCode() {
        return 31 * jobs.hashCode() + Arrays.hashCode(learned);
    }
}
