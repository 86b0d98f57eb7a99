package saffronferry.agree;

import java.util.Arrays;
import java.util.Locale;

/**
 * Measures how settings spread over hollow dispatchers: {@code SpreadMain SIZE LOSS_PERCENT CHANGES CAP [PART...]},
 * where the parts are {@code stream}, {@code quiet}, {@code burst}, {@code batch}, {@code restart}, {@code cut}; all
 * of them where none is named. For times that are too long for CI.
 */
public final class SpreadMain {
    private static final long SECOND = HollowFleet.SECOND;

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
            HollowFleet f = new HollowFleet(size, cap, loss, 38);
            f.run(15 * SECOND);
            String said = switch (part) {
                case "stream" -> stream(f, changes);
                case "quiet" -> quiet(f);
                case "burst" -> burst(f);
                case "restart" -> restart(f);
                case "batch" -> batch(f);
                case "cut" -> cut(f, 30) + "; " + cut(f, 300);
                default -> throw new IllegalArgumentException(part);
            };
            System.out.printf(
                    Locale.ROOT,
                    "%d dispatchers, %.0f %% lost, cap %d: %s; most in a second %d bytes%n",
                    size,
                    loss * 100,
                    cap,
                    said,
                    f.mostInASecond);
        }
    }

    private static String stream(HollowFleet f, int changes) {
        double[] perS = {0};
        perS[0] = f.bytesPerS(() -> f.stream(changes, 1_500_000));
        f.run(20 * SECOND);
        return String.format(
                Locale.ROOT,
                "%d changes, one each 1.5 s, in force after p50 %.2f s, p99 %.2f s, max %.2f s;"
                        + " %.0f bytes/s a dispatcher",
                changes,
                f.seconds(0.5),
                f.seconds(0.99),
                f.seconds(1),
                perS[0]);
    }

    private static String quiet(HollowFleet f) {
        f.changeAll(0, HollowFleet.burst(100, "5"));
        f.run(120 * SECOND);
        boolean agreed = f.agreed();
        double perS = f.bytesPerS(() -> f.run(60 * SECOND));
        return String.format(Locale.ROOT, "quiet with 100 held (agreed: %b) %.0f bytes/s a dispatcher", agreed, perS);
    }

    private static String burst(HollowFleet f) {
        long[] took = {0};
        long[] before = f.byKind.clone();
        double perS = f.bytesPerS(() -> {
            f.changeAll(0, HollowFleet.burst(1100, "5"));
            took[0] = f.runUntilAgreed(300 * SECOND);
        });
        StringBuilder kinds = new StringBuilder();
        for (Frame.Kind k : Frame.Kind.values()) {
            kinds.append(' ').append(k).append(' ').append((f.byKind[k.ordinal()] - before[k.ordinal()]) / f.size);
        }
        int[] held = Arrays.stream(f.nodes)
                .mapToInt(n -> n.status(f.now).heldChanges())
                .sorted()
                .toArray();
        return String.format(
                Locale.ROOT,
                "burst of 1100 in force everywhere after %.1f s, %.0f bytes/s a dispatcher,"
                        + " bytes of each by kind:%s; held %d to %d, median %d",
                took[0] / 1e6,
                perS,
                kinds,
                held[0],
                held[held.length - 1],
                held[held.length / 2]);
    }

    /** A tenth restarted from nothing, 1,100 changes held by the others. */
    private static String restart(HollowFleet f) {
        f.changeAll(0, HollowFleet.burst(1100, "5"));
        f.runUntilAgreed(300 * SECOND);
        f.run(30 * SECOND);
        for (int i = 0; i < Math.max(1, f.size / 10); i++) {
            f.start(i);
        }
        return String.format(
                Locale.ROOT,
                "a tenth restarted, 1100 held: all caught up after %.1f s",
                f.runUntilAgreed(300 * SECOND) / 1e6);
    }

    private static String batch(HollowFleet f) {
        f.changeAll(0, HollowFleet.burst(100, "5"));
        return String.format(
                Locale.ROOT, "100 at once in force everywhere after %.1f s", f.runUntilAgreed(300 * SECOND) / 1e6);
    }

    private static String cut(HollowFleet f, int seconds) {
        Arrays.fill(f.side, 0, f.size / 2, 1);
        int changes = seconds * 2 / 3;
        for (int i = 0; i < changes; i++) {
            f.changeAll(i % 2 == 0 ? 0 : f.size - 1, java.util.Map.of(HollowFleet.key(i / 3), Integer.toString(i)));
            f.run(1_500_000);
        }
        Arrays.fill(f.side, 0);
        long[] took = {0};
        double perS = f.bytesPerS(() -> took[0] = f.runUntilAgreed(300 * SECOND));
        return String.format(
                Locale.ROOT,
                "cut for %d s with %d changes on both sides, agreed %.1f s after," + " %.0f bytes of each for that",
                seconds,
                changes,
                took[0] / 1e6,
                perS * took[0] / 1e6);
    }
}
