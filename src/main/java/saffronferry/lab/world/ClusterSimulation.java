package saffronferry.lab.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.json.JSONArray;
import org.json.JSONObject;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.Settings;
import saffronferry.Contract.Tenant;
import saffronferry.Contract.WorkerInfo;
import saffronferry.lab.check.RuleChecker;
import saffronferry.lab.policy.DispatchLogic;
import saffronferry.lab.policy.Policy;
import saffronferry.lab.scenario.PeerLinks;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.scenario.Scenario.WorkerKind;

/**
 * One emulated day. Deterministic: the same scenario, policy and seed give the same day, to the last byte.
 */
public final class ClusterSimulation {
    /**
     * What a day came to; {@code json} holds nothing that depends on the machine. {@code decisionUsPerRequest} is
     * processor time a request, {@code startDecisionUs} that of all dispatchers before the first request.
     */
    public record RunResult(
            JSONObject json,
            double goal,
            List<RuleChecker.Violation> violations,
            int violationCount,
            long events,
            long requests,
            double decisionUsPerRequest,
            double startDecisionUs,
            double wallSeconds) {}

    static final Clients.Shape STEADY = shape(t -> 1, 1);
    /** The module's clock: far from 0, which stands for long ago. */
    private static final long START = 1_000_000_000;

    private static final long SETTLE = 2_000_000;
    /** When clients begin to ask, by the clock that brains are handed. */
    public static final long LOAD_START_US = START + SETTLE;

    private static final long FALLEN = 5_000_000;

    final Scenario scenario;
    final Streams streams;
    final Simulation sim = new Simulation(START);
    final RuleChecker checker;
    final Wires wires;
    final Registry registry;
    final Clients clients;
    final Tally tally;
    final ColdUse coldUse;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<Node, Long> downSince = new HashMap<>();
    private final double capacity;
    private final long seed;
    private final LogicDecorator decorator;
    private int successors;
    private long busyAtStart;

    private ClusterSimulation(Scenario scenario, Policy policy, long seed, LogicDecorator decorator) {
        this.scenario = scenario;
        this.seed = seed;
        this.decorator = decorator;
        streams = new Streams(seed);
        checker = new RuleChecker(scenario);
        wires = new Wires(scenario.network(), streams.of("network", 0), new PeerLinks(scenario, START + SETTLE));
        registry = new Registry(scenario.discovery(), sim);
        tally = new Tally(scenario, START + SETTLE);
        coldUse = new ColdUse(sim, scenario.zones().size());
        makeWorkers();
        capacity = workers.values().stream().mapToDouble(Worker::fullCapacity).sum();
        clients = new Clients(this, capacity);
        for (int i = 0; i < scenario.dispatchers(); i++) {
            nodes.add(new Node(i, i % scenario.zones().size(), this, (d, life) -> createLogic(policy, d, life)));
        }
    }

    /** Plays a day. */
    public static RunResult run(Scenario scenario, Policy policy, long seed) {
        return run(scenario, policy, seed, (logic, dispatcher) -> logic);
    }

    /** Plays a day with each brain wrapped, so that tests can sabotage it. */
    public static RunResult run(Scenario scenario, Policy policy, long seed, UnaryOperator<DispatchLogic> decorator) {
        return run(scenario, policy, seed, (logic, dispatcher) -> decorator.apply(logic));
    }

    /** Stands between a dispatcher's brain, one for each of its lives, and its world. */
    public interface LogicDecorator {
        DispatchLogic wrap(DispatchLogic logic, int dispatcher);
    }

