package saffronferry.lab.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.Idempotency;
import saffronferry.lab.scenario.Scenario.Bounds;
import saffronferry.lab.scenario.Scenario.Clients;
import saffronferry.lab.scenario.Scenario.Discovery;
import saffronferry.lab.scenario.Scenario.Fault;
import saffronferry.lab.scenario.Scenario.LinkFault;
import saffronferry.lab.scenario.Scenario.Load;
import saffronferry.lab.scenario.Scenario.Network;
import saffronferry.lab.scenario.Scenario.Prices;
import saffronferry.lab.scenario.Scenario.Reports;
import saffronferry.lab.scenario.Scenario.RpcClass;
import saffronferry.lab.scenario.Scenario.Rules;
import saffronferry.lab.scenario.Scenario.Tenant;
import saffronferry.lab.scenario.Scenario.WorkerKind;

/** Reads scenario files. Every key has a default, a unit and bounds; all problems are reported together. */
public final class ScenarioReader {
    private static final Map<String, Idempotency> EFFECTS =
            Map.of("repeatable", Idempotency.SAFE, "by_key", Idempotency.KEYED, "once", Idempotency.UNSAFE);
    private static final Map<String, DedupScope> GROUPS =
            Map.of("all", DedupScope.ALL, "zone", DedupScope.ZONE, "cell", DedupScope.CELL);
    /** Kinds of faults; docs/operations/laboratory.md describes the meaning of part and size for each. */
    public static final List<String> FAULT_KINDS = List.of(
            "slow",
            "hung",
            "crash",
            "zone_loss",
            "deploy",
            "replace",
            "dispatcher_restart",
            "dispatcher_stop",
            "dispatcher_term",
            "dispatcher_hup",
            "tenant_burst",
            "stale_reports",
            "discovery_outage",
            "list_withheld",
            "list_disorder",
            "peer_cut",
            "rack_loss",
            "region_loss");
    /** Sets of links between dispatchers that a fault may affect. */
    public static final List<String> LINK_SHAPES = List.of("all", "half", "alone", "mute", "deaf", "regions");

    private final List<Problem> problems = new ArrayList<>();
    private final List<Section.Value> values = new ArrayList<>();
    private final String file;
    private final Map<String, Object> overrides;

    private ScenarioReader(String file, Map<String, Object> overrides) {
        this.file = file;
        this.overrides = overrides;
    }

    /** Reads a scenario file. */
    public static Scenario read(Path path) throws IOException, ScenarioException {
        return parse(path.getFileName().toString(), Files.readString(path));
    }

    /**
     * Reads a scenario file and overrides one value. {@code key} is a full key as printed by {@code lab explain},
     * {@code value} is in TOML syntax.
     */
    public static Scenario read(Path path, String key, String value) throws IOException, ScenarioException {
        return read(path, List.of(key + "=" + value));
    }

    /** Reads a scenario file and overrides several values, each given as KEY=VALUE. */
    public static Scenario read(Path path, List<String> values) throws IOException, ScenarioException {
        String file = path.getFileName().toString();
        Map<String, Object> overrides = new HashMap<>();
        for (String each : values) {
            int at = each.indexOf('=');
            String key = at < 0 ? each : each.substring(0, at).trim();
            TomlParseResult parsed = Toml.parse("value = " + each.substring(at + 1));
            if (at <= 0 || parsed.hasErrors()) {
                throw new ScenarioException(
                        List.of(new Problem(file, 0, 0, key, "no TOML value: " + each.substring(at + 1))));
            }
            overrides.put(key, parsed.get("value"));
        }
        ScenarioReader reader = new ScenarioReader(file, overrides);
        Scenario scenario = reader.scenario(Toml.parse(Files.readString(path)));
        List<String> keys = reader.values.stream().map(Section.Value::key).toList();
        for (String key : overrides.keySet()) {
            if (!keys.contains(key) && reader.problems.isEmpty()) {
                reader.problems.add(
                        new Problem(file, 0, 0, key, "is no key of this scenario" + Section.suggestion(key, keys)));
            }
        }
        if (!reader.problems.isEmpty()) {
            throw new ScenarioException(reader.problems);
        }
        return scenario;
    }

    /** Parses the text of a scenario; {@code file} is used in error messages. */
    public static Scenario parse(String file, String text) throws ScenarioException {
        ScenarioReader reader = new ScenarioReader(file, Map.of());
        Scenario scenario = reader.scenario(Toml.parse(text));
        if (!reader.problems.isEmpty()) {
            throw new ScenarioException(reader.problems);
        }
        return scenario;
    }

