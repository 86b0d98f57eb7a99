package saffronferry;

import java.util.Arrays;
import java.util.Map;

/**
 * What one process of a dispatcher passes to another while one replaces the other and both run.
 *
 * @param busySlots slots that the process's jobs occupy, by subchannel
 * @param learned learned estimates, in the module's own format
 */
public record HandoverState(Map<String, Integer> busySlots, double[] learned) {
    /** State when there is no other process. */
    public static final HandoverState NONE = new HandoverState(Map.of(), new double[0]);

    @Override
    public boolean equals(Object other) {
        return other instanceof HandoverState state
                && busySlots.equals(state.busySlots)
                && Arrays.equals(learned, state.learned);
    }

    @Override
    public int hashCode() {
        return 31 * busySlots.hashCode() + Arrays.hashCode(learned);
    }
}