    /** Plays a day with each brain wrapped, so that what passes can be measured. */
    public static RunResult run(Scenario scenario, Policy policy, long seed, LogicDecorator decorator) {
        long begun = System.nanoTime();
        ClusterSimulation world = new ClusterSimulation(scenario.withRandomFaults(seed), policy, seed, decorator);
        world.runToEnd();
        JSONObject json = world.tally
                .json(world.sim.done())
                .put("cold_multiple", Math.round(world.checker.maxColdMultiple() * 1e3) / 1e3)
                .put("cold_used", Math.round(world.coldUse.mean() * 1e3) / 1e3)
                .put("cold_used_least", Math.round(world.coldUse.least() * 1e3) / 1e3);
        JSONArray broken = new JSONArray();
        world.checker
                .violations()
                .forEach(b -> broken.put(new JSONObject()
                        .put("rule", b.rule())
                        .put("at_s", b.atUs() / 1e6)
                        .put("dispatcher", b.dispatcher())
                        .put("what", b.description())
                        .put("story", new JSONArray(b.history()))));
        json.put("seed", seed)
                .put("policy", policy.label())
                .put("rules_broken", world.checker.violationCount())
                .put("broken", broken);
        long busy = world.busyNanos() - world.busyAtStart;
        return new RunResult(
                json,
                world.tally.goal(),
                world.checker.violations(),
                world.checker.violationCount(),
                world.sim.done(),
                world.tally.requests(),
                busy / 1e3 / Math.max(1, world.tally.requests()),
                world.busyAtStart / 1e3,
                (System.nanoTime() - begun) / 1e9);
    }

    private long busyNanos() {
        return nodes.stream().mapToLong(Node::busyNanos).sum();
    }

    private void runToEnd() {
        List<WorkerInfo> known = registry.all();
        nodes.forEach(node -> node.start(known));
        long start = START + SETTLE;
        sim.after(SETTLE, () -> {
            busyAtStart = busyNanos();
            tally.settled();
        });
        long end = start + scenario.length();
        Clients.Shape shape = shapeOf(start, end);
        clients.stream(
                "day", 0, capacity * scenario.load().share() / (scenario.meanWork() / 1e6), -1, start, end, shape);
        new Troubles(this).plan(start);
        look(end);
        long longest = scenario.classes().stream()
                .mapToLong(Scenario.RpcClass::deadline)
                .max()
                .orElse(0);
        sim.run(end + longest + SETTLE);
    }

    private void look(long end) {
        coldUse.look(workers.values(), nodes);
        if (sim.now() < end) {
            sim.after(ColdUse.LOOK, () -> look(end));
        }
    }

    private interface Factor {
        double at(long time);
    }

    private static Clients.Shape shape(Factor factor, double most) {
        return new Clients.Shape() {
            @Override
            public double at(long time) {
                return factor.at(time);
            }

            @Override
            public double most() {
                return most;
            }
        };
    }

    private Clients.Shape shapeOf(long start, long end) {
        double swing = scenario.load().swing();
        return switch (scenario.load().shape()) {
            case "bursty" -> shape(t -> 1 + swing * Math.sin((t - start) / 17e6 * 2 * Math.PI), 1 + swing);
            case "surge" ->
                shape(
                        t -> {
                            double x = (t - start) / (double) (end - start);
                            return x > 0.4 && x < 0.6 ? 1 + 4 * swing : 1;
                        },
                        1 + 4 * swing);
            default -> STEADY;
        };
    }

    private void makeWorkers() {
        UniformRandomProvider random = streams.of("fleet", 0);
        double[] owed = new double[scenario.kinds().size()];
        double shares = scenario.kinds().stream().mapToDouble(WorkerKind::share).sum();
        for (int i = 0; i < scenario.workers(); i++) {
            int kind = 0;
            for (int k = 0; k < owed.length; k++) { // the one most in arrears: shares hold at any size
                owed[k] += scenario.kinds().get(k).share() / shares;
                kind = owed[k] > owed[kind] ? k : kind;
            }
            owed[kind]--;
            int zone = i % scenario.zones().size();
            int cell = zone * 1_000_000 + i / scenario.zones().size() / scenario.cellSize();
            Worker w = new Worker(address(0, i), zone, kind, cell, scenario, sim, random);
            workers.put(w.address, w);
            registry.know(w.info());
        }
    }

    private static String address(int generation, int number) {
        return "10." + generation + "." + number / 256 + "." + number % 256 + ":9100";
    }

    private DispatchLogic createLogic(Policy policy, int dispatcher, int life) {
        UniformRandomProvider random = streams.of("brain " + dispatcher, life);
        return decorator.wrap(
                policy.createLogic(settings(dispatcher, random.nextLong()), random, address -> {
                    Worker w = workers.get(address);
                    return w == null ? Double.MAX_VALUE : w.load();
                }),
                dispatcher);
    }

