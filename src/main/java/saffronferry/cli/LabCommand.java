package saffronferry.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.json.JSONArray;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import saffronferry.lab.Lab;
import saffronferry.lab.PairedDifference;
import saffronferry.lab.Sweep;
import saffronferry.lab.check.RuleChecker;
import saffronferry.lab.explore.EscrowModel;
import saffronferry.lab.explore.Explorer;
import saffronferry.lab.explore.Model;
import saffronferry.lab.explore.SharesModel;
import saffronferry.lab.policy.Policy;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.scenario.ScenarioException;
import saffronferry.lab.scenario.ScenarioReader;
import saffronferry.lab.world.ClusterSimulation.RunResult;

/** The command {@code lab}: simulates scenarios in virtual time. */
@Command(name = "lab", description = "Simulates scenarios in virtual time and compares policies.")
final class LabCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    @Command(name = "run", description = "Simulates a scenario, once for each seed.")
    int play(
            @Parameters(paramLabel = "SCENARIO.toml") Path file,
            @Option(names = "--seeds", defaultValue = "1-4", description = "as 1-8 or 1,5,9 (${DEFAULT-VALUE})")
                    String seeds,
            @Option(names = "--policy", defaultValue = "networked-queues", description = "${DEFAULT-VALUE} by default")
                    String policy,
            @Option(names = "--set", paramLabel = "KEY=VALUE", description = SET_DESCRIPTION) List<String> set,
            @Option(names = "--out", paramLabel = "DIR", description = "directory to write result.json to") Path dir,
            @Option(names = "--threads", description = "simulations to run in parallel; the number of cores by default")
                    Integer threads)
            throws Exception {
        Scenario scenario = readScenario(file, set);
        Policy chosen = Policy.of(policy);
        List<RunResult> runs = Lab.run(scenario, chosen, parseSeeds(seeds), threadCount(threads));
        printTable(Map.of(chosen.label(), runs));
        writeResult(dir, Lab.json(scenario, chosen, runs).toString(1));
        return reportViolations(runs);
    }

    @Command(
            name = "compare",
            description = "Simulates the same scenario with several policies and compares them pair by pair.")
    int compare(
            @Parameters(paramLabel = "SCENARIO.toml") Path file,
            @Option(names = "--policy", description = "may be repeated; all policies by default") List<String> policies,
            @Option(names = "--seeds", defaultValue = "1-8", description = "as 1-8 or 1,5,9 (${DEFAULT-VALUE})")
                    String seeds,
            @Option(names = "--set", paramLabel = "KEY=VALUE", description = SET_DESCRIPTION) List<String> set,
            @Option(names = "--threads", description = "simulations to run in parallel; the number of cores by default")
                    Integer threads)
            throws Exception {
        Scenario scenario = readScenario(file, set);
        Map<Policy, List<RunResult>> all = new LinkedHashMap<>();
        for (String label : policies == null ? Policy.labels() : policies) {
            Policy policyUnderTest = Policy.of(label);
            all.put(policyUnderTest, Lab.run(scenario, policyUnderTest, parseSeeds(seeds), threadCount(threads)));
        }
        Map<String, List<RunResult>> byLabel = new LinkedHashMap<>();
        all.forEach((policyUnderTest, runs) -> byLabel.put(policyUnderTest.label(), runs));
        printTable(byLabel);
        List<Policy> compared = List.copyOf(all.keySet());
        out().println();
        for (Policy other : compared.subList(1, compared.size())) {
            out().println(compared.get(0).label() + " against " + other.label() + ": "
                    + PairedDifference.of(all.get(compared.get(0)), all.get(other)));
        }
        return reportViolations(all.values().stream().flatMap(List::stream).toList());
    }

    @Command(
            name = "sweep",
            description = "Simulates the same scenario with several values of a key, or of "
                    + "several keys that change together.")
    int sweep(
            @Parameters(paramLabel = "SCENARIO.toml") Path file,
            @Option(
                            names = "--set",
                            required = true,
                            paramLabel = "KEY=V1,V2,...",
                            description = "a key as lab explain prints it, and its values; if repeated, the first "
                                    + "values of all keys are combined, then the second ones, and so on")
                    List<String> set,
            @Option(names = "--policy", defaultValue = "networked-queues", description = "${DEFAULT-VALUE} by default")
                    String policy,
            @Option(names = "--seeds", defaultValue = "1-4", description = "as 1-8 or 1,5,9 (${DEFAULT-VALUE})")
                    String seeds,
            @Option(names = "--threads", description = "simulations to run in parallel; the number of cores by default")
                    Integer threads,
            @Option(
                            names = "--out",
                            paramLabel = "RESULT.json",
                            description = "result file for scale-fit: sizes and figures of each simulation")
                    Path result)
            throws Exception {
        Policy chosen = Policy.of(policy);
        Map<String, List<RunResult>> all = new LinkedHashMap<>();
        JSONArray runEntries = new JSONArray();
        List<List<String>> combinations = Sweep.parseSteps(set);
        if (result != null) {
            // Warm up the JIT compiler: otherwise the decisions of the first size would be timed before compilation.
            Lab.run(
                    readScenario(file, combinations.get(0)),
                    chosen,
                    parseSeeds(seeds).subList(0, 1),
                    1);
        }
        for (List<String> values : combinations) {
            Scenario scenario = readScenario(file, values);
            List<RunResult> runs = Lab.run(scenario, chosen, parseSeeds(seeds), threadCount(threads));
            all.put(String.join(" ", values), runs);
            runs.forEach(run -> runEntries.put(Sweep.runEntry(scenario, run)));
        }
        printTable(all);
        if (result != null) {
            Files.writeString(
                    result,
                    Sweep.json(readScenario(file, List.of()).name(), runEntries).toString(1) + "\n");
            out().println("wrote " + result);
        }
        return reportViolations(all.values().stream().flatMap(List::stream).toList());
    }

    @Command(
            name = "explore",
            description = "Explores every order of faults up to a depth for the shares of three dispatchers, as built "
                    + "and with deliberate errors; exits with 3 if a bound is violated as built, or holds in spite of "
                    + "an error.")
    int explore(
            @Option(names = "--depth", defaultValue = "8", description = "steps (${DEFAULT-VALUE})") int depth,
            @Option(
                            names = "--faults",
                            defaultValue = "2",
                            description = "at most, in one execution (${DEFAULT-VALUE})")
                    int faults,
            @Option(names = "--states", defaultValue = "3000000", description = "at most (${DEFAULT-VALUE})")
                    int states) {
        boolean allAsExpected = true;
        for (SharesModel.Variant variant : SharesModel.Variant.values()) {
            allAsExpected &= exploreModel(
                    new SharesModel(variant, faults), depth, states, variant == SharesModel.Variant.AS_BUILT);
        }
        for (EscrowModel.Variant variant : EscrowModel.Variant.values()) {
            allAsExpected &=
                    exploreModel(new EscrowModel(variant), depth, states, variant == EscrowModel.Variant.AS_BUILT);
        }
        return allAsExpected ? 0 : Main.EXIT_CHECK_FAILED;
    }

    private <S> boolean exploreModel(Model<S> model, int depth, int states, boolean asBuilt) {
        long startNs = System.nanoTime();
        Explorer.Result result = Explorer.explore(model, depth, states);
        out().printf(
                        Locale.ROOT,
                        "%s: %d states, depth %d%s, %.1f s: %s%n",
                        model,
                        result.states(),
                        result.depth(),
                        result.complete() ? "" : " not whole",
                        (System.nanoTime() - startNs) / 1e9,
                        result.violation() == null ? "held" : result.violation());
        result.trace().forEach(step -> out().println("  " + step));
        out().flush();
        return asBuilt == (result.violation() == null);
    }

    @Command(name = "explain", description = "Prints every value of a scenario with its unit, defaults included.")
    int explain(@Parameters(paramLabel = "SCENARIO.toml") Path file) throws IOException {
        try {
            ScenarioReader.explain(file).forEach(out()::println);
            return 0;
        } catch (ScenarioException e) {
            throw new IllegalArgumentException(e.getMessage());
        }
    }

    private static final String SET_DESCRIPTION = "a key as lab explain prints it, with another value";

    /** Reads a scenario, with the given values replaced. */
    static Scenario readScenario(Path file, List<String> set) throws IOException {
        try {
            return ScenarioReader.read(file, set == null ? List.of() : set);
        } catch (ScenarioException e) {
            throw new IllegalArgumentException("invalid scenario:\n" + e.getMessage());
        }
    }

    /** Parses a list of seeds and ranges of seeds. */
    static List<Long> parseSeeds(String text) {
        List<Long> result = new ArrayList<>();
        try {
            for (String part : text.split(",")) {
                String[] ends = part.trim().split("-", 2);
                long last = Long.parseLong(ends[ends.length - 1]);
                for (long seed = Long.parseLong(ends[0]); seed <= last; seed++) {
                    result.add(seed);
                }
            }
        } catch (NumberFormatException e) {
            result.clear();
        }
        if (result.isEmpty()) {
            throw new IllegalArgumentException("--seeds: expected as 1-8 or 1,5,9, got " + text);
        }
        return result;
    }

    private static int threadCount(Integer given) {
        return given == null ? Runtime.getRuntime().availableProcessors() : Math.max(1, given);
    }

    private void printTable(Map<String, List<RunResult>> all) {
        out().printf(
                        Locale.ROOT,
                        "%-24s %5s %6s %6s %6s %6s %9s %8s %8s %9s %10s %6s %6s %7s%n",
                        "",
                        "days",
                        "goal",
                        "whole",
                        "10 s",
                        "tenant",
                        "p99 s",
                        "tries",
                        "messages",
                        "us/RPC",
                        "events/s",
                        "cold x",
                        "used",
                        "broken");
        all.forEach((label, runs) -> out().printf(
                        Locale.ROOT,
                        "%-24s %5d %6.3f %6.3f %6.3f %6.3f %9.3f %8.2f %8.2f %9.1f %10.0f %6.2f %6.2f %7d%n",
                        label,
                        runs.size(),
                        mean(runs, "goal"),
                        mean(runs, "worth_served"),
                        mean(runs, "worst_10_s"),
                        mean(runs, "worst_tenant"),
                        runs.stream()
                                .mapToDouble(run ->
                                        run.json().getJSONObject("latency_s").getDouble("p99"))
                                .average()
                                .orElse(0),
                        sum(runs, "attempts") / sum(runs, "requests"),
                        (sum(runs, "datagrams") + sum(runs, "probes")) / sum(runs, "requests"),
                        runs.stream()
                                .mapToDouble(RunResult::decisionUsPerRequest)
                                .average()
                                .orElse(0),
                        runs.stream()
                                .mapToDouble(run -> run.events() / run.wallSeconds())
                                .average()
                                .orElse(0),
                        runs.stream()
                                .mapToDouble(run -> run.json().getDouble("cold_multiple"))
                                .max()
                                .orElse(0),
                        mean(runs, "cold_used"),
                        runs.stream().mapToInt(RunResult::violationCount).sum()));
    }

    private static double mean(List<RunResult> runs, String key) {
        return runs.stream()
                .mapToDouble(run -> run.json().getDouble(key))
                .average()
                .orElse(0);
    }

    private static double sum(List<RunResult> runs, String key) {
        return runs.stream().mapToDouble(run -> run.json().getDouble(key)).sum();
    }

    private void writeResult(Path dir, String json) throws IOException {
        if (dir != null) {
            Files.createDirectories(dir);
            Path file = Files.writeString(dir.resolve("result.json"), json + "\n");
            out().println("wrote " + file);
        }
    }

    /** Prints the first violated rules, and returns the exit code. */
    private int reportViolations(List<RunResult> runs) {
        List<RuleChecker.Violation> all =
                runs.stream().flatMap(run -> run.violations().stream()).toList();
        all.stream().limit(3).forEach(violation -> spec.commandLine().getErr().println(violation));
        return all.isEmpty() ? 0 : Main.EXIT_CHECK_FAILED;
    }
}
