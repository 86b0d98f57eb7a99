package saffronferry.scale;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import saffronferry.BalancerAction;
import saffronferry.BalancerEvent;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Request;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.lab.policy.DispatchLogic;
import saffronferry.lab.policy.Policy;
import saffronferry.lab.scenario.Limits;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.scenario.ScenarioReader;
import saffronferry.lab.world.ClusterSimulation;

/** Scale simulation: lists are parsed from bytes, control messages are counted, and limits are checked. */
class ScaleSimulationTest {
    private static final String SMALL = """
            length_s = 3
            [fleet]
            zones = ["a", "b"]
            workers = 12
            dispatchers = 6
            [[class]]
            deadline_s = 1
            [discovery]
            calls_per_s = 100
            """;

    private static Scenario small(String more) throws Exception {
        return ScenarioReader.parse("small.toml", SMALL + more);
    }

    private static ScaleSimulation.Run run(Scenario scenario) {
        return ScaleSimulation.run(scenario, Map.of(), 1, second -> {});
    }

    private static List<WorkerInfo> workers() {
        List<WorkerInfo> all = new ArrayList<>();
        for (WorkerState state : WorkerState.values()) {
            all.add(new WorkerInfo("10.0.0." + all.size() + ":9100", state, 0, all.size() % 2, 1_234_000, 7));
        }
        return all;
    }

    // ---- encoding and counting ----

    @Test
    void lineIsEncodedOnceAndParsedByEachDispatcher() throws Exception {
        WorkerListCodec lines = new WorkerListCodec(small(""));
        List<WorkerInfo> sentEntries = workers();
        byte[] line = lines.encode(sentEntries, ListKind.WHOLE);
        assertSame(line, lines.encode(List.copyOf(sentEntries), ListKind.WHOLE), "encoded once");
        JSONObject json = new JSONObject(new String(line, StandardCharsets.UTF_8));
        assertTrue(json.getBoolean("complete") && json.getJSONArray("members").length() == sentEntries.size());
        assertEquals('\n', line[line.length - 1]);
        List<WorkerInfo> read =
                lines.decode(line).entries().stream().map(e -> e.info()).toList();
        assertEquals(sentEntries, read);
        List<WorkerInfo> again =
                lines.decode(line).entries().stream().map(e -> e.info()).toList();
        for (int i = 0; i < sentEntries.size(); i++) {
            assertNotSame(sentEntries.get(i).address(), read.get(i).address());
            assertNotSame(read.get(i).address(), again.get(i).address(), "each dispatcher has its own");
        }
        // a changed byte changes the parsed list
        byte[] other = line.clone();
        other[new String(line, StandardCharsets.UTF_8).indexOf("10.0.0.0") + 7] = '9';
        assertEquals(
                "10.0.0.9:9100", lines.decode(other).entries().get(0).info().address());
    }

    /** Records its inputs; answers each of them with one datagram and one probe. */
    private static final class RecordingBrain implements DispatchLogic {
        final List<BalancerEvent> news = new ArrayList<>();

        @Override
        public List<BalancerAction> pick(long now, Request rpc) {
            return List.of();
        }

        @Override
        public List<BalancerAction> report(long now, BalancerEvent what) {
            news.add(what);
            return List.of(new BalancerAction.SendToPeer(1, new byte[40]), new BalancerAction.Probe("10.0.0.1:9100"));
        }

        @Override
        public List<BalancerAction> tick(long now, long token) {
            return List.of();
        }
    }

