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
 * Simulates one run of a scenario in virtual time. Deterministic: the same scenario, policy and seed give the
 * same result, byte for byte.
 */
public final class ClusterSimulation {
    /**
     * The result of a run. Nothing in {@code json} depends on the machine. {@code decisionUsPerRequest} is the
     * CPU time of decisions per request, {@code startDecisionUs} that of all dispatchers before the first request.
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

    static final ClientPopulation.RateShape STEADY_RATE = shape(t -> 1, 1);
    /** Far from 0, because timestamps of 0 mean "long ago" to the dispatch logic. */
    private static final long START_TIME_US = 1_000_000_000;

    private static final long SETTLE_TIME_US = 2_000_000;
    /** When clients send their first requests, on the clock that is passed to the dispatch logic. */
    public static final long LOAD_START_US = START_TIME_US + SETTLE_TIME_US;

    private static final long OVERLOAD_RESTART_US = 5_000_000;

    final Scenario scenario;
    final RandomStreams streams;
    final EventScheduler scheduler = new EventScheduler(START_TIME_US);
    final RuleChecker checker;
    final NetworkModel network;
    final Registry registry;
    final ClientPopulation clients;
    final RunStatistics statistics;
    final ColdUtilization coldUtilization;
    private final Map<String, Worker> workers = new LinkedHashMap<>();
    private final List<EmulatedDispatcher> dispatchers = new ArrayList<>();
    private final Map<EmulatedDispatcher, Long> downSince = new HashMap<>();
    private final double capacity;
    private final long seed;
    private final LogicDecorator decorator;
    private int replacementCount;
    private long startDecisionNanos;

    private ClusterSimulation(Scenario scenario, Policy policy, long seed, LogicDecorator decorator) {
        this.scenario = scenario;
        this.seed = seed;
        this.decorator = decorator;
        streams = new RandomStreams(seed);
        checker = new RuleChecker(scenario);
        network = new NetworkModel(
                scenario.network(), streams.of("network", 0), new PeerLinks(scenario, START_TIME_US + SETTLE_TIME_US));
        registry = new Registry(scenario.discovery(), scheduler);
        statistics = new RunStatistics(scenario, START_TIME_US + SETTLE_TIME_US);
        coldUtilization = new ColdUtilization(scheduler, scenario.zones().size());
        createWorkers();
        capacity = workers.values().stream().mapToDouble(Worker::fullCapacity).sum();
        clients = new ClientPopulation(this, capacity);
        for (int i = 0; i < scenario.dispatchers(); i++) {
            dispatchers.add(new EmulatedDispatcher(
                    i, i % scenario.zones().size(), this, (d, incarnation) -> createLogic(policy, d, incarnation)));
        }
    }

    /** Runs a scenario. */
    public static RunResult run(Scenario scenario, Policy policy, long seed) {
        return run(scenario, policy, seed, (logic, dispatcher) -> logic);
    }

    /** Runs a scenario with each dispatch logic decorated, so that tests can inject wrong behaviour. */
    public static RunResult run(Scenario scenario, Policy policy, long seed, UnaryOperator<DispatchLogic> decorator) {
        return run(scenario, policy, seed, (logic, dispatcher) -> decorator.apply(logic));
    }

    /** Decorates the dispatch logic of a dispatcher, once for each of its incarnations. */
    public interface LogicDecorator {
        DispatchLogic wrap(DispatchLogic logic, int dispatcher);
    }