    private Settings settings(int dispatcher, long brainSeed) {
        List<JobClass> classes = scenario.classes().stream()
                .map(c -> new JobClass(
                        c.name(),
                        c.aim(),
                        c.stretch(),
                        c.deadline(),
                        c.worth(),
                        c.lateWorth(),
                        c.effect(),
                        c.group(),
                        c.keyTtl(),
                        -1))
                .toList();
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < scenario.tenants().size(); i++) {
            tenants.add(new Tenant(scenario.tenants().get(i).name(), clients.allowance()[i]));
        }
        long cold = scenario.kinds().stream().mapToLong(WorkerKind::cold).max().orElse(0);
        double coldShare =
                scenario.kinds().stream().mapToDouble(WorkerKind::coldFrom).min().orElse(1);
        Scenario.Rules rules = scenario.rules();
        Scenario.Prices prices = scenario.prices();
        return new Settings(
                brainSeed,
                dispatcher,
                scenario.dispatchers(),
                dispatcher % scenario.zones().size(),
                scenario.zones().size(),
                scenario.kinds().size(),
                classes,
                tenants,
                rules.maxAttempts(),
                true,
                true,
                true,
                scenario.reports().on(),
                true,
                true,
                true,
                0,
                cold,
                coldShare,
                rules.coldOverloadMultiple(),
                rules.maxRetryAfter(),
                prices.peer(),
                prices.probe(),
                40_000_000);
    }

    // ---- who is there ----

    Worker worker(String address) {
        return workers.get(address);
    }

    List<Node> nodes() {
        return nodes;
    }

    List<Worker> serving() {
        return workers.values().stream().filter(Worker::up).toList();
    }

    double askedPerSecond(int tenant) {
        double shares =
                scenario.tenants().stream().mapToDouble(Scenario.Tenant::share).sum();
        return capacity
                * scenario.load().share()
                / (scenario.meanWork() / 1e6)
                * scenario.tenants().get(tenant).share()
                / shares;
    }

    /** A machine that takes an old one's place, by a name of its own. */
    Worker successor(Worker old) {
        Worker w = new Worker(
                address(1, successors),
                old.zone,
                old.kindIndex,
                old.cell,
                scenario,
                sim,
                streams.of("successor", successors));
        successors++;
        workers.put(w.address, w);
        return w;
    }

    /** A cold worker that was sent too much: it is down for a while. */
    void fallsOver(Worker w) {
        w.crash();
        registry.changed(w, registry.settings().silentNotice());
        sim.after(FALLEN, () -> {
            if (!w.up()) {
                w.start(true);
                registry.changed(w, registry.settings().add());
            }
        });
    }

    void restart(Node node, long down) {
        if (!node.up()) {
            return;
        }
        List<WorkerInfo> known = node.kill();
        registry.stop(node);
        downSince.put(node, sim.now());
        sim.after(down, () -> {
            downSince.remove(node);
            node.start(known);
        });
    }

    /** Whom the front sends a client of a zone to: it takes a while to notice that a dispatcher is dead. */
    Node front(int zone, UniformRandomProvider random) {
        List<Node> near = believedUp(zone);
        List<Node> all = near.isEmpty() ? believedUp(-1) : near;
        return all.isEmpty()
                ? null
                : scenario.load().dispatcherSkew().isUniform()
                        ? all.get(random.nextInt(all.size()))
                        : weighed(all, random.nextDouble());
    }

    private Node weighed(List<Node> nodes, double at) {
        double left = at * nodes.stream().mapToDouble(this::weight).sum();
        for (Node node : nodes) {
            left -= weight(node);
            if (left < 0) {
                return node;
            }
        }
        return nodes.get(0);
    }

    private double weight(Node node) {
        return scenario.load().dispatcherSkew().weight(node.number, scenario.dispatchers());
    }

    private List<Node> believedUp(int zone) {
        return nodes.stream()
                .filter(n -> (zone < 0 || n.zone == zone)
                        && sim.now() - downSince.getOrDefault(n, sim.now())
                                < scenario.network().frontNotice())
                .toList();
    }

    void tell(Node from, int to, byte[] bytes) {
        tally.datagram(bytes.length);
        if (to >= 0 && to < nodes.size()) {
            Node peer = nodes.get(to);
            for (long late : wires.datagram(sim.now(), from.number, to)) {
                sim.after(wires.between(from.zone, peer.zone) + late, () -> peer.peerSaid(from.number, bytes));
            }
        }
    }
}
