package saffronferry.lab.policy;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import saffronferry.Contract.Settings;
import saffronferry.lab.policy.BaselineLogic.WorkerView;

/** The load balancing policies that can be compared. All are subject to the same rules. */
public enum Policy {
    NETWORKED_QUEUES,
    RANDOM,
    ROUND_ROBIN,
    LEAST_OUTSTANDING,
    TWO_CHOICES,
    JOIN_IDLE_QUEUE,
    /** Uses the true load of every worker, which no real dispatcher knows. An upper bound for comparison. */
    SIGHTED;

    /** The name on the command line and in results. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the policy with the given label; the error for an unknown one lists all labels. */
    public static Policy of(String label) {
        return Arrays.stream(values())
                .filter(p -> p.label().equals(label))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException(
                        "no policy " + label + "; there are " + String.join(", ", labels())));
    }

    public static List<String> labels() {
        return Arrays.stream(values()).map(Policy::label).toList();
    }

    /**
     * Creates the dispatch logic of a dispatcher. {@code trueLoad} returns the actual load of a worker and is used by
     * {@link #SIGHTED} only.
     */
    public DispatchLogic createLogic(
            Settings settings, UniformRandomProvider random, ToDoubleFunction<String> trueLoad) {
        return switch (this) {
            case NETWORKED_QUEUES -> DispatchLogic.networkedQueues(settings);
            case RANDOM -> new BaselineLogic(settings, random, (all, r) -> all.get(r.nextInt(all.size())));
            case ROUND_ROBIN -> {
                int[] nextIndex = {random.nextInt(1 << 20)};
                yield new BaselineLogic(settings, random, (all, r) -> all.get(nextIndex[0]++ % all.size()));
            }
            case LEAST_OUTSTANDING -> new BaselineLogic(settings, random, Policy::leastOutstanding);
            case TWO_CHOICES ->
                new BaselineLogic(settings, random, (all, r) -> {
                    WorkerView a = all.get(r.nextInt(all.size()));
                    WorkerView b = all.get(r.nextInt(all.size()));
                    return a.outstanding <= b.outstanding ? a : b;
                });
            case JOIN_IDLE_QUEUE ->
                new BaselineLogic(settings, random, (all, r) -> {
                    List<WorkerView> idle =
                            all.stream().filter(w -> w.outstanding == 0).toList();
                    return idle.isEmpty() ? all.get(r.nextInt(all.size())) : idle.get(r.nextInt(idle.size()));
                });
            case SIGHTED ->
                new BaselineLogic(settings, random, (all, r) -> {
                    WorkerView best = null;
                    double leastLoad = Double.MAX_VALUE;
                    for (WorkerView w : all) {
                        double load = trueLoad.applyAsDouble(w.address) + (w.zone == settings.zone() ? 0 : 0.01);
                        if (load < leastLoad) {
                            leastLoad = load;
                            best = w;
                        }
                    }
                    return best;
                });
        };
    }

    private static WorkerView leastOutstanding(List<WorkerView> all, UniformRandomProvider random) {
        int from = random.nextInt(all.size());
        WorkerView best = all.get(from);
        for (int i = 1; i < all.size(); i++) {
            WorkerView w = all.get((from + i) % all.size());
            best = w.outstanding < best.outstanding ? w : best;
        }
        return best;
    }
}