    /** Runs a scenario with each dispatch logic decorated, so that its calls can be measured. */
    public static RunResult run(Scenario scenario, Policy policy, long seed, LogicDecorator decorator) {
        long startNanos = System.nanoTime();
        ClusterSimulation simulation = new ClusterSimulation(scenario.withRandomFaults(seed), policy, seed, decorator);
        simulation.runToEnd();
        JSONObject json = simulation
                .statistics
                .json(simulation.scheduler.executedCount())
                .put("cold_multiple", Math.round(simulation.checker.maxColdMultiple() * 1e3) / 1e3)
                .put("cold_used", Math.round(simulation.coldUtilization.mean() * 1e3) / 1e3)
                .put("cold_used_least", Math.round(simulation.coldUtilization.min() * 1e3) / 1e3);
        JSONArray broken = new JSONArray();
        simulation
                .checker
                .violations()
                .forEach(b -> broken.put(new JSONObject()
                        .put("rule", b.rule())
                        .put("at_s", b.atUs() / 1e6)
                        .put("dispatcher", b.dispatcher())
                        .put("what", b.description())
                        .put("story", new JSONArray(b.history()))));
        json.put("seed", seed)
                .put("policy", policy.label())
                .put("rules_broken", simulation.checker.violationCount())
                .put("broken", broken);
        long decisionNanos = simulation.decisionCpuNanos() - simulation.startDecisionNanos;
        return new RunResult(
                json,
                simulation.statistics.goal(),
                simulation.checker.violations(),
                simulation.checker.violationCount(),
                simulation.scheduler.executedCount(),
                simulation.statistics.requests(),
                decisionNanos / 1e3 / Math.max(1, simulation.statistics.requests()),
                simulation.startDecisionNanos / 1e3,
                (System.nanoTime() - startNanos) / 1e9);
    }

    private long decisionCpuNanos() {
        return dispatchers.stream()
                .mapToLong(EmulatedDispatcher::decisionCpuNanos)
                .sum();
    }

    private void runToEnd() {
        List<WorkerInfo> known = registry.all();
        dispatchers.forEach(dispatcher -> dispatcher.start(known));
        long start = START_TIME_US + SETTLE_TIME_US;
        scheduler.after(SETTLE_TIME_US, () -> {
            startDecisionNanos = decisionCpuNanos();
            statistics.loadStarted();
        });
        long end = start + scenario.length();
        ClientPopulation.RateShape shape = rateShape(start, end);
        clients.startArrivals(
                "day", 0, capacity * scenario.load().share() / (scenario.meanWork() / 1e6), -1, start, end, shape);
        new FaultInjector(this).plan(start);
        sampleColdUtilization(end);
        long longest = scenario.classes().stream()
                .mapToLong(Scenario.RpcClass::deadline)
                .max()
                .orElse(0);
        scheduler.run(end + longest + SETTLE_TIME_US);
    }

    private void sampleColdUtilization(long end) {
        coldUtilization.sample(workers.values(), dispatchers);
        if (scheduler.now() < end) {
            scheduler.after(ColdUtilization.SAMPLE_INTERVAL_US, () -> sampleColdUtilization(end));
        }
    }

    private interface RateFunction {
        double at(long time);
    }

    private static ClientPopulation.RateShape shape(RateFunction function, double maxFactor) {
        return new ClientPopulation.RateShape() {
            @Override
            public double factorAt(long time) {
                return function.at(time);
            }

            @Override
            public double maxFactor() {
                return maxFactor;
            }
        };
    }