    @Test
    void moduleReceivesParsedInputAndMessagesAreCounted() throws Exception {
        CostMeter meter = new CostMeter(small(""), now -> {});
        RecordingBrain recorder = new RecordingBrain();
        DispatchLogic instrumented = meter.wrap(recorder, 0);
        List<WorkerInfo> sentEntries = workers();
        long now = ClusterSimulation.LOAD_START_US + 1_500_000;
        instrumented.report(now, new BalancerEvent.Resolved(ListKind.CHANGES, sentEntries));
        byte[] datagram = {1, 2, 3};
        instrumented.report(now, new BalancerEvent.PeerMessageReceived(4, datagram));
        instrumented.report(now, new BalancerEvent.Resolved(ListKind.WARM_COPY, sentEntries));
        List<WorkerInfo> seen = ((BalancerEvent.Resolved) recorder.news.get(0)).entries();
        assertEquals(sentEntries, seen);
        assertNotSame(sentEntries.get(0), seen.get(0));
        assertArrayEquals(datagram, ((BalancerEvent.PeerMessageReceived) recorder.news.get(1)).bytes());
        CostMeter.DispatcherCost cost = meter.costs.get(0);
        assertEquals(
                meter.listCodec.encode(sentEntries, ListKind.CHANGES).length,
                cost.bytes[CostMeter.MessageKind.LIST_IN.ordinal()],
                "the warm copy is read from a file and not counted");
        assertEquals(3, cost.bytes[CostMeter.MessageKind.DATAGRAM_IN.ordinal()]);
        assertEquals(120, cost.bytes[CostMeter.MessageKind.DATAGRAM_OUT.ordinal()]);
        assertEquals(3, cost.messages[CostMeter.MessageKind.PROBE_OUT.ordinal()]);
        assertEquals(cost.controlBytes(), cost.bytesBySecond[1]);
        assertEquals(2, cost.decisions[CostMeter.DecisionKind.LIST.ordinal()]);
        assertEquals(0, meter.costs.get(1).controlBytes());
    }

    /** The first complete list is attributed to the start, however late it arrives; the next one is not. */
    @Test
    void onlyTheFirstCompleteListIsAttributedToTheStart() throws Exception {
        CostMeter meter = new CostMeter(small(""), now -> {});
        DispatchLogic instrumented = meter.wrap(new RecordingBrain(), 0);
        CostMeter.DispatcherCost cost = meter.costs.get(0);
        int whole = meter.listCodec.encode(workers(), ListKind.WHOLE).length;
        for (int time = 0; time < 2; time++) {
            assertEquals(0, cost.bytes[CostMeter.MessageKind.LIST_IN.ordinal()]);
            instrumented = time == 0 ? instrumented : meter.wrap(new RecordingBrain(), 0); // a restart
            instrumented.report(
                    ClusterSimulation.LOAD_START_US + 1, new BalancerEvent.Resolved(ListKind.WHOLE, workers()));
        }
        assertEquals(whole, cost.bytes[CostMeter.MessageKind.LIST_IN.ordinal()]);
        assertEquals(whole, cost.wholeListBytes);
        assertEquals(
                1,
                cost.decisions[CostMeter.DecisionKind.LIST.ordinal()],
                "the time of the first list is not counted either");
        assertEquals(1, cost.parses);
        assertTrue(cost.startNanos > 0);
        assertEquals(whole, cost.startBytes);
    }

    /** Costs before the first request or after the last one are not counted. */
    @Test
    void onlyTheTimeUnderLoadIsCounted() throws Exception {
        CostMeter meter = new CostMeter(small(""), now -> {});
        DispatchLogic instrumented = meter.wrap(new RecordingBrain(), 0);
        instrumented.report(
                ClusterSimulation.LOAD_START_US - 1, new BalancerEvent.PeerMessageReceived(1, new byte[10]));
        instrumented.report(
                ClusterSimulation.LOAD_START_US + 3_000_000, new BalancerEvent.PeerMessageReceived(1, new byte[10]));
        CostMeter.DispatcherCost cost = meter.costs.get(0);
        assertEquals(0, cost.controlBytes());
        assertTrue(cost.startBytes > 10, "counted for the start: " + cost.startBytes);
        assertEquals(0, cost.decisions[CostMeter.DecisionKind.DATAGRAM.ordinal()]);
    }

    // ---- simulations ----

    /** All figures except those of time and heap depend only on the seed, and match the simulator's. */
    @Test
    void runIsReproducibleForTheSameSeed() throws Exception {
        Scenario scenario = small("[[trouble]]\nkind = \"replace\"\nat_s = 0.5\nsize = 1\n");
        Map<String, Double> figures = deterministic(run(scenario).figures());
        assertEquals(figures, deterministic(run(scenario).figures()));
        assertNotEquals(
                figures,
                deterministic(
                        ScaleSimulation.run(scenario, Map.of(), 2, second -> {}).figures()));
        for (String figure : List.of(
                "datagram_bytes_out_per_s",
                "datagram_bytes_in_per_s",
                "list_bytes_in_per_s",
                "probe_bytes_out_per_s",
                "messages_per_request",
                "start_control_bytes")) {
            assertTrue(figures.get(figure) > 0, figure + " in " + figures);
        }
        assertEquals(
                ClusterSimulation.run(small(""), Policy.NETWORKED_QUEUES, 1).goal(),
                run(small("")).figures().get("goal_share"),
                0.0001);
    }

