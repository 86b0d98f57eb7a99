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

/** Hollow dispatchers: what each of a large fleet costs. */
@Command(
        name = "scale",
        description = "Plays a scenario with hollow dispatchers in virtual time and "
                + "measures what each costs; 3 where a limit of [limits], or a rule, was broken.")
final class ScaleCommand implements Callable<Integer> {
    /** What a play's line says by itself. */
    private static final Set<String> TOLD = Set.of("fleet.dispatchers", "fleet.workers");

    private static final String CLEAR = "\r\033[K";

    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "SCENARIO.toml")
    private Path file;

    @Option(
            names = "--set",
            paramLabel = "KEY=V1,V2,...",
            description = "a key as lab explain prints it, "
                    + "and its values, each played; with several of these every pairing is")
    private List<String> set;

    @Option(names = "--seed", defaultValue = "1", description = "${DEFAULT-VALUE} by default")
    private long seed;

    @Option(names = "--out", paramLabel = "FILE", description = "where the JSON result goes")
    private Path out;

    @Override
    public Integer call() throws IOException {
        List<Map<String, String>> settings = settings(set == null ? List.of() : set);
        List<Scenario> scenarios = new ArrayList<>();
        for (Map<String, String> each : settings) { // all before the first play: a late word would cost it
            scenarios.add(LabCommand.read(
                    file,
                    each.entrySet().stream()
                            .map(e -> e.getKey() + "=" + e.getValue())
                            .toList()));
        }
        head();
        List<Run> plays = new ArrayList<>();
        for (int i = 0; i < scenarios.size(); i++) {
            Map<String, String> other = new LinkedHashMap<>(settings.get(i));
            other.keySet().removeAll(TOLD);
            String play = "play " + (i + 1) + " of " + scenarios.size();
            plays.add(ScaleSimulation.run(scenarios.get(i), other, seed, progress(play, scenarios.get(i))));
            row(plays.get(i));
            if (out != null) { // after each: a long sweep that is ended keeps what it has
                Files.writeString(out, ScaleSimulation.json(file.toString(), seed, plays).toString(1) + "\n");
            }
        }
        plays.forEach(play -> play.violations()
                .forEach(line -> spec.commandLine()
                        .getErr()
                        .println(play.scenario().dispatchers() + " dispatchers, "
                                + play.scenario().workers() + " workers: " + line)));
        return plays.stream().allMatch(play -> play.violations().isEmpty()) ? 0 : Main.BROKEN;
    }

    /** Every pairing of the keys' values, the last key's changing fastest. */
    static List<Map<String, String>> settings(List<String> set) {
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

    /** A line that is written over; none where nobody looks. */
    private LongConsumer progress(String play, Scenario scenario) {
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
                        CLEAR + "%s: %d dispatchers, %d workers, %d s of %d s%s",
                        play,
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

    private void head() {
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

    private void row(Run play) {
        Map<String, Double> f = play.figures();
        if (System.console() != null) {
            spec.commandLine().getErr().print(CLEAR);
            spec.commandLine().getErr().flush();
        }
        out().printf(
                        Locale.ROOT,
                        "%11d %7d %5d %6.3f %6.3f %6.2f %8.2f %8.1f %8.2f %9.1f %9.2f %6.2f %8.0f %8.0f %8.0f %6.2f"
                                + " %7d%n",
                        play.scenario().dispatchers(),
                        play.scenario().workers(),
                        play.scenario().zones().size(),
                        f.get("goal_share"),
                        f.get("cold_used_share"),
                        f.get("cold_multiple"),
                        f.get("pick_us"),
                        f.get("tick_us"),
                        f.get("datagram_us"),
                        f.get("decision_us_per_request"),
                        f.get("messages_per_request"),
                        f.get("decision_core_percent"),
                        f.get("control_bytes_per_s"),
                        f.get("control_bytes_worst_per_s"),
                        f.get("start_control_bytes") / 1e3,
                        f.get("heap_mb_per_dispatcher"),
                        play.violations().size());
        out().flush();
    }
}
