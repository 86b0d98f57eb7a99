package saffronferry.rig;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.json.JSONArray;
import org.json.JSONObject;
import saffronferry.lab.scenario.PeerLinks;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.scenario.Scenario.WorkerKind;

/**
 * Runs one scenario with real processes, in real time, on loopback addresses that it chooses itself. When
 * {@link #run} returns, all started processes have ended and the temporary folder is deleted.
 */
public final class FaultRig {
    /** Limit for the whole fleet to become ready; long, because the machine may be busy. */
    private static final long STARTUP_TIMEOUT_MS = 90_000;

    private static final long SAMPLE_INTERVAL_MS = 50;
    private static final long SETTLE_DELAY_MS = 2_000;

    final Vertx vertx;
    final Scenario scenario;
    final List<DispatcherProcess> dispatchers = new ArrayList<>();
    final List<StandInDiscovery> discoveries = new ArrayList<>();
    final Map<String, StandInWorker> workers = new LinkedHashMap<>();
    final RunVerifier verifier;
    final SplittableRandom random;
    private final Context context;
    private final ProcessReaper reaper;
    private final Path folder;
    private final String addressBlock;
    private final DatagramRelay relay;
    private final LoadGenerator loadGenerator;
    private final HttpClient probeClient;
    private final long clockOffsetUs = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;
    /** Null: resource usage is not measured. */
    private final UsageOptions usageOptions;

    private final FleetResourceUsage resourceUsage;
    private final double capacity;
    private JSONArray processes;
    private int replacementCount;
    private boolean closed;

    /**
     * How the resource usage of the dispatchers is measured during a run.
     *
     * @param startCommand a deployment's shell command that starts a dispatcher; null: the program on this class
     *     path
     * @param settleSeconds seconds from the start of the load to the first measurement
     */
    public record UsageOptions(String startCommand, double settleSeconds) {}

    private FaultRig(Scenario scenario, long seed, UsageOptions usageOptions) throws IOException {
        this.scenario = scenario;
        this.usageOptions = usageOptions;
        random = new SplittableRandom(seed);
        vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
        context = vertx.getOrCreateContext();
        folder = Files.createTempDirectory("saffronferry-rig");
        reaper = new ProcessReaper();
        addressBlock = addressBlock();
        verifier = new RunVerifier(scenario, workers, this::now);
        relay = new DatagramRelay(vertx, scenario.dispatchers(), this::now, random.split());
        for (int i = 0; i < scenario.dispatchers(); i++) {
            String host = addressBlock + (i + 1);
            Path dispatcherFolder = Files.createDirectory(folder.resolve("dispatcher-" + i));
            dispatchers.add(
                    usageOptions == null
                            ? new DispatcherProcess(i, host, freePort(host), freePort(host), dispatcherFolder)
                            : new DispatcherProcess(
                                    i,
                                    host,
                                    freePort(host),
                                    freePort(host),
                                    freePort(host),
                                    dispatcherFolder,
                                    usageOptions.startCommand()));
            discoveries.add(new StandInDiscovery(vertx, i, verifier));
        }
        createWorkers();
        capacity = workers.values().stream()
                .mapToDouble(w -> w.model.warmCapacity())
                .sum();
        loadGenerator = new LoadGenerator(
                vertx,
                scenario,
                dispatchers,
                verifier,
                this::now,
                capacity * scenario.load().share() / (scenario.meanWork() / 1e6),
                random.split());
        probeClient = vertx.createHttpClient(
                new HttpClientOptions().setKeepAlive(false).setConnectTimeout(1_000));
        resourceUsage = new FleetResourceUsage(dispatchers, probeClient);
    }

    /** Microseconds since the epoch, from a monotonic clock. */
    long now() {
        return clockOffsetUs + System.nanoTime() / 1000;
    }

