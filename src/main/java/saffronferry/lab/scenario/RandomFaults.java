package saffronferry.lab.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import saffronferry.lab.scenario.Scenario.Fault;
import saffronferry.lab.scenario.Scenario.LinkFault;

/**
 * Random faults in addition to those listed in a scenario: their number, their kinds, and the interval in which
 * they begin. The same seed gives the same faults, in the simulator and in the rig.
 */
public record RandomFaults(int count, List<String> kinds, long from, long until) {
    private static final long MIN_LENGTH_US = 500_000;
    private static final long MAX_LENGTH_US = 8_000_000;
    private static final double[] LOSS_RATES = {1, 1, 0.7, 0.4, 0.1};
    private static final double MAX_PART = 0.7;
    /** Separate from the shapes a scenario may name: a new shape there must not change what a seed gives. */
    private static final List<String> LINK_SHAPES = List.of("all", "half", "alone", "mute", "deaf");

    /** The faults for a seed, ordered by their start time. */
    List<Fault> generate(long seed, long scenarioLength, List<String> zones, List<String> tenants) {
        SplittableRandom random = new SplittableRandom(seed * 0x9E3779B97F4A7C15L + 1);
        List<Fault> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String kind = kinds.get(random.nextInt(kinds.size()));
            long latest = Math.max(from + 1, Math.min(until, scenarioLength));
            long at = from + random.nextLong(latest - from);
            long lengthUs = MIN_LENGTH_US + random.nextLong(MAX_LENGTH_US - MIN_LENGTH_US);
            double part = 0.05 + (MAX_PART - 0.05) * random.nextDouble();
            all.add(new Fault(
                    kind,
                    at,
                    lengthUs,
                    part,
                    size(kind, random),
                    zones.get(random.nextInt(zones.size())),
                    tenants.get(random.nextInt(tenants.size())),
                    link(random)));
        }
        all.sort((a, b) -> Long.compare(a.at(), b.at()));
        return all;
    }

    /** The size of a fault. Its meaning depends on the kind: seconds, or a factor. */
    private static double size(String kind, SplittableRandom random) {
        return switch (kind) {
            case "dispatcher_restart", "dispatcher_term" -> 0.2 + 2 * random.nextDouble();
            case "dispatcher_stop" -> 1 + 9 * random.nextDouble();
            default -> 2 + 4 * random.nextDouble();
        };
    }

    private static LinkFault link(SplittableRandom random) {
        return new LinkFault(
                LINK_SHAPES.get(random.nextInt(LINK_SHAPES.size())),
                random.nextInt(4) == 0,
                LOSS_RATES[random.nextInt(LOSS_RATES.length)],
                random.nextInt(3) == 0 ? 1 : 0,
                random.nextInt(3) == 0 ? 500_000 : 0,
                random.nextInt(3) == 0 ? 1_000_000 : 0);
    }
}