    /** All effective values of a file, one per line, with the unit and a mark for defaults. */
    public static List<String> explain(Path path) throws IOException, ScenarioException {
        ScenarioReader reader = new ScenarioReader(path.getFileName().toString(), Map.of());
        reader.scenario(Toml.parse(Files.readString(path)));
        if (!reader.problems.isEmpty()) {
            throw new ScenarioException(reader.problems);
        }
        return reader.values.stream()
                .map(v -> v.key() + " = " + v.value() + "  # " + v.unit() + (v.explicit() ? "" : "; the default"))
                .toList();
    }

    private static long secondsToMicros(double seconds) {
        return Math.round(seconds * 1e6);
    }

    private Scenario scenario(TomlParseResult toml) {
        for (TomlParseError e : toml.errors()) {
            problems.add(new Problem(file, e.position().line(), e.position().column(), "", e.getMessage()));
        }
        Section top = new Section(file, "", toml, problems, values, overrides);
        String name = top.text("name", file.replaceFirst("\\.toml$", ""), List.of());
        long length = secondsToMicros(top.number("length_s", 50, 1, 36_000, "seconds"));
        Section fleet = top.section("fleet");
        List<String> zones = fleet.texts("zones", List.of("dub-north", "dub-south"));
        int regions = fleet.whole("regions", 1, 1, zones.size(), "regions with equal numbers of zones");
        int workers = fleet.whole("workers", 8, 1, 100_000, "workers");
        int cell = fleet.whole("cell_size", 8, 1, 100_000, "workers in a cell");
        int dispatchers = fleet.whole("dispatchers", 2, 1, 1_000, "dispatchers");
        List<WorkerKind> kinds = new ArrayList<>();
        fleet.sections("kind").forEach(s -> kinds.add(kind(s)));
        if (kinds.isEmpty()) {
            kinds.add(kind(new Section(file, "fleet.kind", null, problems, values, overrides)));
        }
        fleet.rejectUnknownKeys();
        List<RpcClass> classes = new ArrayList<>();
        top.sections("class").forEach(s -> classes.add(rpcClass(s)));
        if (classes.isEmpty()) {
            classes.add(rpcClass(new Section(file, "class", null, problems, values, overrides)));
        }
        List<Tenant> tenants = new ArrayList<>();
        top.sections("tenant").forEach(s -> tenants.add(tenant(s)));
        if (tenants.isEmpty()) {
            tenants.add(new Tenant("all", 1, 1));
        }
        Scenario result = new Scenario(
                name,
                length,
                zones,
                workers,
                cell,
                dispatchers,
                List.copyOf(kinds),
                List.copyOf(classes),
                List.copyOf(tenants),
                load(top.section("load")),
                clients(top.section("clients")),
                network(top.section("network")),
                discovery(top.section("discovery")),
                reports(top.section("reports")),
                rules(top.section("rules")),
                prices(top.section("prices")),
                faults(top, zones, tenants, length),
                randomFaults(top.section("draw"), length),
                bounds(top.section("bounds")),
                regions,
                limits(top.section("limits")));
        top.rejectUnknownKeys();
        return result;
    }

    private WorkerKind kind(Section s) {
        WorkerKind k = new WorkerKind(
                s.text("name", "box", List.of()),
                s.number("share", 1, 0, 1e6, "relative number of workers"),
                s.whole("cores", 4, 1, 1024, "cores"),
                s.number("speed", 1, 0.01, 100, "work done per second and core"),
                s.number("speed_cv", 0.1, 0, 1, "standard deviation of speeds, relative"),
                s.whole("slots", 4, 1, 4096, "jobs at once"),
                s.whole("queue", 8, 0, 100_000, "jobs that may be queued"),
                s.number("thrash_at", 8, 1, 100_000, "number of jobs held above which it slows down"),
                s.number("thrash", 0.05, 0, 1, "share of speed lost for each job above thrash_at"),
                s.number("cold_from", 0.4, 0.01, 1, "share of capacity just after a start"),
                secondsToMicros(s.number("cold_s", 6, 0, 3_600, "seconds until warm at the latest")),
                s.number("error_rate", 0, 0, 1, "share of jobs that fail"));
        s.rejectUnknownKeys();
        return k;
    }