    private ClientPopulation.RateShape rateShape(long start, long end) {
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
            default -> STEADY_RATE;
        };
    }

    private void createWorkers() {
        UniformRandomProvider random = streams.of("fleet", 0);
        double[] deficit = new double[scenario.kinds().size()];
        double shares = scenario.kinds().stream().mapToDouble(WorkerKind::share).sum();
        for (int i = 0; i < scenario.workers(); i++) {
            int kind = 0;
            for (int k = 0;
                    k < deficit.length;
                    k++) { // the kind with the largest deficit, so that shares hold at any cluster size
                deficit[k] += scenario.kinds().get(k).share() / shares;
                kind = deficit[k] > deficit[kind] ? k : kind;
            }
            deficit[kind]--;
            int zone = i % scenario.zones().size();
            int cell = zone * 1_000_000 + i / scenario.zones().size() / scenario.cellSize();
            Worker w = new Worker(address(0, i), zone, kind, cell, scenario, scheduler, random);
            workers.put(w.address, w);
            registry.register(w.info());
        }
    }

    private static String address(int generation, int number) {
        return "10." + generation + "." + number / 256 + "." + number % 256 + ":9100";
    }

    private DispatchLogic createLogic(Policy policy, int dispatcher, int incarnation) {
        UniformRandomProvider random = streams.of("brain " + dispatcher, incarnation);
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
            tenants.add(new Tenant(scenario.tenants().get(i).name(), clients.allowancePerSecond()[i]));
        }
        long cold = scenario.kinds().stream().mapToLong(WorkerKind::cold).max().orElse(0);
        double coldShare = scenario.kinds().stream()
                .mapToDouble(WorkerKind::coldFrom)
                .min()
                .orElse(1);
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

    // ---- cluster members ----

    Worker worker(String address) {
        return workers.get(address);
    }

    List<EmulatedDispatcher> dispatchers() {
        return dispatchers;
    }

    List<Worker> upWorkers() {
        return workers.values().stream().filter(Worker::up).toList();
    }

    double requestsPerSecond(int tenant) {
        double shares =
                scenario.tenants().stream().mapToDouble(Scenario.Tenant::share).sum();
        return capacity
                * scenario.load().share()
                / (scenario.meanWork() / 1e6)
                * scenario.tenants().get(tenant).share()
                / shares;
    }

    /** Adds a worker that replaces an old one under a new address. */
    Worker addReplacement(Worker old) {
        Worker w = new Worker(
                address(1, replacementCount),
                old.zone,
                old.kindIndex,
                old.cell,
                scenario,
                scheduler,
                streams.of("successor", replacementCount));
        replacementCount++;
        workers.put(w.address, w);
        return w;
    }

    /** Crashes an overloaded cold worker, which restarts after a delay. */
    void overload(Worker w) {
        w.crash();
        registry.changed(w, registry.settings().silentNotice());
        scheduler.after(OVERLOAD_RESTART_US, () -> {
            if (!w.up()) {
                w.start(true);
                registry.changed(w, registry.settings().add());
            }
        });
    }

    void restartDispatcher(EmulatedDispatcher dispatcher, long down) {
        if (!dispatcher.up()) {
            return;
        }
        List<WorkerInfo> known = dispatcher.kill();
        registry.cancelWatch(dispatcher);
        downSince.put(dispatcher, scheduler.now());
        scheduler.after(down, () -> {
            downSince.remove(dispatcher);
            dispatcher.start(known);
        });
    }

    /**
     * The dispatcher that the clients' front end picks for a client of a zone, or null if all are known to be
     * dead. It still picks a dead dispatcher until it has noticed the failure.
     */
    EmulatedDispatcher chooseDispatcher(int zone, UniformRandomProvider random) {
        List<EmulatedDispatcher> near = notKnownDead(zone);
        List<EmulatedDispatcher> all = near.isEmpty() ? notKnownDead(-1) : near;
        return all.isEmpty()
                ? null
                : scenario.load().dispatcherSkew().isUniform()
                        ? all.get(random.nextInt(all.size()))
                        : weightedChoice(all, random.nextDouble());
    }

    private EmulatedDispatcher weightedChoice(List<EmulatedDispatcher> dispatchers, double at) {
        double left = at * dispatchers.stream().mapToDouble(this::weight).sum();
        for (EmulatedDispatcher dispatcher : dispatchers) {
            left -= weight(dispatcher);
            if (left < 0) {
                return dispatcher;
            }
        }
        return dispatchers.get(0);
    }

    private double weight(EmulatedDispatcher dispatcher) {
        return scenario.load().dispatcherSkew().weight(dispatcher.number, scenario.dispatchers());
    }

    private List<EmulatedDispatcher> notKnownDead(int zone) {
        return dispatchers.stream()
                .filter(n -> (zone < 0 || n.zone == zone)
                        && scheduler.now() - downSince.getOrDefault(n, scheduler.now())
                                < scenario.network().frontNotice())
                .toList();
    }

    void sendDatagram(EmulatedDispatcher from, int to, byte[] payload) {
        statistics.datagram(payload.length);
        if (to >= 0 && to < dispatchers.size()) {
            EmulatedDispatcher peer = dispatchers.get(to);
            for (long delay : network.datagramDelays(scheduler.now(), from.number, to)) {
                scheduler.after(
                        network.delayBetween(from.zone, peer.zone) + delay,
                        () -> peer.peerMessageReceived(from.number, payload));
            }
        }
    }
}
