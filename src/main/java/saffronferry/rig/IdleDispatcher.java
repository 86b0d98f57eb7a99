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
 * One real dispatcher that nobody asks anything, beside a discovery whose list changes: what it spends then.
 * All entries of the list have the address of one stand-in worker, which answers probes. What it starts has
 * ended, and its folder is gone, when {@link #run} returns.
 */
public final class IdleDispatcher {
    /**
     * How it is played.
     *
     * @param run a deployment's line that starts the dispatcher; null: the program that this one is part of
     * @param changesPerS changes of the list a second: a worker drains, is gone, another comes, in turn
     * @param settle seconds between the dispatcher's yes to {@code /up} and the first look
     */
    public record Options(String run, double changesPerS, double settle) {}

    private static final long START_MS = 90_000;
    private static final int CALL_MS = 10_000;

    private final Scenario scenario;
    private final Options options;
    private final SplittableRandom random;
    private final Vertx vertx = Vertx.vertx(
            new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
    private final String host = FaultRig.block() + "1";
    private final Path folder = Files.createTempDirectory("saffronferry-idle");
    private final ProcessReaper guardian = new ProcessReaper();
    private final DispatcherProcess dispatcher;
    private final StandInDiscovery discovery;
    private final StandInWorker worker;
    private final HttpClient client;
    private final List<JSONObject> listed = new ArrayList<>();
    private JSONObject leaving;
    private double startSeconds;
    private int changes;
    private boolean closed;

    private IdleDispatcher(Scenario scenario, long seed, Options options) throws IOException {
        this.scenario = scenario;
        this.options = options;
        random = new SplittableRandom(seed);
        dispatcher = new DispatcherProcess(
                0, host, FaultRig.freePort(host), FaultRig.freePort(host), FaultRig.freePort(host), folder, options.run());
        discovery = new StandInDiscovery(vertx, 0, (d, update) -> {});
        worker = new StandInWorker(
                vertx,
                IdleDispatcher::now,
                new StandInWorker.Watcher() {
                    @Override
                    public double arrived(StandInWorker at, String txn) {
                        return -1; // nobody sends jobs here
                    }

                    @Override
                    public void left(StandInWorker at, String txn, String how) {}
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
     * Plays it in real time; the scenario's length is how long is measured.
     *
     * @return the play's sizes and its {@code figures}, units in their names
     * @throws IOException if processes or sockets cannot be had, or the dispatcher ends
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
                add(i, 0);
            }
            return null;
        });
        dispatcher.configure(config());
        dispatcher.start();
        guardian.alive(List.of(dispatcher.process()));
        long until = System.nanoTime() + START_MS * 1_000_000;
        while (!up()) {
            if (System.nanoTime() > until || !dispatcher.alive()) {
                throw new IOException("the dispatcher does not start: " + dispatcher.log());
            }
            Thread.sleep(50);
        }
        startSeconds = ProcessUsage.of(dispatcher.process().pid()).cpuSeconds();
        if (options.changesPerS() > 0) {
            vertx.setPeriodic(Math.max(1, Math.round(1000 / options.changesPerS())), t -> change());
        }
        Thread.sleep(Math.round(options.settle() * 1000));
        return measured();
    }

    private JSONObject measured() throws IOException, InterruptedException {
        long pid = dispatcher.process().pid();
        long begun = System.nanoTime();
        ControlTraffic before = onLoop(this::seen);
        ProcessUsage first = ProcessUsage.of(pid);
        Thread.sleep(scenario.length() / 1000);
        ProcessUsage last = ProcessUsage.of(pid);
        double seconds = (System.nanoTime() - begun) / 1e9;
        ControlTraffic after = onLoop(this::seen);
        JSONObject figures = new JSONObject()
                .put("core_percent", rounded(last.corePercent(first, seconds)))
                .put("start_cpu_s", startSeconds)
                .put("resident_mb", rounded(last.residentMb()))
                .put("resident_peak_mb", rounded(last.peakMb()))
                .put("wake_ups_per_s", rounded(last.wakeUps(first) / seconds))
                .put("list_whole_bytes", after.whole)
                .put("list_bytes_in", after.list - before.list)
                .put("list_bytes_in_per_s", rounded((after.list - before.list) / seconds))
                .put("list_changes", after.changes - before.changes)
                .put("probes", after.probes - before.probes);
        last.corePercentByThread(first, seconds)
                .forEach((kind, percent) -> figures.put("core_percent_" + kind, rounded(percent)));
        console().forEach(figures::put);
        return new JSONObject()
                .put("dispatchers", 1)
                .put("workers", scenario.workers())
                .put("zones", scenario.zones().size())
                .put("settled_s", options.settle())
                .put("changes_per_s", options.changesPerS())
                .put("seconds", rounded(seconds))
                .put("figures", figures);
    }

    /** What the stand-ins have seen until now. */
    private record ControlTraffic(long list, long whole, int changes, long probes) {}

    private ControlTraffic seen() {
        return new ControlTraffic(discovery.written(), discovery.whole().toString().length(), changes, worker.probes());
    }

    /** The dispatcher's own figures of its control, as its console tells them. */
    private Map<String, Object> console() throws IOException, InterruptedException {
        String text = await(client.request(HttpMethod.GET, dispatcher.consolePort, host, "/ops/stats")
                        .compose(q -> q.send())
                        .compose(a -> a.body()))
                .toString();
        return ControlMetrics.of(text);
    }

    private static double rounded(double value) {
        return Math.round(value * 1000) / 1000.0;
    }

    private JSONObject config() throws IOException, InterruptedException {
        JSONObject whole = onLoop(discovery::whole);
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

    private void add(int number, long startedAt) {
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
        listed.add(entry);
        discovery.changed(entry);
    }

    /** In turn: one drains, it is gone, another one comes, so that the list keeps its length. */
    private void change() {
        switch (changes++ % 3) {
            case 0 -> {
                leaving = listed.remove(random.nextInt(listed.size()));
                discovery.changed(new JSONObject(leaving.toString()).put("phase", "DRAINING"));
            }
            case 1 -> discovery.changed(new JSONObject(leaving.toString()).put("phase", "DELETED"));
            default -> add(scenario.workers() + changes / 3, now() / 1000);
        }
    }

    private boolean up() throws InterruptedException {
        try {
            return await(client.request(HttpMethod.GET, dispatcher.port, host, "/up")
                                    .compose(q -> q.send()))
                            .statusCode()
                    == 200;
        } catch (IOException e) {
            return false; // it does not listen yet
        }
    }

    private <T> T onLoop(Callable<T> what) throws IOException, InterruptedException {
        return await(Future.future(done -> vertx.runOnContext(v -> {
            try {
                done.complete(what.call());
            } catch (Exception e) {
                done.fail(e);
            }
        })));
    }

    private static <T> T await(Future<T> future) throws IOException, InterruptedException {
        try {
            return future.toCompletionStage().toCompletableFuture().get(CALL_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new IOException("cannot be played: " + e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException("cannot be played: it took over " + CALL_MS + " ms");
        }
    }

    private void closeQuietly() {
        try {
            close();
        } catch (IOException | InterruptedException e) {
            // it is being ended; the guardian sees to what is left
        }
    }

    private synchronized void close() throws IOException, InterruptedException {
        if (closed) {
            return;
        }
        closed = true;
        dispatcher.end();
        guardian.close();
        vertx.close().toCompletionStage().toCompletableFuture().join();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
