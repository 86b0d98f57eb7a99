package saffronferry.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import saffronferry.BalancerAction;
import saffronferry.BalancerEvent;
import saffronferry.Contract.Request;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.lab.check.RuleChecker.Violation;
import saffronferry.lab.policy.DispatchLogic;
import saffronferry.lab.policy.Policy;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.scenario.ScenarioException;
import saffronferry.lab.scenario.ScenarioReader;
import saffronferry.lab.world.ClusterSimulation;
import saffronferry.lab.world.ClusterSimulation.RunResult;

/** Tests of the simulator: reproducible runs, detection of rule violations, and validation of scenarios. */
class LabTest {
    private static Scenario example(String name) throws Exception {
        return ScenarioReader.read(Path.of("examples/lab/" + name + ".toml"));
    }

    /** One thread and eight threads give the same result for the same seeds, byte for byte; other seeds differ. */
    @Test
    void sameSeedsGiveIdenticalResults() throws Exception {
        Scenario s = example("alumni-zone-loss-in-deploy");
        List<Long> seeds = List.of(1L, 2L, 3L);
        String one = Lab.json(s, Policy.NETWORKED_QUEUES, Lab.run(s, Policy.NETWORKED_QUEUES, seeds, 1))
                .toString();
        String eight = Lab.json(s, Policy.NETWORKED_QUEUES, Lab.run(s, Policy.NETWORKED_QUEUES, seeds, 8))
                .toString();
        assertEquals(one, eight);
        assertNotEquals(
                ClusterSimulation.run(s, Policy.RANDOM, 4).json().toString(),
                ClusterSimulation.run(s, Policy.RANDOM, 5).json().toString());
    }

    /** The decisions of a policy must not shift the random draws that generate requests. */
    @Test
    void allPoliciesReceiveTheSameRequests() throws Exception {
        Scenario s = example("alumni-slow");
        Set<Object> asked = new HashSet<>();
        for (Policy p : Policy.values()) {
            asked.add(ClusterSimulation.run(s, p, 7).json().getLong("requests"));
        }
        assertEquals(1, asked.size());
    }