    private RpcClass rpcClass(Section s) {
        RpcClass c = new RpcClass(
                s.text("name", "rpc", List.of()),
                s.number("share", 1, 0, 1e6, "relative number"),
                secondsToMicros(s.number("aim_s", 0.25, 0.001, 3_600, "seconds, target latency")),
                s.number("stretch", 1.75, 0, 100, "multiple of the job's own work that is added to aim_s"),
                secondsToMicros(s.number("deadline_s", 6, 0.01, 3_600, "seconds a client waits, all tries in total")),
                s.number("worth", 1, 0, 1e6, "points"),
                s.number("late_worth", 0.3, 0, 1, "share of the worth that a late answer keeps"),
                EFFECTS.get(s.text("effect", "repeatable", List.of("repeatable", "by_key", "once"))),
                GROUPS.get(s.text("group", "all", List.of("all", "zone", "cell"))),
                secondsToMicros(
                        s.number("key_ttl_s", 40, 0, 3_600, "seconds for which repeated requests are deduplicated")),
                secondsToMicros(s.number("work_s", 0.2, 0.0001, 3_600, "seconds of work, mean")),
                s.number("tail", 0.8, 0, 4, "standard deviation of the logarithm of the work"));
        s.rejectUnknownKeys();
        return c;
    }

    private Tenant tenant(Section s) {
        Tenant t = new Tenant(
                s.text("name", null, List.of()),
                s.number("share", 1, 0, 1e6, "relative number of requests"),
                s.number("entitled", 0, 0, 1, "share of the capacity; 0 means its share of the requests"));
        s.rejectUnknownKeys();
        return t;
    }

    private Load load(Section s) {
        Load l = new Load(
                s.number("share", 0.6, 0.001, 20, "share of the fleet's capacity"),
                s.text("shape", "steady", List.of("steady", "bursty", "surge")),
                s.number("swing", 0.25, 0, 1, "relative amplitude of the variation"),
                s.number("zone_skew", 0, 0, 0.9, "relative excess of requests in the first zone"),
                (long) s.number("most_requests", 2e6, 1, 1e9, "first tries; arrivals stop after that many"),
                new Scenario.DispatcherSkew(
                        s.whole("loud", 0, 0, 1000, "dispatchers that receive more requests"),
                        s.number("loud_times", 6, 0, 1000, "multiple of the requests of other dispatchers"),
                        s.whole("silent", 0, 0, 1000, "dispatchers that receive no requests")));
        s.rejectUnknownKeys();
        return l;
    }

    private Clients clients(Section s) {
        Clients c = new Clients(
                s.whole("retries", 2, 0, 100, "tries after the first"),
                secondsToMicros(s.number("backoff_s", 0.05, 0, 60, "seconds before the next try, doubling")),
                s.number("honour", 0.6, 0, 1, "share of clients that honour Retry-After"));
        s.rejectUnknownKeys();
        return c;
    }

    private Network network(Section s) {
        Network n = new Network(
                secondsToMicros(s.number("same_s", 0.0002, 0, 10, "seconds one way in a zone")),
                secondsToMicros(s.number("cross_s", 0.0006, 0, 10, "seconds one way between zones")),
                secondsToMicros(s.number("client_s", 0.0007, 0, 10, "seconds one way from clients")),
                s.number("jitter", 0.2, 0, 10, "relative"),
                s.number("loss", 0.01, 0, 1, "share of datagrams lost"),
                secondsToMicros(s.number("connect_timeout_s", 0.25, 0.001, 60, "seconds")),
                secondsToMicros(s.number(
                        "front_notice_s", 2.5, 0, 600, "seconds until the front end notices a dead dispatcher")));
        s.rejectUnknownKeys();
        return n;
    }

    private Discovery discovery(Section s) {
        Discovery d = new Discovery(
                secondsToMicros(s.number("notice_s", 2, 0, 600, "seconds until a drain or a shutdown is listed")),
                secondsToMicros(s.number("silent_notice_s", 8, 0, 600, "seconds until a crashed worker is listed")),
                secondsToMicros(s.number("add_s", 1, 0, 600, "seconds until a new worker is listed")),
                secondsToMicros(s.number("call_s", 0.05, 0.0001, 60, "seconds a call takes")),
                s.number("calls_per_s", 4, 0.01, 1e6, "calls per second; further calls are queued"));
        s.rejectUnknownKeys();
        return d;
    }

    private Reports reports(Section s) {
        Reports r = new Reports(
                s.flag("on", true),
                secondsToMicros(s.number("period_s", 0.06, 0.0001, 60, "seconds")),
                s.number("noise", 0.05, 0, 1, "relative"));
        s.rejectUnknownKeys();
        return r;
    }

