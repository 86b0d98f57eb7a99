package saffronferry.rig;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.json.JSONObject;
import org.junit.Test;
import saffronferry.lab.scenario.PeerLinks;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.scenario.ScenarioReader;

/** Tests of the fault rig itself: link faults, the worker model, and cleanup after a run. */
public class FaultRigTest {
    private static final Path PEERS_CUT_SCENARIO = Path.of("examples/rig/deaf.toml");

    static Scenario scenario(String... values) throws Exception {
        return ScenarioReader.read(PEERS_CUT_SCENARIO, List.of(values));
    }

    /** Reachability among four dispatchers: a row per sender, with the number of copies that each receiver gets. */
    private static String reach(Scenario s, long at, double chance) {
        PeerLinks links = new PeerLinks(s, 0);
        return IntStream.range(0, 4)
                .mapToObj(from -> IntStream.range(0, 4)
                        .mapToObj(to -> from == to
                                ? "."
                                : Integer.toString(
                                        links.copies(at, from, to, () -> chance).size()))
                        .collect(Collectors.joining()))
                .collect(Collectors.joining(" "));
    }

    @Test
    public void eachCutShapeBlocksTheExpectedLinks() throws Exception {
        String[][] cases = {
            {".000 0.00 00.0 000.", "shape=\"all\""},
            {".000 1.00 11.0 111.", "shape=\"all\"", "one_way=true"},
            {".100 1.00 00.1 001.", "shape=\"half\""},
            {".100 1.00 11.1 111.", "shape=\"half\"", "one_way=true"},
            {".000 0.11 01.1 011.", "shape=\"alone\"", "part=0.25"},
            {".000 1.11 11.1 111.", "shape=\"mute\"", "part=0.25"},
            {".111 0.11 01.1 011.", "shape=\"deaf\"", "part=0.25"},
            {".111 1.11 11.1 111.", "shape=\"all\"", "loss=0.4"},
            {".222 2.22 22.2 222.", "shape=\"all\"", "loss=0.4", "doubled=1.0"}
        };
        for (String[] c : cases) {
            String[] values = Stream.concat(
                            Stream.of("fleet.dispatchers=4"),
                            Stream.of(c).skip(1).map(v -> "trouble[1]." + v))
                    .toArray(String[]::new);
            assertEquals(String.join(" ", c), c[0], reach(scenario(values), 1_000_000, 0.5));
        }
        Scenario flapping = scenario("fleet.dispatchers=4", "trouble[1].flap_s=6");
        assertEquals(".000 0.00 00.0 000.", reach(flapping, 5_000_000, 0.5));
        assertEquals("healed", ".111 1.11 11.1 111.", reach(flapping, 7_000_000, 0.5));
        assertEquals("cut again", ".000 0.00 00.0 000.", reach(flapping, 13_000_000, 0.5));
    }

    /** The rules for cold workers are checked against the model's capacity, so it must match the scenario. */
    @Test
    public void coldCapacityFollowsTheScenario() throws Exception {
        Scenario.WorkerKind kind = scenario().kinds().get(0);
        WorkerModel m = new WorkerModel(kind, 1, 1_000_000, 1_000_000);
        assertEquals(5 * 0.33, m.capacity(1_000_000), 1e-9);
        assertEquals(5 * (0.33 + 0.67 / 2), m.capacity(1_000_000 + kind.cold() / 2), 1e-6);
        WorkerModel warm = new WorkerModel(kind, 1, 0, 0);
        for (int i = 0; i < 15; i++) {
            assertTrue(warm.offer(new WorkerModel.Job("j" + i, 1e6)));
            warm.startQueued();
        }
        assertTrue("five run and ten wait, so the next job is rejected", !warm.offer(new WorkerModel.Job("x", 1e6)));
        assertEquals(0, warm.freeSlots());
        assertEquals(0, warm.advance(999_000).size());
        assertEquals(5, warm.advance(1_000_001).size());
        assertEquals(5, warm.startQueued().size());
        assertEquals(5e6, warm.completedWork(), 10);
    }

    /**
     * Three processes: one is killed and restarted, one paused and resumed, one cut off from its peers. Every
     * request ends, no rule is broken, and no process is left.
     */
    @Test
    public void runWithFaultsEndsWithoutViolationsOrLeftProcesses() throws Exception {
        Scenario s = ScenarioReader.parse("small.toml", """
                length_s = 5
                [fleet]
                zones = ["a"]
                workers = 4
                dispatchers = 3
                [load]
                share = 0.3
                [[trouble]]
                kind = "dispatcher_restart"
                part = 0.3
                at_s = 1
                length_s = 0.001
                size = 0.1
                [[trouble]]
                kind = "dispatcher_stop"
                part = 0.3
                at_s = 3.5
                length_s = 0.001
                size = 0.5
                [[trouble]]
                kind = "peer_cut"
                at_s = 0
                shape = "alone"
                part = 0.3
                """);
        long before = ProcessHandle.current().children().count();
        Path logs = Files.createTempDirectory("rig-logs");
        JSONObject result = FaultRig.run(s, 1, logs);
        assertEquals(before, ProcessHandle.current().children().count());
        String log = Files.readString(logs.resolve("dispatcher-0.log"));
        assertEquals(
                "started twice: " + log,
                2,
                log.lines().filter(l -> l.contains("serving: ")).count());
        for (Path file : List.of(
                logs.resolve("dispatcher-0.log"),
                logs.resolve("dispatcher-1.log"),
                logs.resolve("dispatcher-2.log"),
                logs)) {
            Files.delete(file);
        }
        assertTrue(
                result.toString(),
                result.getInt("requests") > 20 && result.getInt("served") > result.getInt("requests") / 2);
        assertTrue("the rules were evaluated: " + result, result.getInt("judged") > 2 * result.getInt("served"));
        assertTrue("datagrams crossed the relay: " + result, result.getInt("datagrams") > 50);
        assertEquals(result.toString(), 0, result.getInt("rules_broken"));
    }
}