    /** A loopback address block per rig, so that concurrent rigs and tests do not share addresses. */
    static String addressBlock() {
        long seed = ProcessHandle.current().pid() * 31 + System.nanoTime() / 1000;
        return "127." + (64 + seed % 150) + "." + (1 + seed / 150 % 250) + ".";
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket tcp = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            DatagramSocket udp = new DatagramSocket(tcp.getLocalPort(), InetAddress.getByName(host));
            udp.close();
            return tcp.getLocalPort();
        }
    }

    private String standInHost() {
        return addressBlock + "250";
    }

    private void createWorkers() {
        double[] credit = new double[scenario.kinds().size()];
        double shares = scenario.kinds().stream().mapToDouble(WorkerKind::share).sum();
        int zones = scenario.zones().size();
        for (int i = 0; i < scenario.workers(); i++) {
            int kind = 0;
            for (int k = 0; k < credit.length; k++) {
                credit[k] += scenario.kinds().get(k).share() / shares;
                kind = credit[k] > credit[kind] ? k : kind;
            }
            credit[kind]--;
            addWorker("w" + i, i % zones, kind, i % zones * 1_000_000 + i / zones / scenario.cellSize(), 0);
        }
    }

    private StandInWorker addWorker(String id, int zone, int kind, int cell, long startedAt) {
        WorkerKind k = scenario.kinds().get(kind);
        double speed = k.speed() * (1 + k.speedCv() * Math.sqrt(3) * (2 * random.nextDouble() - 1));
        StandInWorker w = new StandInWorker(vertx, this::now, verifier, id, zone, kind, cell, k, speed, startedAt);
        workers.put(id, w);
        return w;
    }

    /** Starts a cold worker with a new id in the place of an old one; completes once it listens. */
    Future<StandInWorker> startReplacement(StandInWorker old) {
        StandInWorker w = addWorker("s" + replacementCount++, old.zone, old.kindIndex, old.cell, now());
        return w.listen(standInHost()).map(w);
    }

    JSONObject entry(StandInWorker w, String phase) {
        return new JSONObject()
                .put("id", w.id)
                .put("host_port", standInHost() + ":" + w.port())
                .put("locality", scenario.zones().get(w.zone))
                .put("flavor", scenario.kinds().get(w.kindIndex).name())
                .put("cell", w.cell)
                .put("phase", phase)
                .put("size", 1.0)
                .put("up_since_ms", w.startedAt / 1000);
    }

    /** Announces a worker's phase to all discovery instances after a delay in microseconds. */
    void announce(StandInWorker w, String phase, long delay) {
        JSONObject entry = entry(w, phase);
        vertx.setTimer(Math.max(1, delay / 1000), t -> discoveries.forEach(d -> d.announce(entry)));
    }

    /**
     * Runs a scenario in real time.
     *
     * @param logFolder the folder for the dispatchers' logs, or null
     * @return the observed results; {@code held} is true if every rule and bound held
     * @throws IOException if processes or sockets cannot be created
     */
    public static JSONObject run(Scenario scenario, long seed, Path logFolder)
            throws IOException, InterruptedException {
        return run(scenario, seed, logFolder, null);
    }

    /**
     * Runs a scenario in real time and, if {@code usageOptions} is not null, adds the resource usage of each
     * dispatcher as {@code processes}.
     */
    public static JSONObject run(Scenario scenario, long seed, Path logFolder, UsageOptions usageOptions)
            throws IOException, InterruptedException {
        FaultRig rig = new FaultRig(scenario.withRandomFaults(seed), seed, usageOptions);
        Thread hook = new Thread(rig::closeQuietly);
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            return rig.execute()
                    .put("scenario", scenario.name())
                    .put("seed", seed)
                    .put(
                            "drawn",
                            new JSONArray(
                                    rig
                                            .scenario
                                            .faults()
                                            .subList(
                                                    scenario.faults().size(),
                                                    rig.scenario.faults().size())
                                            .stream()
                                            .map(Object::toString)
                                            .toList()));
        } finally {
            rig.close(logFolder);
            Runtime.getRuntime().removeShutdownHook(hook);
        }
    }

    private <T> T await(Future<T> future, long ms) throws IOException, InterruptedException {
        try {
            return future.toCompletionStage().toCompletableFuture().get(ms, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new IOException("fault rig failed: " + e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException("fault rig timed out after " + ms + " ms");
        }
    }

    private <T> Future<T> onLoop(Supplier<Future<T>> task) {
        Promise<T> promise = Promise.promise();
        context.runOnContext(v -> task.get().onComplete(promise));
        return promise.future();
    }

    private JSONObject execute() throws IOException, InterruptedException {
        await(
                onLoop(() -> {
                    List<Future<?>> all = new ArrayList<>();
                    workers.values().forEach(w -> all.add(w.listen(standInHost())));
                    discoveries.forEach(d -> all.add(d.listen(standInHost())));
                    all.add(relay.open(standInHost()));
                    return Future.all(all);
                }),
                10_000);
        await(
                onLoop(() -> {
                    workers.values().forEach(w -> discoveries.forEach(d -> d.announce(entry(w, "SERVING"))));
                    return Future.succeededFuture();
                }),
                10_000);
        for (DispatcherProcess d : dispatchers) {
            relay.setTarget(d.number, d.host, d.peerPort);
            launch(d);
        }
        long deadline = now() + STARTUP_TIMEOUT_MS * 1000;
        for (DispatcherProcess d : dispatchers) {
            while (!await(onLoop(() -> isServing(d)), 10_000)) {
                if (now() > deadline || !d.alive()) {
                    throw new IOException("dispatcher " + d.number + " did not become ready: " + d.log());
                }
                Thread.sleep(50);
            }
        }
        Promise<JSONObject> finished = Promise.promise();
        context.runOnContext(v -> vertx.setTimer(SETTLE_DELAY_MS, t -> runScenario(finished)));
        return await(finished.future(), scenario.length() / 1000 + 120_000);
    }

    /** Starts a dispatcher process with the current worker list of its discovery instance. */
    void launch(DispatcherProcess d) throws IOException {
        d.configure(config(d));
        verifier.onUpdateSent(d.number, discoveries.get(d.number).fullList());
        d.start();
        reaper.track(dispatchers.stream()
                .filter(DispatcherProcess::alive)
                .map(DispatcherProcess::process)
                .toList());
    }

    /** The configuration for the next start of a dispatcher. */
    private JSONObject config(DispatcherProcess d) {
        JSONArray peers = new JSONArray();
        for (DispatcherProcess other : dispatchers) {
            peers.put(other == d ? d.host + ":" + d.peerPort : relay.address(other.number, d.number, standInHost()));
        }
        JSONObject config = new JSONObject();
        if (d.consolePort > 0) {
            config.put("console", d.host + ":" + d.consolePort);
        }
        return config.put("name", "n" + d.number)
                .put("listen", d.host + ":" + d.port)
                .put("discovery", discoveries.get(d.number).address(standInHost()))
                .put("seed", Long.toHexString(random.nextLong()))
                .put("limits", new JSONObject(Map.of("cores", 1.0, "memory_mb", 192, "sockets", 1024)))
                .put("peer_listen", d.host + ":" + d.peerPort)
                .put("peers", peers)
                .put("known", discoveries.get(d.number).fullList())
                .put("settings", ScenarioSettings.of(scenario, d.number, capacity / (scenario.meanWork() / 1e6)));
    }

    /** Whether the dispatcher's readiness endpoint answers 200. */
    Future<Boolean> isServing(DispatcherProcess d) {
        return probeClient
                .request(HttpMethod.GET, d.port, d.host, "/up")
                .compose(q -> q.send())
                .map(answer -> answer.statusCode() == 200)
                .otherwise(false);
    }

    private void runScenario(Promise<JSONObject> finished) {
        long start = now();
        verifier.begin(start, w -> {
            w.crash();
            announce(w, "DELETED", scenario.discovery().silentNotice());
        });
        relay.setLinks(new PeerLinks(scenario, start));
        new FaultInjector(this, loadGenerator).scheduleAll();
        loadGenerator.start(start + scenario.length());
        if (usageOptions != null) {
            vertx.setTimer(
                    Math.max(1, Math.round(usageOptions.settleSeconds() * 1000)),
                    t -> resourceUsage.begin().onFailure(finished::tryFail));
            vertx.setTimer(
                    scenario.length() / 1000,
                    t -> resourceUsage.end().onSuccess(each -> processes = each).onFailure(finished::tryFail));
        }
        vertx.setPeriodic(SAMPLE_INTERVAL_MS, t -> {
            verifier.sampleColdWorkers(now());
            if (now() > start + scenario.length()
                    && verifier.openRequestCount() == 0
                    && (usageOptions == null || processes != null)) {
                vertx.cancelTimer(t);
                finished.tryComplete(verifier.result()
                        .put("dispatchers", dispatchers.size())
                        .put("workers", scenario.workers())
                        .put("datagrams", relay.datagrams)
                        .put("datagram_bytes", relay.bytes)
                        .put("datagrams_too_long", relay.oversized)
                        .putOpt("processes", processes));
            }
        });
    }

    private void closeQuietly() {
        try {
            close(null);
        } catch (IOException | InterruptedException e) {
            // the JVM is shutting down; the process reaper ends the remaining processes
        }
    }

    /** Ends all processes and servers and deletes the folder, whether or not the run succeeded. */
    private synchronized void close(Path logFolder) throws IOException, InterruptedException {
        if (closed) {
            return;
        }
        closed = true;
        relay.close();
        for (DispatcherProcess d : dispatchers) {
            d.kill();
        }
        for (DispatcherProcess d : dispatchers) {
            d.killAndWait();
            if (logFolder != null) {
                Files.createDirectories(logFolder);
                Files.writeString(logFolder.resolve("dispatcher-" + d.number + ".log"), d.log());
            }
        }
        reaper.close();
        vertx.close().toCompletionStage().toCompletableFuture().join();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