    private Rules rules(Section s) {
        Rules r = new Rules(
                secondsToMicros(
                        s.number("slack_s", 0.02, 0, 10, "seconds after the deadline in which an answer is accepted")),
                secondsToMicros(s.number(
                        "drain_s", 2, 0, 60, "seconds after the notice of a drain in which new work may still arrive")),
                s.number("fall_multiple", 3, 0.1, 100, "multiple of a cold worker's capacity"),
                secondsToMicros(s.number("fall_s", 3, 0.1, 600, "seconds, length of the window")),
                s.whole("most_tries", 4, 1, 100, "attempts"),
                secondsToMicros(s.number("max_retry_after_s", 2, 0, 60, "seconds")));
        s.rejectUnknownKeys();
        return r;
    }

    private Prices prices(Section s) {
        Prices p = new Prices(
                s.number("peer", 0.008, 0, 10, "points"),
                s.number("probe", 0.01, 0, 10, "points"),
                s.number("over_share", 0.05, 0, 1, "share of the worth"));
        s.rejectUnknownKeys();
        return p;
    }

    private static LinkFault link(Section s) {
        return new LinkFault(
                s.text("shape", "all", LINK_SHAPES),
                s.flag("one_way", false),
                s.number("loss", 1, 0, 1, "of the datagrams concerned"),
                s.number("doubled", 0, 0, 1, "of the datagrams concerned"),
                secondsToMicros(s.number("delay_s", 0, 0, 600, "seconds, largest random delay of a datagram")),
                secondsToMicros(s.number(
                        "flap_s", 0, 0, 600, "seconds for which it is active and inactive in turn; 0: always active")));
    }

    private static Bounds bounds(Section s) {
        Bounds b = new Bounds(
                s.number("refused", 1, 0, 1, "share of requests"),
                s.number("failed", 1, 0, 1, "share of requests"),
                s.number("cold_multiple", 100, 0, 100, "multiple of a cold worker's capacity"),
                s.number("cold_used", 0, 0, 1, "share of the capacity of cold workers used while jobs wait, mean"),
                s.number("cold_used_each", 0, 0, 1, "share of the capacity of each cold worker used while jobs wait"));
        s.rejectUnknownKeys();
        return b;
    }

    private static Limits limits(Section s) {
        Map<String, Double> stated = new HashMap<>();
        Limits.FIGURES.forEach((figure, unit) -> {
            double limit = s.number(
                    figure, -1, 0, 1e12, unit + (Limits.isLeast(figure) ? ", at least" : ", at most") + "; -1 none");
            if (limit >= 0) {
                stated.put(figure, limit);
            }
        });
        s.rejectUnknownKeys();
        return new Limits(stated);
    }

    private RandomFaults randomFaults(Section s, long length) {
        RandomFaults d = new RandomFaults(
                s.whole("troubles", 0, 0, 100, "troubles drawn from the seed of each run"),
                s.texts("kinds", List.of("peer_cut")),
                secondsToMicros(s.number("from_s", 0, 0, 36_000, "seconds")),
                secondsToMicros(s.number("until_s", length / 1e6, 0, 36_000, "seconds")));
        for (String kind : d.kinds()) {
            if (!FAULT_KINDS.contains(kind)) {
                s.addProblem(
                        "kinds", "names no kind of trouble: \"" + kind + "\"" + Section.suggestion(kind, FAULT_KINDS));
            }
        }
        if (d.from() >= d.until()) {
            s.addProblem("until_s", "is not after from_s");
        }
        s.rejectUnknownKeys();
        return d;
    }

    private List<Fault> faults(Section top, List<String> zones, List<Tenant> tenants, long length) {
        List<Fault> result = new ArrayList<>();
        for (Section s : top.sections("trouble")) {
            String kind = s.text("kind", null, FAULT_KINDS);
            Fault t = new Fault(
                    kind,
                    secondsToMicros(s.number("at_s", 10, 0, 36_000, "seconds")),
                    secondsToMicros(s.number("length_s", 15, 0.001, 36_000, "seconds")),
                    s.number("part", 0.2, 0, 1, "share of workers or dispatchers"),
                    s.number("size", 4, 0, 1e6, "severity; its meaning depends on the kind"),
                    s.text("zone", zones.get(0), zones),
                    s.text(
                            "tenant",
                            tenants.get(0).name(),
                            tenants.stream().map(Tenant::name).toList()),
                    link(s));
            if (t.at() > length) {
                s.addProblem("at_s", "is after the end of the run, " + length / 1e6 + " s");
            }
            s.rejectUnknownKeys();
            result.add(t);
        }
        return result;
    }
}
