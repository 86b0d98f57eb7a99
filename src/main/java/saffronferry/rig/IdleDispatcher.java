package saffronferry.rig;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import org.json.JSONArray;
import org.json.JSONObject;
import saffronferry.lab.scenario.Scenario;

/**
 * Measures the resource usage of one real dispatcher that receives no requests while its worker list changes.
 * All entries of the list have the address of one stand-in worker, which answers probes. When {@link #run}
 * returns, the process has ended and the temporary folder is deleted.
 */
public final class IdleDispatcher {
    /**
     * How the measurement is run.
     *
     * @param startCommand a deployment's shell command that starts the dispatcher; null: the program on this
     *     class path
     * @param changesPerSecond worker list changes per second; in turn a worker drains, is deleted, and another
     *     one is added
     * @param settleSeconds seconds from the dispatcher's readiness to the first measurement
     */
    public record Options(String startCommand, double changesPerSecond, double settleSeconds) {}

    private static final long STARTUP_TIMEOUT_MS = 90_000;
    private static final int CALL_TIMEOUT_MS = 10_000;

    private final Scenario scenario;
    private final Options options;
    private final SplittableRandom random;
    private final Vertx vertx = Vertx.vertx(
            new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
    private final String host = FaultRig.addressBlock() + "1";
    private final Path folder = Files.createTempDirectory("saffronferry-idle");
    private final ProcessReaper reaper = new ProcessReaper();
    private final DispatcherProcess dispatcher;
    private final StandInDiscovery discovery;
    private final StandInWorker worker;
    private final HttpClient client;
    private final List<JSONObject> listedWorkers = new ArrayList<>();
    private JSONObject drainingWorker;
    private double startSeconds;
    private int changes;
    private boolean closed;

    private IdleDispatcher(Scenario scenario, long seed, Options options) throws IOException {
        this.scenario = scenario;
        this.options = options;
        random = new SplittableRandom(seed);
        dispatcher = new DispatcherProcess(
                0,
                host,
                FaultRig.freePort(host),
                FaultRig.freePort(host),
                FaultRig.freePort(host),
                folder,
                options.startCommand());
        discovery = new StandInDiscovery(vertx, 0, (d, update) -> {});
        worker = new StandInWorker(
                vertx,
                IdleDispatcher::now,
                new StandInWorker.JobListener() {
                    @Override
                    public double onJobArrived(StandInWorker at, String txn) {
                        return -1; // no client sends jobs in this measurement
                    }

                    @Override
                    public void onJobEnded(StandInWorker at, String txn, String ending) {}
                },
                "all",
                0,
                0,
                0,
                scenario.kinds().get(0),
                1,
                0);
        client = vertx.createHttpClient(
                new HttpClientOptions().setKeepAlive(false).setConnectTimeout(1_000));
    }

    private static long now() {
        return System.currentTimeMillis() * 1000;
    }

    /**
     * Runs the measurement in real time, for the length of the scenario.
     *
     * @return the sizes of the run and its {@code figures}, with units in their names
     * @throws IOException if processes or sockets cannot be created, or the dispatcher ends
     */
    public static JSONObject run(Scenario scenario, long seed, Options options)
            throws IOException, InterruptedException {
        IdleDispatcher idle = new IdleDispatcher(scenario, seed, options);
        Thread hook = new Thread(idle::closeQuietly);
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            return idle.execute();
        } finally {
            idle.close();
            Runtime.getRuntime().removeShutdownHook(hook);
        }
    }

    private JSONObject execute() throws IOException, InterruptedException {
        await(Future.all(discovery.listen(host), worker.listen(host)));
        onLoop(() -> {
            for (int i = 0; i < scenario.workers(); i++) {
                addWorker(i, 0);
            }
            return null;
        });
        dispatcher.configure(config());
        dispatcher.start();
        reaper.track(List.of(dispatcher.process()));
        long deadline = System.nanoTime() + STARTUP_TIMEOUT_MS * 1_000_000;
        while (!isServing()) {
            if (System.nanoTime() > deadline || !dispatcher.alive()) {
                throw new IOException("dispatcher did not become ready: " + dispatcher.log());
            }
            Thread.sleep(50);
        }
        startSeconds = ProcessUsage.of(dispatcher.process().pid()).cpuSeconds();
        if (options.changesPerSecond() > 0) {
            vertx.setPeriodic(Math.max(1, Math.round(1000 / options.changesPerSecond())), t -> applyNextChange());
        }
        Thread.sleep(Math.round(options.settleSeconds() * 1000));
        return measure();
    }

