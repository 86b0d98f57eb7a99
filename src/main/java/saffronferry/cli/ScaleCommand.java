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
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.function.LongConsumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import saffronferry.lab.scenario.Scenario;
import saffronferry.scale.ScaleSimulation;
import saffronferry.scale.ScaleSimulation.Run;

/** The command {@code scale}: measures what each dispatcher of a large simulated fleet costs. */
@Command(
        name = "scale",
        description = "Runs a scenario with hollow dispatchers (without sockets) in virtual time and "
                + "measures what each costs; exits with 3 if a limit of [limits] or a rule was violated.")
final class ScaleCommand implements Callable<Integer> {
    /** Keys that have their own columns in the table. */
    private static final Set<String> KEYS_IN_ROW = Set.of("fleet.dispatchers", "fleet.workers");

    /** Terminal control sequence that clears the current line. */
    private static final String CLEAR_LINE = "\r\033[K";

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "SCENARIO.toml")
    private Path file;

    @Option(
            names = "--set",
            paramLabel = "KEY=V1,V2,...",
            description = "a key as lab explain prints it, "
                    + "and its values; if repeated, every combination of values is run")
    private List<String> set;

    @Option(names = "--seed", defaultValue = "1", description = "${DEFAULT-VALUE} by default")
    private long seed;

    @Option(names = "--out", paramLabel = "FILE", description = "file to write the JSON result to")
    private Path out;

    @Override
    public Integer call() throws IOException {
        List<Map<String, String>> combinations = combinations(set == null ? List.of() : set);
        List<Scenario> scenarios = new ArrayList<>();
        // Read all scenarios before running the first: an error must not show up only after a long run.
        for (Map<String, String> each : combinations) {
            scenarios.add(LabCommand.readScenario(
                    file,
                    each.entrySet().stream()
                            .map(e -> e.getKey() + "=" + e.getValue())
                            .toList()));
        }
        printHeader();
        List<Run> runs = new ArrayList<>();
        for (int i = 0; i < scenarios.size(); i++) {
            Map<String, String> settings = new LinkedHashMap<>(combinations.get(i));
            settings.keySet().removeAll(KEYS_IN_ROW);
            String runLabel = "play " + (i + 1) + " of " + scenarios.size();
            runs.add(
                    ScaleSimulation.run(scenarios.get(i), settings, seed, progressPrinter(runLabel, scenarios.get(i))));
            printRow(runs.get(i));
            // Write the file after each run, so that an interrupted sweep keeps its results.
            if (out != null) {
                Files.writeString(
                        out, ScaleSimulation.json(file.toString(), seed, runs).toString(1) + "\n");
            }
        }
        runs.forEach(run -> run.violations()
                .forEach(line -> spec.commandLine()
                        .getErr()
                        .println(run.scenario().dispatchers() + " dispatchers, "
                                + run.scenario().workers() + " workers: " + line)));
        return runs.stream().allMatch(run -> run.violations().isEmpty()) ? 0 : Main.EXIT_CHECK_FAILED;
    }

    /** Every combination of the keys' values, with the last key's changing fastest. */
    static List<Map<String, String>> combinations(List<String> set) {
        List<Map<String, String>> all = new ArrayList<>(List.of(Map.of()));
        for (String each : set) {
            int equals = each.indexOf('=');
            if (equals <= 0) {
                throw new IllegalArgumentException("--set: expected KEY=V1,V2,..., got " + each);
            }
            List<Map<String, String>> next = new ArrayList<>();
            for (Map<String, String> before : all) {
                for (String value : each.substring(equals + 1).split(",")) {
                    Map<String, String> one = new LinkedHashMap<>(before);
                    one.put(each.substring(0, equals).trim(), value.trim());
                    next.add(one);
                }
            }
            all = next;
        }
        return all;
    }

    /** Returns a printer of a progress line that is overwritten; it prints nothing if there is no terminal. */
    private LongConsumer progressPrinter(String runLabel, Scenario scenario) {
        if (System.console() == null) {
            return second -> {};
        }
        PrintWriter err = spec.commandLine().getErr();
        long[] last = {Long.MIN_VALUE};
        return second -> {
            if (second != last[0]) {
                last[0] = second;
                long day = scenario.length() / 1_000_000;
                err.printf(
                        Locale.ROOT,
                        CLEAR_LINE + "%s: %d dispatchers, %d workers, %d s of %d s%s",
                        runLabel,
                        scenario.dispatchers(),
                        scenario.workers(),
                        Math.min(second, day),
                        day,
                        second > day ? ", its last requests" : "");
                err.flush();
            }
        };
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private void printHeader() {
        out().printf(
                        Locale.ROOT,
                        "%11s %7s %5s %6s %6s %6s %8s %8s %8s %9s %9s %6s %8s %8s %8s %6s %7s%n",
                        "dispatchers",
                        "workers",
                        "zones",
                        "goal",
                        "used",
                        "cold x",
                        "pick us",
                        "tick us",
                        "dgram us",
                        "us/RPC",
                        "messages",
                        "core %",
                        "bytes/s",
                        "worst s",
                        "start kB",
                        "MB",
                        "broken");
        out().flush();
    }

    private void printRow(Run run) {
        Map<String, Double> figures = run.figures();
        if (System.console() != null) {
            spec.commandLine().getErr().print(CLEAR_LINE);
            spec.commandLine().getErr().flush();
        }
        out().printf(
                        Locale.ROOT,
                        "%11d %7d %5d %6.3f %6.3f %6.2f %8.2f %8.1f %8.2f %9.1f %9.2f %6.2f %8.0f %8.0f %8.0f %6.2f"
                                + " %7d%n",
                        run.scenario().dispatchers(),
                        run.scenario().workers(),
                        run.scenario().zones().size(),
                        figures.get("goal_share"),
                        figures.get("cold_used_share"),
                        figures.get("cold_multiple"),
                        figures.get("pick_us"),
                        figures.get("tick_us"),
                        figures.get("datagram_us"),
                        figures.get("decision_us_per_request"),
                        figures.get("messages_per_request"),
                        figures.get("decision_core_percent"),
                        figures.get("control_bytes_per_s"),
                        figures.get("control_bytes_worst_per_s"),
                        figures.get("start_control_bytes") / 1e3,
                        figures.get("heap_mb_per_dispatcher"),
                        run.violations().size());
        out().flush();
    }
}
