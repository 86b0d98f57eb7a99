package saffronferry.ops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import saffronferry.ops.DrainState.Phase;
import saffronferry.ops.Metrics.Result;

/** Tests of metrics, bans and drain states, without sockets or files. */
class OpsTest {
    @Test
    void metricsAreFormattedAsText() {
        Metrics metrics = new Metrics(List.of("page", "gift"));
        metrics.recordResult(0, Result.OK);
        metrics.recordResult(0, Result.OK);
        metrics.recordResult(1, Result.SHED);
        metrics.recordResult(1, Result.ERRORS);
        metrics.recordAttempt(1);
        metrics.recordResult(7, Result.OK); // an unknown class is not counted
        metrics.recordAttempt(-1);
        List<String> lines = metrics.format(new Metrics.Snapshot(
                        14,
                        9,
                        2,
                        List.of(
                                new Metrics.Metric("app_x", "gauge", "x", 0.25),
                                new Metrics.Metric("app_y", "counter", "y", 1e9))))
                .lines()
                .filter(l -> !l.startsWith("#"))
                .toList();
        assertEquals(
                List.of(
                        "app_responses{kind=\"page\",result=\"ok\"} 2",
                        "app_responses{kind=\"page\",result=\"shed\"} 0",
                        "app_responses{kind=\"page\",result=\"errors\"} 0",
                        "app_responses{kind=\"gift\",result=\"ok\"} 0",
                        "app_responses{kind=\"gift\",result=\"shed\"} 1",
                        "app_responses{kind=\"gift\",result=\"errors\"} 1",
                        "app_tries{kind=\"page\"} 0",
                        "app_tries{kind=\"gift\"} 1",
                        "app_active 14",
                        "app_pool_size 9",
                        "app_pool_ejected 2",
                        "app_x 0.250",
                        "app_y 1000000000"),
                lines);
    }

    @Test
    void controlTrafficIsCountedByKindWithRatesOverTheLastMinute() {
        ControlUsage usage = new ControlUsage();
        assertTrue(usage.format().contains("\napp_control_core_percent 0\n"), "no sample yet");
        usage.recordSample(1_000, 500, 1);
        usage.recordReceived(ControlUsage.Kind.LISTS, 3_000);
        usage.recordReceived(ControlUsage.Kind.LISTS, 500);
        usage.recordSent(ControlUsage.Kind.DATAGRAMS, 256);
        usage.recordReceived(ControlUsage.Kind.PROBES, 44);
        usage.recordSample(11_000, 650, 70_000_000);
        assertEquals(
                List.of(
                        "app_control_bytes{kind=\"lists\",way=\"in\"} 3500",
                        "app_control_bytes{kind=\"lists\",way=\"out\"} 0",
                        "app_control_bytes{kind=\"datagrams\",way=\"in\"} 0",
                        "app_control_bytes{kind=\"datagrams\",way=\"out\"} 256",
                        "app_control_bytes{kind=\"probes\",way=\"in\"} 44",
                        "app_control_bytes{kind=\"probes\",way=\"out\"} 0",
                        "app_control_bytes_per_second 380",
                        "app_control_cpu_seconds 0.650",
                        "app_control_core_percent 1.500",
                        "app_control_resident_bytes 70000000"),
                usage.format().lines().filter(l -> !l.startsWith("#")).toList());
        for (int s = 16; s <= 300; s += 5) {
            usage.recordSample(s * 1_000, 650 + s, 1);
        }
        assertTrue(
                usage.format().contains("\napp_control_core_percent 0.100\n"),
                "the burst is outside the rate window: " + usage.format());
        assertTrue(usage.format().contains("\napp_control_bytes_per_second 0\n"), usage.format());
    }

    @Test
    void classNamesAreEscapedInLabels() {
        String text = new Metrics(List.of("a\"} 9\nb\\")).format(new Metrics.Snapshot(0, 0, 0, List.of()));
        assertTrue(text.contains("app_tries{kind=\"a\\\"} 9\\nb\\\\\"} 0\n"), text);
    }