    private JSONObject measure() throws IOException, InterruptedException {
        long pid = dispatcher.process().pid();
        long startNanos = System.nanoTime();
        ControlTraffic before = onLoop(this::controlTraffic);
        ProcessUsage first = ProcessUsage.of(pid);
        Thread.sleep(scenario.length() / 1000);
        ProcessUsage last = ProcessUsage.of(pid);
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        ControlTraffic after = onLoop(this::controlTraffic);
        JSONObject figures = new JSONObject()
                .put("core_percent", rounded(last.corePercent(first, seconds)))
                .put("start_cpu_s", startSeconds)
                .put("resident_mb", rounded(last.residentMb()))
                .put("resident_peak_mb", rounded(last.peakMb()))
                .put("wake_ups_per_s", rounded(last.wakeUps(first) / seconds))
                .put("list_whole_bytes", after.fullListBytes)
                .put("list_bytes_in", after.listBytes - before.listBytes)
                .put("list_bytes_in_per_s", rounded((after.listBytes - before.listBytes) / seconds))
                .put("list_changes", after.changes - before.changes)
                .put("probes", after.probes - before.probes);
        last.corePercentByThread(first, seconds)
                .forEach((kind, percent) -> figures.put("core_percent_" + kind, rounded(percent)));
        console().forEach(figures::put);
        return new JSONObject()
                .put("dispatchers", 1)
                .put("workers", scenario.workers())
                .put("zones", scenario.zones().size())
                .put("settled_s", options.settleSeconds())
                .put("changes_per_s", options.changesPerSecond())
                .put("seconds", rounded(seconds))
                .put("figures", figures);
    }

    /** Totals counted by the stand-in discovery and worker. */
    private record ControlTraffic(long listBytes, long fullListBytes, int changes, long probes) {}

    private ControlTraffic controlTraffic() {
        return new ControlTraffic(
                discovery.writtenBytes(), discovery.fullList().toString().length(), changes, worker.probeCount());
    }

    /** The dispatcher's own control metrics, read from its console. */
    private Map<String, Object> console() throws IOException, InterruptedException {
        String text = await(client.request(HttpMethod.GET, dispatcher.consolePort, host, "/ops/stats")
                        .compose(q -> q.send())
                        .compose(a -> a.body()))
                .toString();
        return ControlMetrics.parse(text);
    }

    private static double rounded(double value) {
        return Math.round(value * 1000) / 1000.0;
    }

    private JSONObject config() throws IOException, InterruptedException {
        JSONObject whole = onLoop(discovery::fullList);
        return new JSONObject()
                .put("name", "idle")
                .put("listen", host + ":" + dispatcher.port)
                .put("console", host + ":" + dispatcher.consolePort)
                .put("discovery", discovery.address(host))
                .put("seed", Long.toHexString(random.nextLong()))
                .put("limits", new JSONObject(Map.of("cores", 1.0, "memory_mb", 192, "sockets", 1024)))
                .put("peer_listen", host + ":" + dispatcher.peerPort)
                .put("peers", new JSONArray().put(host + ":" + dispatcher.peerPort))
                .put("known", whole)
                .put("settings", ScenarioSettings.of(scenario, 0, scenario.workers() / (scenario.meanWork() / 1e6)));
    }

    private void addWorker(int number, long startedAt) {
        int zones = scenario.zones().size();
        JSONObject entry = new JSONObject()
                .put("id", "w" + number)
                .put("host_port", host + ":" + worker.port())
                .put("locality", scenario.zones().get(number % zones))
                .put(
                        "flavor",
                        scenario.kinds().get(number % scenario.kinds().size()).name())
                .put("cell", number % zones * 1_000_000 + number / zones / scenario.cellSize())
                .put("phase", "SERVING")
                .put("size", 1.0)
                .put("up_since_ms", startedAt);
        listedWorkers.add(entry);
        discovery.announce(entry);
    }

    /** In turn drains a worker, deletes it and adds another one, so that the list keeps its length. */
    private void applyNextChange() {
        switch (changes++ % 3) {
            case 0 -> {
                drainingWorker = listedWorkers.remove(random.nextInt(listedWorkers.size()));
                discovery.announce(new JSONObject(drainingWorker.toString()).put("phase", "DRAINING"));
            }
            case 1 -> discovery.announce(new JSONObject(drainingWorker.toString()).put("phase", "DELETED"));
            default -> addWorker(scenario.workers() + changes / 3, now() / 1000);
        }
    }

    private boolean isServing() throws InterruptedException {
        try {
            return await(client.request(HttpMethod.GET, dispatcher.port, host, "/up")
                                    .compose(q -> q.send()))
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            return false; // not listening yet
        }
    }

    private <T> T onLoop(Callable<T> task) throws IOException, InterruptedException {
        return await(Future.future(done -> vertx.runOnContext(v -> {
            try {
                done.complete(task.call());
            } catch (Exception e) {
                done.fail(e);
            }
        })));
    }

    private static <T> T await(Future<T> future) throws IOException, InterruptedException {
        try {
            return future.toCompletionStage().toCompletableFuture().get(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new IOException("measurement failed: " + e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException("measurement call timed out after " + CALL_TIMEOUT_MS + " ms");
        }
    }

    private void closeQuietly() {
        try {
            close();
        } catch (IOException | InterruptedException e) {
            // the JVM is shutting down; the process reaper ends the dispatcher
        }
    }

    private synchronized void close() throws IOException, InterruptedException {
        if (closed) {
            return;
        }
        closed = true;
        dispatcher.killAndWait();
        reaper.close();
        vertx.close().toCompletionStage().toCompletableFuture().join();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
