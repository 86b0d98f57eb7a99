package saffronferry.lab.policy;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.UniformRandomProvider;
import saffronferry.Contract.Settings;
import saffronferry.lab.policy.BaselineLogic.Known;

/** The policies that can be compared, all under the same rules and behind the same facade. */
public enum Policy {
    NETWORKED_QUEUES,
    RANDOM,
    ROUND_ROBIN,
    LEAST_OUTSTANDING,
    TWO_CHOICES,
    JOIN_IDLE_QUEUE,
    /** Sees the true load of every worker: no real dispatcher can; it shows what is left to gain. */
    SIGHTED;

    /** Its name on the command line and in results. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The policy of a name, or an error that lists them. */
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
     * A dispatcher's decisions; {@code truth} tells a worker's true load and is for {@link #SIGHTED} alone.
     */
    public DispatchLogic createLogic(Settings settings, UniformRandomProvider random, ToDoubleFunction<String> truth) {
        return switch (this) {
            case NETWORKED_QUEUES -> DispatchLogic.networkedQueues(settings);
            case RANDOM -> new BaselineLogic(settings, random, (all, r) -> all.get(r.nextInt(all.size())));
            case ROUND_ROBIN -> {
                int[] turn = {random.nextInt(1 << 20)};
                yield new BaselineLogic(settings, random, (all, r) -> all.get(turn[0]++ % all.size()));
            }
            case LEAST_OUTSTANDING -> new BaselineLogic(settings, random, Policy::leastOutstanding);
            case TWO_CHOICES ->
                new BaselineLogic(settings, random, (all, r) -> {
                    Known a = all.get(r.nextInt(all.size()));
                    Known b = all.get(r.nextInt(all.size()));
                    return a.outstanding <= b.outstanding ? a : b;
                });
            case JOIN_IDLE_QUEUE ->
                new BaselineLogic(settings, random, (all, r) -> {
                    List<Known> idle =
                            all.stream().filter(w -> w.outstanding == 0).toList();
                    return idle.isEmpty() ? all.get(r.nextInt(all.size())) : idle.get(r.nextInt(idle.size()));
                });
            case SIGHTED ->
                new BaselineLogic(settings, random, (all, r) -> {
                    Known best = null;
                    double least = Double.MAX_VALUE;
                    for (Known w : all) {
                        double load = truth.applyAsDouble(w.address) + (w.zone == settings.zone() ? 0 : 0.01);
                        if (load < least) {
                            least = load;
                            best = w;
                        }
                    }
                    return best;
                });
        };
    }

    private static Known leastOutstanding(List<Known> all, UniformRandomProvider random) {
        int from = random.nextInt(all.size());
        Known best = all.get(from);
        for (int i = 1; i < all.size(); i++) {
            Known w = all.get((from + i) % all.size());
            best = w.outstanding < best.outstanding ? w : best;
        }
        return best;
    }
}
