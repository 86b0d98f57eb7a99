package saffronferry.lab.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import saffronferry.lab.scenario.Scenario.Link;
import saffronferry.lab.scenario.Scenario.Fault;

/**
 * Troubles drawn from a play's seed, beside those that a scenario names: so many, of these kinds, each
 * beginning between two times. The same seed draws the same, in the laboratory and in the rig.
 */
public record RandomFaults(int count, List<String> kinds, long from, long until) {
    private static final long SHORTEST = 500_000;
    private static final long LONGEST = 8_000_000;
    private static final double[] LOSSES = {1, 1, 0.7, 0.4, 0.1};
    private static final double MOST_PART = 0.7;
    /** A list of its own: a shape more among those that can be written must not change what seeds draw. */
    private static final List<String> SHAPES = List.of("all", "half", "alone", "mute", "deaf");

    /** What is drawn for a seed in a scenario of that length, in order of time. */
    List<Fault> generate(long seed, long length, List<String> zones, List<String> tenants) {
        SplittableRandom random = new SplittableRandom(seed * 0x9E3779B97F4A7C15L + 1);
        List<Fault> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String kind = kinds.get(random.nextInt(kinds.size()));
            long latest = Math.max(from + 1, Math.min(until, length));
            long at = from + random.nextLong(latest - from);
            long lasts = SHORTEST + random.nextLong(LONGEST - SHORTEST);
            double part = 0.05 + (MOST_PART - 0.05) * random.nextDouble();
            all.add(new Fault(
                    kind,
                    at,
                    lasts,
                    part,
                    size(kind, random),
                    zones.get(random.nextInt(zones.size())),
                    tenants.get(random.nextInt(tenants.size())),
                    link(random)));
        }
        all.sort((a, b) -> Long.compare(a.at(), b.at()));
        return all;
    }

    /** What {@code size} means hangs on the kind: seconds, or how much slower or more. */
    private static double size(String kind, SplittableRandom random) {
        return switch (kind) {
            case "dispatcher_restart", "dispatcher_term" -> 0.2 + 2 * random.nextDouble();
            case "dispatcher_stop" -> 1 + 9 * random.nextDouble();
            default -> 2 + 4 * random.nextDouble();
        };
    }

    private static Link link(SplittableRandom random) {
        return new Link(
                SHAPES.get(random.nextInt(SHAPES.size())),
                random.nextInt(4) == 0,
                LOSSES[random.nextInt(LOSSES.length)],
                random.nextInt(3) == 0 ? 1 : 0,
                random.nextInt(3) == 0 ? 500_000 : 0,
                random.nextInt(3) == 0 ? 1_000_000 : 0);
    }
}
