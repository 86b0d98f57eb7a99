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
import saffronferry.lab.scenario.Scenario.Kind;

/**
 * Plays one scenario with real processes, in real time, on addresses of this machine's loopback that it
 * chooses itself. All that it starts has ended, and its folder is gone, when {@link #run} returns.
 */
public final class FaultRig {
    /** So long a fleet may take until each of it serves, on a machine that is busy. */
    private static final long START_MS = 90_000;

    private static final long LOOK_MS = 50;
    private static final long SETTLE_MS = 2_000;

    final Vertx vertx;
    final Scenario scenario;
    final List<DispatcherProcess> dispatchers = new ArrayList<>();
    final List<StandInDiscovery> discoveries = new ArrayList<>();
    final Map<String, StandInWorker> workers = new LinkedHashMap<>();
    final RunVerifier judge;
    final SplittableRandom random;
    private final Context context;
    private final ProcessReaper guardian;
    private final Path folder;
    private final String block;
    private final DatagramRelay relay;
    private final LoadGenerator front;
    private final HttpClient prober;
    private final long epoch = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;
    private final UsageOptions measured; // null: nothing is
    private final FleetResourceUsage use;
    private final double capacity;
    private JSONArray processes;
    private int successors;
    private boolean closed;

    /**
     * What is measured beside the day.
     *
     * @param run a deployment's line that starts a dispatcher; null: the program that this one is part of
     * @param settle seconds from the start of the day to the first look
     */
    public record UsageOptions(String run, double settle) {}

    private FaultRig(Scenario scenario, long seed, UsageOptions measured) throws IOException {
        this.scenario = scenario;
        this.measured = measured;
        random = new SplittableRandom(seed);
        vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
        context = vertx.getOrCreateContext();
        folder = Files.createTempDirectory("saffronferry-rig");
        guardian = new ProcessReaper();
        block = block();
        judge = new RunVerifier(scenario, workers, this::now);
        relay = new DatagramRelay(vertx, scenario.dispatchers(), this::now, random.split());
        for (int i = 0; i < scenario.dispatchers(); i++) {
            String host = block + (i + 1);
            Path own = Files.createDirectory(folder.resolve("dispatcher-" + i));
            dispatchers.add(
                    measured == null
                            ? new DispatcherProcess(i, host, freePort(host), freePort(host), own)
                            : new DispatcherProcess(
                                    i, host, freePort(host), freePort(host), freePort(host), own, measured.run()));
            discoveries.add(new StandInDiscovery(vertx, i, judge));
        }
        makeWorkers();
        capacity = workers.values().stream().mapToDouble(w -> w.model.full()).sum();
        front = new LoadGenerator(
                vertx,
                scenario,
                dispatchers,
                judge,
                this::now,
                capacity * scenario.load().share() / (scenario.meanWork() / 1e6),
                random.split());
        prober = vertx.createHttpClient(
                new HttpClientOptions().setKeepAlive(false).setConnectTimeout(1_000));
        use = new FleetResourceUsage(dispatchers, prober);
    }

    /** Microseconds since 1970, from a clock that never goes back. */
    long now() {
        return epoch + System.nanoTime() / 1000;
    }

