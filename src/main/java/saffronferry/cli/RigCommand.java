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
import saffronferry.rig.FleetResourceUsage;
import saffronferry.rig.IdleDispatcher;
import saffronferry.rig.FaultRig;

/** The fault rig: real processes in real time. */
@Command(name = "rig", description = "Plays scenarios with several real dispatchers and faults between them.")
final class RigCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    @Command(
            name = "fleet",
            description = "Plays a scenario on loopback, in real time, once for each seed; "
                    + "3 where a rule or a bound did not hold.")
    int fleet(
            @Parameters(paramLabel = "SCENARIO.toml") Path file,
            @Option(names = "--seeds", defaultValue = "1", description = "as 1-8 or 1,5,9 (${DEFAULT-VALUE})")
                    String seeds,
            @Option(
                            names = "--set",
                            paramLabel = "KEY=VALUE",
                            description = "a key as lab explain prints it, with another value")
                    List<String> set,
            @Option(names = "--out", paramLabel = "FILE", description = "where the JSON result goes") Path out,
            @Option(names = "--logs", paramLabel = "DIR", description = "where the dispatchers' logs go") Path logs)
            throws IOException, InterruptedException {
        Scenario scenario = LabCommand.read(file, set);
        List<JSONObject> all = new ArrayList<>();
        head();
        for (long seed : LabCommand.seeds(seeds)) {
            JSONObject seen = FaultRig.run(scenario, seed, logs == null ? null : logs.resolve("seed-" + seed));
            all.add(seen);
            row(seen);
        }
        if (out != null) {
            Files.writeString(out, new JSONArray(all).toString(1) + "\n");
        }
        all.forEach(this::breach);
        return all.stream().allMatch(seen -> seen.getBoolean("held")) ? 0 : Main.BROKEN;
    }

    @Command(
            name = "idle",
            description = "Measures one dispatcher that nobody asks anything, beside "
                    + "lists of several lengths, for the scenario's length each; 3 where a stated limit was broken.")
    int idle(
            @Parameters(paramLabel = "SCENARIO.toml") Path file,
            @Option(
                            names = "--workers",
                            split = ",",
                            paramLabel = "N",
                            description = "lengths of the list; the scenario's by default")
                    List<Integer> workers,
            @Option(
                            names = "--changes",
                            defaultValue = "0.67",
                            description = "of the list, a second (${DEFAULT-VALUE})")
                    double changes,
            @Option(
                            names = "--settle",
                            defaultValue = "20",
                            description = "seconds before the first look (${DEFAULT-VALUE})")
                    double settle,
            @Option(names = "--seed", defaultValue = "1", description = "(${DEFAULT-VALUE})") long seed,
            @Option(
                            names = "--deploy",
                            defaultValue = "deploy/balancer.toml",
                            paramLabel = "FILE",
                            description = "whose key run starts the dispatcher (${DEFAULT-VALUE})")
                    Path deploy,
            @Option(names = "--most-core-percent", description = "a limit") Double mostCore,
            @Option(names = "--most-resident-mb", description = "a limit") Double mostResident,
            @Option(
                            names = "--set",
                            paramLabel = "KEY=VALUE",
                            description = "a key as lab explain prints it, with another value")
                    List<String> set,
            @Option(names = "--out", paramLabel = "FILE", description = "where the JSON result goes") Path out)
            throws IOException, InterruptedException {
        IdleDispatcher.Options options = new IdleDispatcher.Options(run(deploy), changes, settle);
        Scenario scenario = LabCommand.read(file, set);
        JSONArray plays = new JSONArray();
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
        for (int n : workers == null ? List.of(scenario.workers()) : workers) {
            List<String> values = new ArrayList<>(set == null ? List.of() : set);
            values.add("fleet.workers=" + n);
            JSONObject play = IdleDispatcher.run(LabCommand.read(file, values), seed, options);
            plays.put(play);
            JSONObject f = play.getJSONObject("figures");
            out().printf(
                            Locale.ROOT,
                            "%8d %6d %8.2f %9.1f %9.1f %9.1f %9.1f %11d%n",
                            n,
                            play.getInt("zones"),
                            f.getDouble("core_percent"),
                            f.getDouble("resident_mb"),
                            f.getDouble("resident_peak_mb"),
                            f.getDouble("wake_ups_per_s"),
                            f.getDouble("list_bytes_in_per_s"),
                            f.getLong("list_whole_bytes"));
            out().flush();
            held &= within(n, f, "core_percent", mostCore) & within(n, f, "resident_mb", mostResident);
        }
        if (out != null) {
            Files.writeString(
                    out,
                    new JSONObject()
                                    .put("scenario", scenario.name())
                                    .put("seed", seed)
                                    .put("plays", plays)
                                    .toString(1) + "\n");
        }
        return held ? 0 : Main.BROKEN;
    }

    @Command(
            name = "processes",
            description = "Plays a scenario with dispatchers started as a "
                    + "deployment does, and measures each; 3 where a rule, a bound or a stated limit was broken.")
    int processes(
            @Parameters(paramLabel = "SCENARIO.toml") Path file,
            @Option(
                            names = "--settle",
                            defaultValue = "20",
                            description = "seconds of the day before the first look (${DEFAULT-VALUE})")
                    double settle,
            @Option(names = "--seed", defaultValue = "1", description = "(${DEFAULT-VALUE})") long seed,
            @Option(
                            names = "--deploy",
                            defaultValue = "deploy/balancer.toml",
                            paramLabel = "FILE",
                            description = "whose key run starts the dispatchers (${DEFAULT-VALUE})")
                    Path deploy,
            @Option(names = "--most-core-percent", description = "a limit for each") Double mostCore,
            @Option(names = "--most-resident-mb", description = "a limit for each") Double mostResident,
            @Option(
                            names = "--set",
                            paramLabel = "KEY=VALUE",
                            description = "a key as lab explain prints it, with another value")
                    List<String> set,
            @Option(names = "--out", paramLabel = "FILE", description = "where the JSON result goes") Path out,
            @Option(names = "--logs", paramLabel = "DIR", description = "where the dispatchers' logs go") Path logs)
            throws IOException, InterruptedException {
        Scenario scenario = LabCommand.read(file, set);
        if (settle * 1e6 >= scenario.length()) {
            throw new IllegalArgumentException(
                    "--settle: is not before the end of the day, " + scenario.length() / 1e6 + " s: " + settle);
        }
        JSONObject seen = FaultRig.run(scenario, seed, logs, new FaultRig.UsageOptions(run(deploy), settle));
        JSONObject figures = FleetResourceUsage.summary(seen.getJSONArray("processes"));
        for (String name : List.of("requests", "served", "refused", "failed", "datagrams", "rules_broken")) {
            figures.put(name, seen.getInt(name));
        }
        if (out != null) {
            JSONObject play = new JSONObject()
                    .put("dispatchers", scenario.dispatchers())
                    .put("workers", scenario.workers())
                    .put("zones", scenario.zones().size())
                    .put("settled_s", settle)
                    .put("seconds", scenario.length() / 1e6 - settle)
                    .put("figures", figures)
                    .put("processes", seen.getJSONArray("processes"));
            Files.writeString(
                    out,
                    new JSONObject()
                                    .put("scenario", scenario.name())
                                    .put("seed", seed)
                                    .put("plays", new JSONArray().put(play))
                                    .toString(1)
                            + "\n");
        }
        figures.keySet().stream()
                .sorted()
                .forEach(name -> out().printf(Locale.ROOT, "%-40s %12.3f%n", name, figures.getDouble(name)));
        breach(seen);
        return seen.getBoolean("held")
                        & within(scenario.workers(), figures, "core_percent_most", mostCore)
                        & within(scenario.workers(), figures, "resident_mb_most", mostResident)
                ? 0
                : Main.BROKEN;
    }

    private boolean within(int workers, JSONObject figures, String figure, Double most) {
        boolean held = most == null || figures.getDouble(figure) <= most;
        if (!held) {
            spec.commandLine()
                    .getErr()
                    .println(workers + " workers: " + figure + " " + figures.getDouble(figure) + ", limit " + most);
        }
        return held;
    }

    /** A deployment's line that starts a dispatcher. */
    private static String run(Path deploy) throws IOException {
        TomlParseResult toml = Toml.parse(Files.readString(deploy));
        if (toml.hasErrors()) {
            throw new IllegalArgumentException(
                    deploy + ":" + toml.errors().get(0).position().line() + ": "
                            + toml.errors().get(0).getMessage());
        }
        if (!toml.isString("run")) {
            throw new IllegalArgumentException(deploy + ": run: expected the line that starts a dispatcher");
        }
        return toml.getString("run");
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private void head() {
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

    private void row(JSONObject r) {
        double requests = Math.max(1, r.getInt("requests"));
        out().printf(
                        Locale.ROOT,
                        "%5d %8d %7d %7d %7d %6d %5d %6.3f %8.2f %6.2f %8.2f %9.2f %7d%n",
                        r.getLong("seed"),
                        r.getInt("requests"),
                        r.getInt("served"),
                        r.getInt("in_time"),
                        r.getInt("refused"),
                        r.getInt("failed"),
                        r.getInt("unreachable") + r.getInt("died_with_it") + r.getInt("no_answer"),
                        r.getDouble("worth_served"),
                        r.getInt("attempts") / requests,
                        r.getDouble("cold_multiple"),
                        r.getDouble("cold_used_mean"),
                        r.getLong("datagrams") / requests,
                        r.getInt("rules_broken"));
        out().flush();
    }

    /** What did not hold, and the story of the first rule that was broken. */
    private void breach(JSONObject seen) {
        PrintWriter err = spec.commandLine().getErr();
        long seed = seen.getLong("seed");
        for (Object o : seen.getJSONArray("bounds")) {
            JSONObject bound = (JSONObject) o;
            if (!bound.getBoolean("held")) {
                err.println("seed " + seed + ": " + bound.getString("bound") + " " + bound.getDouble("seen")
                        + ", bound " + bound.getDouble("limit"));
            }
        }
        JSONArray broken = seen.getJSONArray("broken");
        for (int i = 0; i < Math.min(3, broken.length()); i++) {
            JSONObject b = broken.getJSONObject(i);
            err.printf(
                    Locale.ROOT,
                    "seed %d: rule %s at %.3f s by dispatcher %d: %s%n",
                    seed,
                    b.getString("rule"),
                    b.getDouble("at_s"),
                    b.getInt("dispatcher"),
                    b.getString("what"));
            b.getJSONArray("story").forEach(line -> err.println("  " + line));
        }
    }
}