    @Test
    void bansAreNotCountedAndSurviveAWriteAndRead() {
        Bans bans = Bans.NONE.with("a").with("a").with("b\n\"c").without("x");
        assertEquals(bans, Bans.parse(bans.toJson()));
        assertEquals(Set.of("b\n\"c"), bans.without("a").workers());
        assertEquals(Bans.NONE, Bans.parse(Bans.NONE.toJson()));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "{\"version\":1,\"down\":[\"a\"",
                "{\"version\":1}",
                "{\"down\":[]}",
                "[]",
                "{\"version\":2,\"down\":[]}",
                "{\"version\":1,\"down\":[{}]}",
                "\u0000\u0000"
            })
    void damagedBansAreRejected(String text) {
        assertThrows(IllegalArgumentException.class, () -> Bans.parse(text));
    }

    @ParameterizedTest
    @CsvSource({
        "0, FAILING_HEALTH_CHECKS, 300",
        "299, FAILING_HEALTH_CHECKS, 1",
        "300, CLOSING_AFTER_RESPONSE, 900",
        "1199, CLOSING_AFTER_RESPONSE, 1",
        "1200, CLOSING_IDLE, -1",
        "100000, CLOSING_IDLE, -1"
    })
    void anOperatorsDrainPassesThroughItsPhases(long after, Phase phase, long untilNext) {
        DrainState drain = new DrainState();
        assertEquals(Phase.SERVING, drain.phase(5));
        drain.start(5);
        drain.start(5 + after); // a repeated call does not restart the drain
        assertEquals(phase, drain.phase(5 + after));
        assertEquals(untilNext, drain.msUntilNextPhase(5 + after));
        assertTrue(drain.stop());
        assertEquals(Phase.SERVING, drain.phase(5 + after));
        assertEquals(-1, drain.msUntilNextPhase(5 + after));
    }

    @Test
    void aShutdownCannotBeCancelledAndTheLaterPhaseApplies() {
        DrainState drain = new DrainState();
        drain.start(0);
        drain.shutDown(1_000, 2_900, false);
        drain.shutDown(2_000, 2_900, true); // a second signal changes nothing
        assertEquals(Phase.CLOSING_AFTER_RESPONSE, drain.phase(1_100));
        assertEquals(Phase.CLOSING_IDLE, drain.phase(1_200));
        assertFalse(drain.stop());
        assertEquals(Phase.FAILING_HEALTH_CHECKS, drain.phase(1_300));
        assertEquals(2_600, drain.msUntilNextPhase(1_300));
        assertEquals(Phase.CLOSING_IDLE, drain.phase(3_900));
    }

    @Test
    void aShutdownClosesConnectionsAtOnceIfAnotherProcessServes() {
        DrainState drain = new DrainState();
        drain.shutDown(1_000, 2_900, true);
        assertEquals(Phase.CLOSING_AFTER_RESPONSE, drain.phase(1_000));
        assertEquals(Phase.CLOSING_IDLE, drain.phase(3_900));
    }

    @Test
    void aReplacementClosesConnectionsAndCanBeRevokedUntilShutdown() {
        DrainState drain = new DrainState();
        drain.setReplaced(true);
        assertEquals(Phase.CLOSING_AFTER_RESPONSE, drain.phase(0));
        assertTrue(drain.isReplaced() && !drain.isShuttingDown());
        assertEquals(-1, drain.msUntilNextPhase(0)); // idle connections stay open
        drain.setReplaced(false);
        assertEquals(Phase.SERVING, drain.phase(0));
        drain.setReplaced(true);
        drain.shutDown(1_000, 2_900, true);
        assertEquals(Phase.CLOSING_AFTER_RESPONSE, drain.phase(1_000));
        assertEquals(Phase.CLOSING_IDLE, drain.phase(3_900));
        assertTrue(drain.isReplaced());
    }

    /**
     * Random sequences of calls: the phase is SERVING only without a drain, and it changes no earlier than announced.
     */
    @Test
    void randomCallSequencesKeepThePhaseConsistent() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            DrainState drain = new DrainState();
            boolean called = false;
            boolean ended = false;
            long now = random.nextInt(1_000);
            for (int i = 0; i < 100; i++) {
                Phase before = drain.phase(now);
                long next = drain.msUntilNextPhase(now);
                long step = 1 + random.nextInt(700);
                if (next < 0 || step < next) {
                    assertEquals(before, drain.phase(now + step - 1), "the phase changed before the announced time");
                }
                now += step;
                switch (random.nextInt(12)) {
                    case 0, 1 -> {
                        drain.start(now);
                        called = true;
                    }
                    case 2, 3 -> {
                        assertEquals(!ended, drain.stop());
                        called = false;
                    }
                    case 4 -> {
                        if (i > 80) {
                            drain.shutDown(now, 2_900, random.nextBoolean());
                            ended = true;
                        }
                    }
                    default -> {}
                }
                assertEquals(!called && !ended, drain.phase(now) == Phase.SERVING);
                assertEquals(ended, drain.isShuttingDown());
            }
        }
    }
}
