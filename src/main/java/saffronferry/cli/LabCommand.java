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

/** The laboratory: emulated days in virtual time. */
@Command(name = "lab", description = "Plays emulated days in virtual time and compares policies.")
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

    @Command(name = "run", description = "Plays a scenario's days, one for each seed.")
    int play(
            @Parameters(paramLabel = "SCENARIO.toml") Path file,
            @Option(names = "--seeds", defaultValue = "1-4", description = "as 1-8 or 1,5,9 (${DEFAULT-VALUE})")
                    String seeds,
            @Option(names = "--policy", defaultValue = "networked-queues", description = "${DEFAULT-VALUE} by default")
                    String policy,
            @Option(names = "--set", paramLabel = "KEY=VALUE", description = SET) List<String> set,
            @Option(names = "--out", paramLabel = "DIR", description = "where result.json goes") Path dir,
            @Option(names = "--threads", description = "days at once; as many as there are cores by default")
                    Integer threads)
            throws Exception {
        Scenario scenario = read(file, set);
        Policy chosen = Policy.of(policy);
        List<RunResult> days = Lab.run(scenario, chosen, seeds(seeds), threads(threads));
        table(Map.of(chosen.label(), days));
        save(dir, Lab.json(scenario, chosen, days).toString(1));
        return broken(days);
    }

    @Command(
            name = "compare",
            description = "Plays the same days with several policies and compares them pair by pair.")
    int compare(
            @Parameters(paramLabel = "SCENARIO.toml") Path file,
            @Option(names = "--policy", description = "give it once for each; all by default") List<String> policies,
            @Option(names = "--seeds", defaultValue = "1-8", description = "as 1-8 or 1,5,9 (${DEFAULT-VALUE})")
                    String seeds,
            @Option(names = "--set", paramLabel = "KEY=VALUE", description = SET) List<String> set,
            @Option(names = "--threads", description = "days at once; as many as there are cores by default")
                    Integer threads)
            throws Exception {
        Scenario scenario = read(file, set);
        Map<Policy, List<RunResult>> all = new LinkedHashMap<>();
        for (String label : policies == null ? Policy.labels() : policies) {
            Policy p = Policy.of(label);
            all.put(p, Lab.run(scenario, p, seeds(seeds), threads(threads)));
        }
        Map<String, List<RunResult>> byLabel = new LinkedHashMap<>();
        all.forEach((p, days) -> byLabel.put(p.label(), days));
        table(byLabel);
        List<Policy> order = List.copyOf(all.keySet());
        out().println();
        for (Policy other : order.subList(1, order.size())) {
            out().println(order.get(0).label() + " against " + other.label() + ": "
                    + PairedDifference.of(all.get(order.get(0)), all.get(other)));
        }
        return broken(all.values().stream().flatMap(List::stream).toList());
    }

    @Command(
            name = "sweep",
            description =
                    "Plays the same days with several values of one key, or of " + "several keys that change together.")
    int sweep(
            @Parameters(paramLabel = "SCENARIO.toml") Path file,
            @Option(
                            names = "--set",
                            required = true,
                            paramLabel = "KEY=V1,V2,...",
                            description = "a key as lab explain prints it, and its values; given again, the first "
                                    + "value of each key goes with the first of the others")
                    List<String> set,
            @Option(names = "--policy", defaultValue = "networked-queues", description = "${DEFAULT-VALUE} by default")
                    String policy,
            @Option(names = "--seeds", defaultValue = "1-4", description = "as 1-8 or 1,5,9 (${DEFAULT-VALUE})")
                    String seeds,
            @Option(names = "--threads", description = "days at once; as many as there are cores by default")
                    Integer threads,
            @Option(
                            names = "--out",
                            paramLabel = "RESULT.json",
                            description = "where each play's sizes and figures go, for scale-fit")
                    Path result)
            throws Exception {
        Policy chosen = Policy.of(policy);
        Map<String, List<RunResult>> all = new LinkedHashMap<>();
        JSONArray plays = new JSONArray();
        List<List<String>> steps = Sweep.parseSteps(set);
        if (result != null) {
            // guards against the first size's decisions being timed before they are compiled
            Lab.run(read(file, steps.get(0)), chosen, seeds(seeds).subList(0, 1), 1);
        }
        for (List<String> values : steps) {
            Scenario scenario = read(file, values);
            List<RunResult> days = Lab.run(scenario, chosen, seeds(seeds), threads(threads));
            all.put(String.join(" ", values), days);
            days.forEach(day -> plays.put(Sweep.runEntry(scenario, day)));
        }
        table(all);
        if (result != null) {
            Files.writeString(
                    result, Sweep.json(read(file, List.of()).name(), plays).toString(1) + "\n");
            out().println("wrote " + result);
        }
        return broken(all.values().stream().flatMap(List::stream).toList());
    }

    @Command(
            name = "explore",
            description = "Drives three dispatchers' shares through every order of "
                    + "faults to a depth, as built and in wrong ways; 3 where a bound broke as built, or held in "
                    + "a wrong way.")
    int explore(
            @Option(names = "--depth", defaultValue = "8", description = "steps (${DEFAULT-VALUE})") int depth,
            @Option(names = "--faults", defaultValue = "2", description = "in one story (${DEFAULT-VALUE})") int faults,
            @Option(names = "--states", defaultValue = "3000000", description = "at most (${DEFAULT-VALUE})")
                    int states) {
        boolean right = true;
        for (SharesModel.Variant v : SharesModel.Variant.values()) {
            right &= explored(new SharesModel(v, faults), depth, states, v == SharesModel.Variant.AS_BUILT);
        }
        for (EscrowModel.Variant v : EscrowModel.Variant.values()) {
            right &= explored(new EscrowModel(v), depth, states, v == EscrowModel.Variant.AS_BUILT);
        }
        return right ? 0 : Main.BROKEN;
    }

    private <S> boolean explored(Model<S> model, int depth, int states, boolean asBuilt) {
        long begun = System.nanoTime();
        Explorer.Result seen = Explorer.explore(model, depth, states);
        out().printf(
                        Locale.ROOT,
                        "%s: %d states, depth %d%s, %.1f s: %s%n",
                        model,
                        seen.states(),
                        seen.depth(),
                        seen.complete() ? "" : " not whole",
                        (System.nanoTime() - begun) / 1e9,
                        seen.violation() == null ? "held" : seen.violation());
        seen.trace().forEach(step -> out().println("  " + step));
        out().flush();
        return asBuilt == (seen.violation() == null);
    }

    @Command(name = "explain", description = "Prints every value of a scenario with its unit, defaults too.")
    int explain(@Parameters(paramLabel = "SCENARIO.toml") Path file) throws IOException {
        try {
            ScenarioReader.explain(file).forEach(out()::println);
            return 0;
        } catch (ScenarioException e) {
            throw new IllegalArgumentException(e.getMessage());
        }
    }

    private static final String SET = "a key as lab explain prints it, with another value";

    /** Reads a scenario, some values of it replaced. */
    static Scenario read(Path file, List<String> set) throws IOException {
        try {
            return ScenarioReader.read(file, set == null ? List.of() : set);
        } catch (ScenarioException e) {
            throw new IllegalArgumentException("this scenario cannot be played:\n" + e.getMessage());
        }
    }

    static List<Long> seeds(String text) {
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

    private static int threads(Integer given) {
        return given == null ? Runtime.getRuntime().availableProcessors() : Math.max(1, given);
    }

    private void table(Map<String, List<RunResult>> all) {
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
        all.forEach((label, days) -> out().printf(
                        Locale.ROOT,
                        "%-24s %5d %6.3f %6.3f %6.3f %6.3f %9.3f %8.2f %8.2f %9.1f %10.0f %6.2f %6.2f %7d%n",
                        label,
                        days.size(),
                        mean(days, "goal"),
                        mean(days, "worth_served"),
                        mean(days, "worst_10_s"),
                        mean(days, "worst_tenant"),
                        days.stream()
                                .mapToDouble(
                                        d -> d.json().getJSONObject("latency_s").getDouble("p99"))
                                .average()
                                .orElse(0),
                        sum(days, "attempts") / sum(days, "requests"),
                        (sum(days, "datagrams") + sum(days, "probes")) / sum(days, "requests"),
                        days.stream().mapToDouble(RunResult::decisionUsPerRequest).average().orElse(0),
                        days.stream()
                                .mapToDouble(d -> d.events() / d.wallSeconds())
                                .average()
                                .orElse(0),
                        days.stream()
                                .mapToDouble(d -> d.json().getDouble("cold_multiple"))
                                .max()
                                .orElse(0),
                        mean(days, "cold_used"),
                        days.stream().mapToInt(RunResult::violationCount).sum()));
    }

    private static double mean(List<RunResult> days, String key) {
        return days.stream().mapToDouble(d -> d.json().getDouble(key)).average().orElse(0);
    }

    private static double sum(List<RunResult> days, String key) {
        return days.stream().mapToDouble(d -> d.json().getDouble(key)).sum();
    }

    private void save(Path dir, String json) throws IOException {
        if (dir != null) {
            Files.createDirectories(dir);
            Path file = Files.writeString(dir.resolve("result.json"), json + "\n");
            out().println("wrote " + file);
        }
    }

    private int broken(List<RunResult> days) {
        List<RuleChecker.Violation> all =
                days.stream().flatMap(d -> d.violations().stream()).toList();
        all.stream().limit(3).forEach(b -> spec.commandLine().getErr().println(b));
        return all.isEmpty() ? 0 : Main.BROKEN;
    }
}
