package saffronferry.rig;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import saffronferry.lab.scenario.Scenario.WorkerKind;

/**
 * A worker with the platform's HTTP interface: accepts jobs by POST, reports their start and end, and answers
 * load probes. Runs on the rig's event loop.
 */
final class StandInWorker {
    /** Receives the jobs that reach a worker. */
    interface JobListener {
        /** A job was received; returns its work in microseconds at speed 1, or -1 if no client sent it. */
        double onJobArrived(StandInWorker at, String txn);

        /** A job ended: {@code served}, {@code full} (rejected) or {@code lost} (connection or process ended). */
        void onJobEnded(StandInWorker at, String txn, String ending);
    }

    /** Update interval of a cold worker, whose speed changes over time. */
    private static final long COLD_STEP_INTERVAL_MS = 50;

    final String id;
    final int kindIndex;
    final int zone;
    final int cell;
    /** 0: started long before the run. */
    final long startedAt;

    final WorkerModel model;
    private final Vertx vertx;
    private final LongSupplier clock;
    private final JobListener listener;
    private final HttpServer server;
    private final Map<WorkerModel.Job, HttpServerResponse> responses = new HashMap<>();
    private final Set<HttpConnection> connections = new HashSet<>();
    private long timer = -1;
    private boolean draining;
    private boolean down;
    private boolean reportsEmpty;
    private long probeCount;

    StandInWorker(
            Vertx vertx,
            LongSupplier clock,
            JobListener listener,
            String id,
            int zone,
            int kindIndex,
            int cell,
            WorkerKind kind,
            double speed,
            long startedAt) {
        this.vertx = vertx;
        this.clock = clock;
        this.listener = listener;
        this.id = id;
        this.zone = zone;
        this.kindIndex = kindIndex;
        this.cell = cell;
        this.startedAt = startedAt;
        model = new WorkerModel(kind, speed, startedAt, clock.getAsLong());
        server = vertx.createHttpServer()
                .connectionHandler(c -> {
                    connections.add(c);
                    c.closeHandler(v -> connections.remove(c));
                    c.exceptionHandler(e -> {});
                })
                .requestHandler(this::handle);
    }

    Future<?> listen(String host) {
        return server.listen(0, host);
    }

    int port() {
        return server.actualPort();
    }

    /** Number of load probes received. */
    long probeCount() {
        return probeCount;
    }

    boolean down() {
        return down;
    }

    boolean draining() {
        return draining;
    }

    /** Makes the worker answer load probes with an empty body. */
    void setReportsEmpty(boolean on) {
        reportsEmpty = on;
    }

    void setSlowdown(double factor) {
        advance();
        model.setSlowdown(factor);
        advance();
    }

    /** Rejects new jobs and finishes those that it has. */
    void drain() {
        draining = true;
    }

    /** Simulates the end of the process: open connections break, new ones are refused. */
    void crash() {
        if (down) {
            return;
        }
        down = true;
        vertx.cancelTimer(timer);
        responses.keySet().forEach(job -> listener.onJobEnded(this, job.id, "lost"));
        responses.clear();
        server.close();
        Set.copyOf(connections).forEach(HttpConnection::close);
    }

    private void handle(HttpServerRequest request) {
        request.exceptionHandler(e -> {});
        request.response().exceptionHandler(e -> {});
        if (request.path().equals("/metrics/load")) {
            probeCount++;
            advance();
            double busy = 1 - model.freeSlots() / (double) (model.freeSlots() + model.jobCount() + 1);
            request.response()
                    .end(
                            reportsEmpty
                                    ? ""
                                    : String.format(
                                            Locale.ROOT,
                                            "tps=%.1f,load_share=%.2f,x0=%d",
                                            1.0,
                                            busy,
                                            model.freeSlots()));
            return;
        }
        request.body().onSuccess(body -> acceptJob(request));
    }

    private void acceptJob(HttpServerRequest request) {
        String txn = request.getHeader("X-Txn");
        HttpServerResponse response = request.response();
        if (down || txn == null) {
            response.setStatusCode(404).end();
            return;
        }
        double work = listener.onJobArrived(this, txn);
        advance();
        if (work < 0) {
            response.setStatusCode(400).end();
            return;
        }
        WorkerModel.Job job = new WorkerModel.Job(txn, work);
        if (down || draining || !model.offer(job)) {
            listener.onJobEnded(this, txn, "full");
            response.setStatusCode(503).putHeader("X-Turned-Away", "1").end();
            return;
        }
        response.setChunked(true);
        responses.put(job, response);
        request.connection().closeHandler(v -> {
            connections.remove(request.connection());
            jobConnectionClosed(job);
        });
        advance();
    }

    private void jobConnectionClosed(WorkerModel.Job job) {
        if (responses.remove(job) != null) {
            advance();
            model.cancel(job);
            listener.onJobEnded(this, job.id, "lost");
            advance();
        }
    }

    /** Advances the model to now and reports finished and started jobs. */
    private void advance() {
        vertx.cancelTimer(timer);
        if (down) {
            return;
        }
        long now = clock.getAsLong();
        for (WorkerModel.Job job : model.advance(now)) {
            HttpServerResponse response = responses.remove(job);
            if (response != null) { // null if the connection has just broken
                listener.onJobEnded(this, job.id, "served");
                response.end(statusLine(job, "done\",\"result\":\"made"));
            }
        }
        for (WorkerModel.Job job : model.startQueued()) {
            HttpServerResponse response = responses.get(job);
            if (response != null) {
                response.write(statusLine(job, "started"));
            }
        }
        long next = model.microsUntilNextCompletion(now);
        if (next >= 0) {
            long ms = Math.max(1, (next + 999) / 1000);
            timer = vertx.setTimer(model.cold(now) ? Math.min(ms, COLD_STEP_INTERVAL_MS) : ms, t -> advance());
        }
    }

    /** Completed work and possible work until now. */
    double[] progress() {
        advance();
        return new double[] {model.completedWork(), model.possibleWork()};
    }

    private String statusLine(WorkerModel.Job job, String state) {
        return "{\"id\":\"" + job.id + "\",\"from\":\"" + id + "\",\"state\":\"" + state + "\"}\n";
    }
}