    /** A block of addresses of its own for each rig: two beside each other, or a test's, must not meet. */
    static String block() {
        long self = ProcessHandle.current().pid() * 31 + System.nanoTime() / 1000;
        return "127." + (64 + self % 150) + "." + (1 + self / 150 % 250) + ".";
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket tcp = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            DatagramSocket udp = new DatagramSocket(tcp.getLocalPort(), InetAddress.getByName(host));
            udp.close();
            return tcp.getLocalPort();
        }
    }

    private String side() {
        return block + "250";
    }

    private void makeWorkers() {
        double[] owed = new double[scenario.kinds().size()];
        double shares = scenario.kinds().stream().mapToDouble(Kind::share).sum();
        int zones = scenario.zones().size();
        for (int i = 0; i < scenario.workers(); i++) {
            int kind = 0;
            for (int k = 0; k < owed.length; k++) {
                owed[k] += scenario.kinds().get(k).share() / shares;
                kind = owed[k] > owed[kind] ? k : kind;
            }
            owed[kind]--;
            worker("w" + i, i % zones, kind, i % zones * 1_000_000 + i / zones / scenario.cellSize(), 0);
        }
    }

    private StandInWorker worker(String id, int zone, int kind, int cell, long startedAt) {
        Kind k = scenario.kinds().get(kind);
        double speed = k.speed() * (1 + k.speedCv() * Math.sqrt(3) * (2 * random.nextDouble() - 1));
        StandInWorker w = new StandInWorker(vertx, this::now, judge, id, zone, kind, cell, k, speed, startedAt);
        workers.put(id, w);
        return w;
    }

    /** A cold worker in an old one's place, by a name of its own; completes once it listens. */
    Future<StandInWorker> successor(StandInWorker old) {
        StandInWorker w = worker("s" + successors++, old.zone, old.kindIndex, old.cell, now());
        return w.listen(side()).map(w);
    }

    JSONObject entry(StandInWorker w, String phase) {
        return new JSONObject()
                .put("id", w.id)
                .put("host_port", side() + ":" + w.port())
                .put("locality", scenario.zones().get(w.zone))
                .put("flavor", scenario.kinds().get(w.kindIndex).name())
                .put("cell", w.cell)
                .put("phase", phase)
                .put("size", 1.0)
                .put("up_since_ms", w.startedAt / 1000);
    }

    /** Discovery learns of a worker's state after so many microseconds. */
    void listed(StandInWorker w, String phase, long after) {
        JSONObject entry = entry(w, phase);
        vertx.setTimer(Math.max(1, after / 1000), t -> discoveries.forEach(d -> d.changed(entry)));
    }

    /**
     * Plays a scenario in real time.
     *
     * @param keepLogs where the dispatchers' logs go, or null
     * @return what was seen; {@code held} says whether every rule and bound held
     * @throws IOException if processes or sockets cannot be had
     */
    public static JSONObject run(Scenario scenario, long seed, Path keepLogs)
            throws IOException, InterruptedException {
        return run(scenario, seed, keepLogs, null);
    }

    /** The same; where something is measured {@code processes} has what each dispatcher spent. */
    public static JSONObject run(Scenario scenario, long seed, Path keepLogs, UsageOptions measured)
            throws IOException, InterruptedException {
        FaultRig rig = new FaultRig(scenario.drawn(seed), seed, measured);
        Thread hook = new Thread(rig::closeQuietly);
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            return rig.execute()
                    .put("scenario", scenario.name())
                    .put("seed", seed)
                    .put(
                            "drawn",
                            new JSONArray(rig
                                    .scenario
                                    .troubles()
                                    .subList(
                                            scenario.troubles().size(),
                                            rig.scenario.troubles().size())
                                    .stream()
                                    .map(Object::toString)
                                    .toList()));
        } finally {
            rig.close(keepLogs);
            Runtime.getRuntime().removeShutdownHook(hook);
        }
    }

    private <T> T await(Future<T> future, long ms) throws IOException, InterruptedException {
        try {
            return future.toCompletionStage().toCompletableFuture().get(ms, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new IOException("the rig cannot run: " + e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException("the rig cannot run: it took over " + ms + " ms");
        }
    }

    private <T> Future<T> onLoop(Supplier<Future<T>> what) {
        Promise<T> promise = Promise.promise();
        context.runOnContext(v -> what.get().onComplete(promise));
        return promise.future();
    }

    private JSONObject execute() throws IOException, InterruptedException {
        await(
                onLoop(() -> {
                    List<Future<?>> all = new ArrayList<>();
                    workers.values().forEach(w -> all.add(w.listen(side())));
                    discoveries.forEach(d -> all.add(d.listen(side())));
                    all.add(relay.open(side()));
                    return Future.all(all);
                }),
                10_000);
        await(
                onLoop(() -> {
                    workers.values().forEach(w -> discoveries.forEach(d -> d.changed(entry(w, "SERVING"))));
                    return Future.succeededFuture();
                }),
                10_000);
        for (DispatcherProcess d : dispatchers) {
            relay.at(d.number, d.host, d.peerPort);
            launch(d);
        }
        long until = now() + START_MS * 1000;
        for (DispatcherProcess d : dispatchers) {
            while (!await(onLoop(() -> up(d)), 10_000)) {
                if (now() > until || !d.alive()) {
                    throw new IOException("dispatcher " + d.number + " does not start: " + d.log());
                }
                Thread.sleep(50);
            }
        }
        Promise<JSONObject> over = Promise.promise();
        context.runOnContext(v -> vertx.setTimer(SETTLE_MS, t -> day(over)));
        return await(over.future(), scenario.length() / 1000 + 120_000);
    }

    /** Starts a dispatcher's process, with the list as discovery would tell it. */
    void launch(DispatcherProcess d) throws IOException {
        d.configure(config(d));
        judge.told(d.number, discoveries.get(d.number).whole());
        d.start();
        guardian.alive(dispatchers.stream()
                .filter(DispatcherProcess::alive)
                .map(DispatcherProcess::process)
                .toList());
    }

    /** The configuration of a dispatcher's next life. */
    private JSONObject config(DispatcherProcess d) {
        JSONArray peers = new JSONArray();
        for (DispatcherProcess other : dispatchers) {
            peers.put(other == d ? d.host + ":" + d.peerPort : relay.address(other.number, d.number, side()));
        }
        JSONObject config = new JSONObject();
        if (d.consolePort > 0) {
            config.put("console", d.host + ":" + d.consolePort);
        }
        return config.put("name", "n" + d.number)
                .put("listen", d.host + ":" + d.port)
                .put("discovery", discoveries.get(d.number).address(side()))
                .put("seed", Long.toHexString(random.nextLong()))
                .put("limits", new JSONObject(Map.of("cores", 1.0, "memory_mb", 192, "sockets", 1024)))
                .put("peer_listen", d.host + ":" + d.peerPort)
                .put("peers", peers)
                .put("known", discoveries.get(d.number).whole())
                .put("settings", ScenarioSettings.of(scenario, d.number, capacity / (scenario.meanWork() / 1e6)));
    }

    /** Whether it answers that it serves. */
    Future<Boolean> up(DispatcherProcess d) {
        return prober.request(HttpMethod.GET, d.port, d.host, "/up")
                .compose(q -> q.send())
                .map(answer -> answer.statusCode() == 200)
                .otherwise(false);
    }

    private void day(Promise<JSONObject> over) {
        long start = now();
        judge.begin(start, w -> {
            w.crash();
            listed(w, "DELETED", scenario.discovery().silentNotice());
        });
        relay.trouble(new PeerLinks(scenario, start));
        new FaultInjector(this, front).plan();
        front.load(start + scenario.length());
        if (measured != null) {
            vertx.setTimer(
                    Math.max(1, Math.round(measured.settle() * 1000)),
                    t -> use.begin().onFailure(over::tryFail));
            vertx.setTimer(
                    scenario.length() / 1000,
                    t -> use.end().onSuccess(each -> processes = each).onFailure(over::tryFail));
        }
        vertx.setPeriodic(LOOK_MS, t -> {
            judge.look(now());
            if (now() > start + scenario.length()
                    && judge.unanswered() == 0
                    && (measured == null || processes != null)) {
                vertx.cancelTimer(t);
                over.tryComplete(judge.verdict()
                        .put("dispatchers", dispatchers.size())
                        .put("workers", scenario.workers())
                        .put("datagrams", relay.datagrams)
                        .put("datagram_bytes", relay.bytes)
                        .put("datagrams_too_long", relay.tooLong)
                        .putOpt("processes", processes));
            }
        });
    }

    private void closeQuietly() {
        try {
            close(null);
        } catch (IOException | InterruptedException e) {
            // the rig is being ended; the guardian sees to what is left
        }
    }

    /** Ends all that was started, whatever became of the day. */
    private synchronized void close(Path keepLogs) throws IOException, InterruptedException {
        if (closed) {
            return;
        }
        closed = true;
        relay.close();
        for (DispatcherProcess d : dispatchers) {
            d.kill();
        }
        for (DispatcherProcess d : dispatchers) {
            d.end();
            if (keepLogs != null) {
                Files.createDirectories(keepLogs);
                Files.writeString(keepLogs.resolve("dispatcher-" + d.number + ".log"), d.log());
            }
        }
        guardian.close();
        vertx.close().toCompletionStage().toCompletableFuture().join();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
