package saffronferry.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.json.JSONArray;
import org.json.JSONObject;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import saffronferry.lab.scenario.Scenario;
import saffronferry.rig.FaultRig;
import saffronferry.rig.FleetResourceUsage;
import saffronferry.rig.IdleDispatcher;

/** The command {@code rig}: runs real dispatcher processes and injects faults. */
@Command(name = "rig", description = "Runs scenarios with several real dispatchers and faults between them.")
final class RigCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    @Command(
            name = "fleet",
            description = "Runs a scenario on loopback, in real time, once for each seed; "
                    + "exits with 3 if a rule or a bound was violated.")
    int fleet(
            @Parameters(paramLabel = "SCENARIO.toml") Path file,
            @Option(names = "--seeds", defaultValue = "1", description = "as 1-8 or 1,5,9 (${DEFAULT-VALUE})")
                    String seeds,
            @Option(
                            names = "--set",
                            paramLabel = "KEY=VALUE",
                            description = "a key as lab explain prints it, with another value")
                    List<String> set,
            @Option(names = "--out", paramLabel = "FILE", description = "file to write the JSON result to") Path out,
            @Option(names = "--logs", paramLabel = "DIR", description = "directory for the dispatchers' logs")
                    Path logs)
            throws IOException, InterruptedException {
        Scenario scenario = LabCommand.readScenario(file, set);
        List<JSONObject> all = new ArrayList<>();
        printHeader();
        for (long seed : LabCommand.parseSeeds(seeds)) {
            JSONObject result = FaultRig.run(scenario, seed, logs == null ? null : logs.resolve("seed-" + seed));
            all.add(result);
            printRow(result);
        }
        if (out != null) {
            Files.writeString(out, new JSONArray(all).toString(1) + "\n");
        }
        all.forEach(this::printViolations);
        return all.stream().allMatch(result -> result.getBoolean("held")) ? 0 : Main.EXIT_CHECK_FAILED;
    }

    @Command(
            name = "idle",
            description = "Measures one dispatcher without requests, with worker lists of "
                    + "several lengths, for the scenario's length each; exits with 3 if a given limit was exceeded.")
    int idle(
            @Parameters(paramLabel = "SCENARIO.toml") Path file,
            @Option(
                            names = "--workers",
                            split = ",",
                            paramLabel = "N",
                            description = "lengths of the worker list; the scenario's by default")
                    List<Integer> workers,
            @Option(
                            names = "--changes",
                            defaultValue = "0.67",
                            description = "changes of the worker list per second (${DEFAULT-VALUE})")
                    double changes,
            @Option(
                            names = "--settle",
                            defaultValue = "20",
                            description = "seconds before the measurement starts (${DEFAULT-VALUE})")
                    double settle,
            @Option(names = "--seed", defaultValue = "1", description = "(${DEFAULT-VALUE})") long seed,
            @Option(
                            names = "--deploy",
                            defaultValue = "deploy/balancer.toml",
                            paramLabel = "FILE",
                            description = "file whose key run starts the dispatcher (${DEFAULT-VALUE})")
                    Path deploy,
            @Option(names = "--most-core-percent", description = "a limit") Double mostCore,
            @Option(names = "--most-resident-mb", description = "a limit") Double mostResident,
            @Option(
                            names = "--set",
                            paramLabel = "KEY=VALUE",
                            description = "a key as lab explain prints it, with another value")
                    List<String> set,
            @Option(names = "--out", paramLabel = "FILE", description = "file to write the JSON result to") Path out)
            throws IOException, InterruptedException {
        IdleDispatcher.Options options = new IdleDispatcher.Options(readStartCommand(deploy), changes, settle);
        Scenario scenario = LabCommand.readScenario(file, set);
        JSONArray runEntries = new JSONArray();
        boolean held = true;
        out().printf(
                        Locale.ROOT,
                        "%8s %6s %8s %9s %9s %9s %9s %11s%n",
                        "workers",
                        "zones",
                        "% core",
                        "MB",
                        "peak MB",
                        "wake-ups",
                        "bytes/s",
                        "list bytes");
        for (int workerCount : workers == null ? List.of(scenario.workers()) : workers) {
            List<String> values = new ArrayList<>(set == null ? List.of() : set);
            values.add("fleet.workers=" + workerCount);
            JSONObject runEntry = IdleDispatcher.run(LabCommand.readScenario(file, values), seed, options);
            runEntries.put(runEntry);
            JSONObject figures = runEntry.getJSONObject("figures");
            out().printf(
                            Locale.ROOT,
                            "%8d %6d %8.2f %9.1f %9.1f %9.1f %9.1f %11d%n",
                            workerCount,
                            runEntry.getInt("zones"),
                            figures.getDouble("core_percent"),
                            figures.getDouble("resident_mb"),
                            figures.getDouble("resident_peak_mb"),
                            figures.getDouble("wake_ups_per_s"),
                            figures.getDouble("list_bytes_in_per_s"),
                            figures.getLong("list_whole_bytes"));
            out().flush();
            held &= checkLimit(workerCount, figures, "core_percent", mostCore)
                    & checkLimit(workerCount, figures, "resident_mb", mostResident);
        }
        if (out != null) {
            Files.writeString(
                    out,
                    new JSONObject()
                                    .put("scenario", scenario.name())
                                    .put("seed", seed)
                                    .put("plays", runEntries)
                                    .toString(1)
                            + "\n");
        }
        return held ? 0 : Main.EXIT_CHECK_FAILED;
    }

    @Command(
            name = "processes",
            description = "Runs a scenario with dispatchers started as a deployment does, and measures each; "
                    + "exits with 3 if a rule, a bound or a given limit was violated.")
    int processes(
            @Parameters(paramLabel = "SCENARIO.toml") Path file,
            @Option(
                            names = "--settle",
                            defaultValue = "20",
                            description = "seconds of the scenario before the measurement starts (${DEFAULT-VALUE})")
                    double settle,
            @Option(names = "--seed", defaultValue = "1", description = "(${DEFAULT-VALUE})") long seed,
            @Option(
                            names = "--deploy",
                            defaultValue = "deploy/balancer.toml",
                            paramLabel = "FILE",
                            description = "file whose key run starts the dispatchers (${DEFAULT-VALUE})")
                    Path deploy,
            @Option(names = "--most-core-percent", description = "a limit for each") Double mostCore,
            @Option(names = "--most-resident-mb", description = "a limit for each") Double mostResident,
            @Option(
                            names = "--set",
                            paramLabel = "KEY=VALUE",
                            description = "a key as lab explain prints it, with another value")
                    List<String> set,
            @Option(names = "--out", paramLabel = "FILE", description = "file to write the JSON result to") Path out,
            @Option(names = "--logs", paramLabel = "DIR", description = "directory for the dispatchers' logs")
                    Path logs)
            throws IOException, InterruptedException {
        Scenario scenario = LabCommand.readScenario(file, set);
        if (settle * 1e6 >= scenario.length()) {
            throw new IllegalArgumentException(
                    "--settle: is not before the end of the day, " + scenario.length() / 1e6 + " s: " + settle);
        }
        JSONObject result =
                FaultRig.run(scenario, seed, logs, new FaultRig.UsageOptions(readStartCommand(deploy), settle));
        JSONObject figures = FleetResourceUsage.summary(result.getJSONArray("processes"));
        for (String name : List.of("requests", "served", "refused", "failed", "datagrams", "rules_broken")) {
            figures.put(name, result.getInt(name));
        }
        if (out != null) {
            JSONObject runEntry = new JSONObject()
                    .put("dispatchers", scenario.dispatchers())
                    .put("workers", scenario.workers())
                    .put("zones", scenario.zones().size())
                    .put("settled_s", settle)
                    .put("seconds", scenario.length() / 1e6 - settle)
                    .put("figures", figures)
                    .put("processes", result.getJSONArray("processes"));
            Files.writeString(
                    out,
                    new JSONObject()
                                    .put("scenario", scenario.name())
                                    .put("seed", seed)
                                    .put("plays", new JSONArray().put(runEntry))
                                    .toString(1)
                            + "\n");
        }
        figures.keySet().stream()
                .sorted()
                .forEach(name -> out().printf(Locale.ROOT, "%-40s %12.3f%n", name, figures.getDouble(name)));
        printViolations(result);
        return result.getBoolean("held")
                        & checkLimit(scenario.workers(), figures, "core_percent_most", mostCore)
                        & checkLimit(scenario.workers(), figures, "resident_mb_most", mostResident)
                ? 0
                : Main.EXIT_CHECK_FAILED;
    }

    /** Returns whether a figure is within its limit, if there is one; prints it otherwise. */
    private boolean checkLimit(int workers, JSONObject figures, String figure, Double limit) {
        boolean held = limit == null || figures.getDouble(figure) <= limit;
        if (!held) {
            spec.commandLine()
                    .getErr()
                    .println(workers + " workers: " + figure + " " + figures.getDouble(figure) + ", limit " + limit);
        }
        return held;
    }

    /** Reads the command line that starts a dispatcher from a deployment file. */
    private static String readStartCommand(Path deploy) throws IOException {
        TomlParseResult toml = Toml.parse(Files.readString(deploy));
        if (toml.hasErrors()) {
            throw new IllegalArgumentException(
                    deploy + ":" + toml.errors().get(0).position().line() + ": "
                            + toml.errors().get(0).getMessage());
        }
        if (!toml.isString("run")) {
            throw new IllegalArgumentException(deploy + ": run: expected the command line that starts a dispatcher");
        }
        return toml.getString("run");
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private void printHeader() {
        out().printf(
                        Locale.ROOT,
                        "%5s %8s %7s %7s %7s %6s %5s %6s %8s %6s %8s %9s %7s%n",
                        "seed",
                        "requests",
                        "served",
                        "in time",
                        "refused",
                        "failed",
                        "lost",
                        "worth",
                        "tries",
                        "cold x",
                        "used",
                        "datagrams",
                        "broken");
        out().flush();
    }

    private void printRow(JSONObject result) {
        double requests = Math.max(1, result.getInt("requests"));
        out().printf(
                        Locale.ROOT,
                        "%5d %8d %7d %7d %7d %6d %5d %6.3f %8.2f %6.2f %8.2f %9.2f %7d%n",
                        result.getLong("seed"),
                        result.getInt("requests"),
                        result.getInt("served"),
                        result.getInt("in_time"),
                        result.getInt("refused"),
                        result.getInt("failed"),
                        result.getInt("unreachable") + result.getInt("died_with_it") + result.getInt("no_answer"),
                        result.getDouble("worth_served"),
                        result.getInt("attempts") / requests,
                        result.getDouble("cold_multiple"),
                        result.getDouble("cold_used_mean"),
                        result.getLong("datagrams") / requests,
                        result.getInt("rules_broken"));
        out().flush();
    }

    /** Prints the violated bounds and the first violated rules, each rule with the events that led to it. */
    private void printViolations(JSONObject result) {
        PrintWriter err = spec.commandLine().getErr();
        long seed = result.getLong("seed");
        for (Object entry : result.getJSONArray("bounds")) {
            JSONObject bound = (JSONObject) entry;
            if (!bound.getBoolean("held")) {
                err.println("seed " + seed + ": " + bound.getString("bound") + " " + bound.getDouble("seen")
                        + ", bound " + bound.getDouble("limit"));
            }
        }
        JSONArray broken = result.getJSONArray("broken");
        for (int i = 0; i < Math.min(3, broken.length()); i++) {
            JSONObject violation = broken.getJSONObject(i);
            err.printf(
                    Locale.ROOT,
                    "seed %d: rule %s at %.3f s by dispatcher %d: %s%n",
                    seed,
                    violation.getString("rule"),
                    violation.getDouble("at_s"),
                    violation.getInt("dispatcher"),
                    violation.getString("what"));
            violation.getJSONArray("story").forEach(line -> err.println("  " + line));
        }
    }
}
