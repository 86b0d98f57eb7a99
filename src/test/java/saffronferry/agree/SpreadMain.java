package saffronferry.agree;

import java.util.Arrays;
import java.util.Locale;

/**
 * Measures how long setting changes take to reach a simulated fleet, and how many bytes that costs: {@code SpreadMain
 * SIZE LOSS_PERCENT CHANGES CAP [PART...]}, where CAP is in bytes per second and the parts are {@code stream}, {@code
 * quiet}, {@code burst}, {@code batch}, {@code restart} and {@code cut}; all of them by default. It runs too long for
 * CI.
 */
public final class SpreadMain {
    private static final long SECOND = SimulatedFleet.SECOND;

    private SpreadMain() {}

    public static void main(String[] args) {
        int size = Integer.parseInt(args[0]);
        double loss = Integer.parseInt(args[1]) / 100.0;
        int changes = Integer.parseInt(args[2]);
        int cap = Integer.parseInt(args[3]);
        var parts = args.length > 4
                ? Arrays.asList(args).subList(4, args.length)
                : Arrays.asList("stream", "quiet", "burst", "batch", "restart", "cut");
        for (String part : parts) {
            SimulatedFleet fleet = new SimulatedFleet(size, cap, loss, 38);
            fleet.run(15 * SECOND);
            String result = switch (part) {
                case "stream" -> stream(fleet, changes);
                case "quiet" -> quiet(fleet);
                case "burst" -> burst(fleet);
                case "restart" -> restart(fleet);
                case "batch" -> batch(fleet);
                case "cut" -> cut(fleet, 30) + "; " + cut(fleet, 300);
                default -> throw new IllegalArgumentException(part);
            };
            System.out.printf(
                    Locale.ROOT,
                    "%d dispatchers, %.0f %% lost, cap %d: %s; most in a second %d bytes%n",
                    size,
                    loss * 100,
                    cap,
                    result,
                    fleet.maxBytesInOneSecond);
        }
    }

    /** Changes one tenant at a time. */
    private static String stream(SimulatedFleet fleet, int changes) {
        double[] bytesPerSecond = {0};
        bytesPerSecond[0] = fleet.bytesPerSecond(() -> fleet.applyChangeStream(changes, 1_500_000));
        fleet.run(20 * SECOND);
        return String.format(
                Locale.ROOT,
                "%d changes, one each 1.5 s, in force after p50 %.2f s, p99 %.2f s, max %.2f s;"
                        + " %.0f bytes/s a dispatcher",
                changes,
                fleet.propagationSeconds(0.5),
                fleet.propagationSeconds(0.99),
                fleet.propagationSeconds(1),
                bytesPerSecond[0]);
    }

    /** Measures the traffic of a fleet whose settings do not change. */
    private static String quiet(SimulatedFleet fleet) {
        fleet.applyChanges(0, SimulatedFleet.changesForTenants(100, "5"));
        fleet.run(120 * SECOND);
        boolean converged = fleet.converged();
        double bytesPerSecond = fleet.bytesPerSecond(() -> fleet.run(60 * SECOND));
        return String.format(
                Locale.ROOT, "quiet with 100 held (agreed: %b) %.0f bytes/s a dispatcher", converged, bytesPerSecond);
    }

    /** Changes 1,100 tenants at once. */
    private static String burst(SimulatedFleet fleet) {
        long[] elapsedUs = {0};
        long[] before = fleet.bytesByKind.clone();
        double bytesPerSecond = fleet.bytesPerSecond(() -> {
            fleet.applyChanges(0, SimulatedFleet.changesForTenants(1100, "5"));
            elapsedUs[0] = fleet.runUntilConverged(300 * SECOND);
        });
        StringBuilder kinds = new StringBuilder();
        for (GossipDatagram.Kind k : GossipDatagram.Kind.values()) {
            kinds.append(' ')
                    .append(k)
                    .append(' ')
                    .append((fleet.bytesByKind[k.ordinal()] - before[k.ordinal()]) / fleet.size);
        }
        int[] held = Arrays.stream(fleet.nodes)
                .mapToInt(n -> n.status(fleet.now).heldChanges())
                .sorted()
                .toArray();
        return String.format(
                Locale.ROOT,
                "burst of 1100 in force everywhere after %.1f s, %.0f bytes/s a dispatcher,"
                        + " bytes of each by kind:%s; held %d to %d, median %d",
                elapsedUs[0] / 1e6,
                bytesPerSecond,
                kinds,
                held[0],
                held[held.length - 1],
                held[held.length / 2]);
    }

    /** Restarts a tenth of the dispatchers, without state, while the others hold 1,100 changes. */
    private static String restart(SimulatedFleet fleet) {
        fleet.applyChanges(0, SimulatedFleet.changesForTenants(1100, "5"));
        fleet.runUntilConverged(300 * SECOND);
        fleet.run(30 * SECOND);
        for (int i = 0; i < Math.max(1, fleet.size / 10); i++) {
            fleet.start(i);
        }
        return String.format(
                Locale.ROOT,
                "a tenth restarted, 1100 held: all caught up after %.1f s",
                fleet.runUntilConverged(300 * SECOND) / 1e6);
    }

    /** Changes 100 tenants at once. */
    private static String batch(SimulatedFleet fleet) {
        fleet.applyChanges(0, SimulatedFleet.changesForTenants(100, "5"));
        return String.format(
                Locale.ROOT,
                "100 at once in force everywhere after %.1f s",
                fleet.runUntilConverged(300 * SECOND) / 1e6);
    }

    /** Partitions the fleet into halves, changes settings in both, and measures convergence after the repair. */
    private static String cut(SimulatedFleet fleet, int seconds) {
        Arrays.fill(fleet.partition, 0, fleet.size / 2, 1);
        int changes = seconds * 2 / 3;
        for (int i = 0; i < changes; i++) {
            fleet.applyChanges(
                    i % 2 == 0 ? 0 : fleet.size - 1, java.util.Map.of(SimulatedFleet.key(i / 3), Integer.toString(i)));
            fleet.run(1_500_000);
        }
        Arrays.fill(fleet.partition, 0);
        long[] elapsedUs = {0};
        double bytesPerSecond = fleet.bytesPerSecond(() -> elapsedUs[0] = fleet.runUntilConverged(300 * SECOND));
        return String.format(
                Locale.ROOT,
                "cut for %d s with %d changes on both sides, agreed %.1f s after," + " %.0f bytes of each for that",
                seconds,
                changes,
                elapsedUs[0] / 1e6,
                bytesPerSecond * elapsedUs[0] / 1e6);
    }
}