    private static Map<String, Double> deterministic(Map<String, Double> figures) {
        Map<String, Double> kept = new HashMap<>(figures);
        kept.keySet()
                .removeIf(f -> f.endsWith("_us")
                        || f.endsWith("_ms")
                        || f.endsWith("_percent")
                        || f.contains("heap")
                        || f.equals("decision_us_per_request"));
        return kept;
    }

    /** Each figure that can have a limit is measured under the same name. */
    @Test
    void everyFigureIsMeasuredUnderTheNameOfItsLimit() throws Exception {
        assertEquals(Limits.FIGURES.keySet(), run(small("")).figures().keySet());
    }

    @Test
    void minimumAndMaximumLimitsAreChecked() throws Exception {
        ScaleSimulation.Run run =
                run(small("[limits]\ncontrol_bytes_per_s = 10\ngoal_share = 1\ncold_multiple = 50\n"));
        assertEquals(2, run.violations().size(), run.violations().toString());
        assertTrue(
                run.violations().get(0).matches("control_bytes_per_s [0-9.]+ over 10"),
                run.violations().get(0));
        assertTrue(
                run.violations().get(1).matches("goal_share 0\\.\\d+ under 1"),
                run.violations().get(1));
        JSONObject json = ScaleSimulation.json("small.toml", 1, List.of(run));
        JSONObject first = json.getJSONArray("plays").getJSONObject(0);
        assertEquals(10, first.getJSONObject("limits").getInt("control_bytes_per_s"));
        assertEquals(6, first.getInt("dispatchers"));
        assertEquals(3.0, first.getDouble("seconds"));
    }

    /** The loss of a region or rack and a cut between regions have a measurable effect and break no rule. */
    @Test
    void regionLossAndRegionCutBreakNoRule() throws Exception {
        String lost = "[[trouble]]\nkind = \"region_loss\"\nat_s = 0.5\nlength_s = 1\nzone = \"b\"\n";
        String cut = "[[trouble]]\nkind = \"peer_cut\"\nshape = \"regions\"\nat_s = 0\nlength_s = 3\n";
        String rack = "[[trouble]]\nkind = \"rack_loss\"\nat_s = 0.5\nlength_s = 1\nzone = \"a\"\n";
        double uncut = figure(regions(""), "datagram_bytes_in_per_s");
        double apart = figure(regions(cut), "datagram_bytes_in_per_s");
        assertTrue(apart < uncut, apart + " received with the cut, without " + uncut);
        for (String trouble : List.of(lost, cut, rack)) {
            assertEquals(List.of(), run(regions(trouble)).violations(), trouble);
        }
        double served = figure(regions(lost), "served_share");
        assertTrue(
                served < figure(regions(""), "served_share"), "clients of the lost region are not served: " + served);
    }

    /** Each example scenario, reduced to one dispatcher and four workers per zone. */
    @Test
    void everyExampleRunsAndBreaksNoRule() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("examples/scale"))) {
            for (Path file : files.sorted().toList()) {
                Scenario whole = ScenarioReader.read(file);
                int zones = whole.zones().size();
                List<String> overrides = new ArrayList<>(
                        List.of("fleet.dispatchers=" + zones, "fleet.workers=" + 4 * zones, "length_s=4"));
                for (int i = 0; i < whole.faults().size(); i++) {
                    overrides.add("trouble[" + i + "].at_s=1");
                    overrides.add("trouble[" + i + "].length_s=2");
                }
                ScaleSimulation.Run run = run(ScenarioReader.read(file, overrides));
                assertEquals(
                        List.of(),
                        run.violations().stream()
                                .filter(b -> b.startsWith("rule"))
                                .toList(),
                        file + "");
                assertTrue(run.figures().get("served_share") > 0.5, file + ": " + run.figures());
                assertFalse(
                        file.endsWith("deploy.toml") ^ whole.limits().stated().isEmpty(), file + " states limits");
            }
        }
    }

    private static Scenario regions(String trouble) throws Exception {
        return ScenarioReader.parse("regions.toml", SMALL.replace("[fleet]\n", "[fleet]\nregions = 2\n") + trouble);
    }

    private static double figure(Scenario scenario, String name) {
        return run(scenario).figures().get(name);
    }
}