    /** Baseline policies may overload a cold worker where few workers are left; networked queues may not. */
    @Test
    void networkedQueuesViolateNoRuleInAnyExample() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("examples/lab"))) {
            for (Path file : files.sorted().toList()) {
                Scenario s = ScenarioReader.read(file);
                for (Policy p : Policy.values()) {
                    RunResult result = ClusterSimulation.run(s, p, 3);
                    assertTrue(
                            p != Policy.NETWORKED_QUEUES || result.violations().isEmpty(),
                            file + ": " + result.violations());
                    assertTrue(
                            result.goal() > 0.2 && result.goal() <= 1,
                            file + " with " + p.label() + ": " + result.goal());
                }
            }
        }
    }

    /** No request exceeds client tries times attempts per try, and the total is far below that bound. */
    @Test
    void attemptsPerRequestAreBounded() throws Exception {
        for (String name : List.of("alumni-hosting", "alumni-overload", "alumni-outage")) {
            Scenario s = example(name);
            int maxAttempts = (1 + s.clients().retries()) * s.rules().maxAttempts();
            for (long seed = 1; seed <= 4; seed++) {
                JSONObject path = ClusterSimulation.run(s, Policy.NETWORKED_QUEUES, seed)
                        .json()
                        .getJSONObject("path");
                for (String c : path.keySet()) {
                    JSONObject counts = path.getJSONObject(c);
                    assertTrue(counts.getLong("requests") > 50 && counts.getLong("attempts") > 50, name + counts);
                    assertTrue(counts.getLong("most_attempts") <= maxAttempts, name + counts);
                    assertTrue(counts.getLong("attempts") <= 1.3 * counts.getLong("requests"), name + counts);
                }
            }
        }
    }

    /** All dispatchers restart at once while a tenant sends five times its traffic. */
    @Test
    void simultaneousDispatcherRestartDuringBurstViolatesNoRule() throws Exception {
        String text = Files.readString(Path.of("examples/lab/alumni-hosting.toml"))
                + "\n[[trouble]]\nkind = \"dispatcher_restart\"\nat_s = 15\nlength_s = 0.001\npart = 1\nsize = 1\n"
                + "\n[[trouble]]\nkind = \"tenant_burst\"\nat_s = 12\nlength_s = 10\nsize = 5\n"
                + "tenant = \"clonfert-old-boys\"\n";
        RunResult result = ClusterSimulation.run(ScenarioReader.parse("surge.toml", text), Policy.NETWORKED_QUEUES, 1);
        assertEquals(List.of(), result.violations());
        assertTrue(result.goal() < 0.95, "the restart lowers the goal: " + result.goal());
    }

    // ---- fault injection: a deliberate violation of each rule is detected by its name ----

    /** Alters the actions of a dispatch logic; subclasses may use the worker lists it has received. */
    private abstract static class FaultyLogic implements DispatchLogic {
        private final DispatchLogic logic;
        final Set<WorkerInfo> receivedWorkers = new HashSet<>();

        FaultyLogic(DispatchLogic logic) {
            this.logic = logic;
        }

        abstract List<BalancerAction> alter(long now, List<BalancerAction> actions);

        List<BalancerAction> alterPick(long now, Request rpc, List<BalancerAction> actions) {
            return alter(now, actions);
        }

        @Override
        public List<BalancerAction> pick(long now, Request rpc) {
            return alterPick(now, rpc, logic.pick(now, rpc));
        }

        @Override
        public List<BalancerAction> report(long now, BalancerEvent event) {
            if (event instanceof BalancerEvent.Resolved r) {
                receivedWorkers.addAll(r.entries());
            }
            return alter(now, logic.report(now, event));
        }

        @Override
        public List<BalancerAction> tick(long now, long token) {
            return alter(now, logic.tick(now, token));
        }
    }

    private static List<Violation> violations(String scenario, UnaryOperator<DispatchLogic> decorator)
            throws Exception {
        return ClusterSimulation.run(example(scenario), Policy.NETWORKED_QUEUES, 1, decorator)
                .violations();
    }

    private static void assertDetected(List<Violation> violations, String rule, String historyContains) {
        Violation violation = violations.stream()
                .filter(x -> x.rule().equals(rule))
                .findFirst()
                .orElseThrow(() -> new AssertionError(rule + " not detected, but " + violations));
        assertTrue(historyContains.isEmpty() || violation.toString().contains(historyContains), violation.toString());
    }

    @Test
    void droppedAnswersAreDetected() throws Exception {
        assertDetected(
                violations("alumni-overload", logic -> new FaultyLogic(logic) {
                    @Override
                    List<BalancerAction> alter(long now, List<BalancerAction> actions) {
                        return actions.stream()
                                .filter(s -> !(s instanceof BalancerAction.Refuse))
                                .toList();
                    }
                }),
                "lost",
                "taken, directory-page");
    }

    @Test
    void repeatedAnswersAreDetected() throws Exception {
        assertDetected(
                violations("alumni-overload", logic -> new FaultyLogic(logic) {
                    @Override
                    List<BalancerAction> alter(long now, List<BalancerAction> actions) {
                        List<BalancerAction> all = new ArrayList<>(actions);
                        actions.stream()
                                .filter(BalancerAction.Refuse.class::isInstance)
                                .forEach(all::add);
                        return all;
                    }
                }),
                "answers",
                "answered: refused");
    }

    @Test
    void duplicateAttemptsOfKeyedRequestsAreDetected() throws Exception {
        assertDetected(
                violations("alumni-hosting", logic -> new FaultyLogic(logic) {
                    @Override
                    List<BalancerAction> alter(long now, List<BalancerAction> actions) {
                        List<BalancerAction> all = new ArrayList<>(actions);
                        actions.stream()
                                .filter(BalancerAction.StartAttempt.class::isInstance)
                                .map(BalancerAction.StartAttempt.class::cast)
                                .forEach(s -> receivedWorkers.stream()
                                        .map(WorkerInfo::address)
                                        .filter(a -> !a.equals(s.subchannel()))
                                        .sorted()
                                        .limit(4)
                                        .forEach(a -> all.add(new BalancerAction.StartAttempt(s.rpc(), a))));
                        return all;
                    }
                }),
                "duplicate",
                "record-gift");
    }

    @Test
    void requestsToADrainingWorkerAreDetected() throws Exception {
        assertDetected(
                violations("alumni-deploy", logic -> new FaultyLogic(logic) {
                    @Override
                    List<BalancerAction> alter(long now, List<BalancerAction> actions) {
                        return actions;
                    }

                    @Override
                    List<BalancerAction> alterPick(long now, Request rpc, List<BalancerAction> actions) {
                        return receivedWorkers.stream()
                                .filter(w -> w.state() == WorkerState.DRAINING)
                                .map(WorkerInfo::address)
                                .sorted()
                                .findFirst()
                                .<List<BalancerAction>>map(a -> List.of(new BalancerAction.StartAttempt(rpc.id(), a)))
                                .orElse(actions);
                    }
                }),
                "drain",
                "sent to 10.0.");
    }

    @Test
    void overloadOfAColdWorkerIsDetected() throws Exception {
        assertDetected(
                violations("alumni-deploy", logic -> new FaultyLogic(logic) {
                    @Override
                    List<BalancerAction> alter(long now, List<BalancerAction> actions) {
                        return actions;
                    }

                    @Override
                    List<BalancerAction> alterPick(long now, Request rpc, List<BalancerAction> actions) {
                        return receivedWorkers.stream()
                                .filter(w -> w.startedAt() > 0
                                        && w.state() == WorkerState.IN_SERVICE
                                        && now - w.startedAt() < 4_000_000)
                                .map(WorkerInfo::address)
                                .sorted()
                                .findFirst()
                                .<List<BalancerAction>>map(a -> List.of(new BalancerAction.StartAttempt(rpc.id(), a)))
                                .orElse(actions);
                    }
                }),
                "cold",
                "falls over");
    }

    // ---- invalid scenarios ----

    /** Forty invalid lines are reported together, each with file, line, key and the expected value. */
    @Test
    void allProblemsOfAScenarioAreReportedTogether() {
        StringBuilder text = new StringBuilder("lenght_s = 20\n[fleet]\nworkers = \"many\"\ndispatchers = 0\n[load]\n"
                + "share = -1\nshape = \"burst\"\n");
        for (int i = 0; i < 35; i++) {
            text.append("[[trouble]]\nkind = \"slow\"\nat_s = ")
                    .append(i % 2 == 0 ? "\"soon\"" : "1e9")
                    .append('\n');
        }
        ScenarioException e =
                assertThrows(ScenarioException.class, () -> ScenarioReader.parse("bad.toml", text.toString()));
        assertEquals(40, e.problems().size(), e.getMessage());
        for (String expected : new String[] {
            "bad.toml:1:1: lenght_s: is no key of a scenario; did you mean length_s?",
            "bad.toml:3:1: fleet.workers: expected a whole number from 1 to 100000 (workers), got the text \"many\"",
            "bad.toml:4:1: fleet.dispatchers: expected a whole number from 1 to 1000 (dispatchers), got 0",
            "bad.toml:7:1: load.shape: expected one of steady, bursty, surge, got \"burst\"; did you mean bursty?",
            "bad.toml:10:1: trouble[0].at_s: expected a number (seconds), got the text \"soon\"",
        }) {
            assertTrue(e.getMessage().contains(expected), expected + "\n" + e.getMessage());
        }
    }

    /** A seed always gives the same faults, within the times and kinds that the scenario names. */
    @Test
    void randomFaultsDependOnlyOnTheSeed() throws Exception {
        Scenario s = example("alumni-cuts-drawn");
        Set<String> drawn = new HashSet<>();
        Set<String> kinds = new HashSet<>();
        for (long seed = 1; seed <= 40; seed++) {
            List<Scenario.Fault> all = s.withRandomFaults(seed).faults();
            assertEquals(all, s.withRandomFaults(seed).faults());
            assertEquals(1 + 4, all.size());
            all.stream().skip(1).forEach(t -> assertTrue(t.at() < s.length() && t.part() < 0.7, t.toString()));
            all.stream().skip(1).forEach(t -> kinds.add(t.kind()));
            drawn.add(all.toString());
        }
        assertEquals(40, drawn.size());
        assertEquals(Set.of("peer_cut", "dispatcher_restart", "list_withheld", "list_disorder"), kinds);
        ScenarioException e = assertThrows(
                ScenarioException.class,
                () -> ScenarioReader.parse("bad.toml", "[draw]\nkinds = [\"peer_cat\"]\nfrom_s = 20\nuntil_s = 10\n"));
        String message = e.getMessage();
        assertTrue(
                message.contains(
                        "bad.toml:2:1: draw.kinds: names no kind of trouble: \"peer_cat\"; did you mean peer_cut?"),
                message);
        assertTrue(message.contains("bad.toml:4:1: draw.until_s: is not after from_s"), message);
    }

    @Test
    void tomlSyntaxErrorsCarryLineAndColumn() {
        ScenarioException e = assertThrows(
                ScenarioException.class, () -> ScenarioReader.parse("bad.toml", "name = \"x\"\nlength_s = = 3\n"));
        assertTrue(e.getMessage().startsWith("bad.toml:2:"), e.getMessage());
    }

    /** For 4 pairs the half width is 3.182 standard errors, by Student's t with 3 degrees of freedom. */
    @Test
    void pairedDifferencesGiveMeanIntervalAndVerdict() {
        PairedDifference d = PairedDifference.of(0.1, 0.2, 0.1, 0.2);
        assertEquals(0.15, d.mean(), 1e-12);
        assertEquals(3.18245 * 0.0577350 / 2, d.halfWidth(), 1e-5);
        assertEquals("better", d.verdict());
        assertEquals("worse", PairedDifference.of(-0.1, -0.2, -0.1, -0.2).verdict());
        assertEquals("cannot tell", PairedDifference.of(0.1, -0.1).verdict());
        assertEquals("cannot tell", PairedDifference.of(0.5).verdict());
    }
}
