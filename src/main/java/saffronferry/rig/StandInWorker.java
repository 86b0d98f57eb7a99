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

/** A worker as the platform's: jobs by POST, starts told, its load when probed. On the rig's loop. */
final class StandInWorker {
    /** What a worker asks and tells of the jobs that reach it. */
    interface Watcher {
        /** A job has come whole; its work in microseconds at speed 1, or -1 if no client sent it. */
        double arrived(StandInWorker at, String txn);

        /** How it left: run to its end, turned away unseen, or lost with the connection or the process. */
        void left(StandInWorker at, String txn, String how);
    }

    /** How often a cold worker, whose speed changes, looks at its jobs. */
    private static final long COLD_STEP_MS = 50;

    final String id;
    final int kindIndex;
    final int zone;
    final int cell;
    final long startedAt; // 0: long ago
    final WorkerModel model;
    private final Vertx vertx;
    private final LongSupplier clock;
    private final Watcher watcher;
    private final HttpServer server;
    private final Map<WorkerModel.Job, HttpServerResponse> out = new HashMap<>();
    private final Set<HttpConnection> connections = new HashSet<>();
    private long timer = -1;
    private boolean draining;
    private boolean down;
    private boolean silent;
    private long probes;

    StandInWorker(
            Vertx vertx,
            LongSupplier clock,
            Watcher watcher,
            String id,
            int zone,
            int kindIndex,
            int cell,
            WorkerKind kind,
            double speed,
            long startedAt) {
        this.vertx = vertx;
        this.clock = clock;
        this.watcher = watcher;
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

    /** How often it has been asked for its load. */
    long probes() {
        return probes;
    }

    boolean down() {
        return down;
    }

    boolean draining() {
        return draining;
    }

    /** Its reports hold nothing that can be read. */
    void silent(boolean on) {
        silent = on;
    }

    void slow(double factor) {
        step();
        model.slow(factor);
        step();
    }

    /** Turns fresh work away; finishes what it has. */
    void drain() {
        draining = true;
    }

    /** The process ends: connections break, new ones are refused. */
    void crash() {
        if (down) {
            return;
        }
        down = true;
        vertx.cancelTimer(timer);
        out.keySet().forEach(job -> watcher.left(this, job.id, "lost"));
        out.clear();
        server.close();
        Set.copyOf(connections).forEach(HttpConnection::close);
    }

    private void handle(HttpServerRequest request) {
        request.exceptionHandler(e -> {});
        request.response().exceptionHandler(e -> {});
        if (request.path().equals("/metrics/load")) {
            probes++;
            step();
            double busy = 1 - model.free() / (double) (model.free() + model.held() + 1);
            request.response()
                    .end(
                            silent
                                    ? ""
                                    : String.format(
                                            Locale.ROOT, "tps=%.1f,load_share=%.2f,x0=%d", 1.0, busy, model.free()));
            return;
        }
        request.body().onSuccess(body -> take(request));
    }

    private void take(HttpServerRequest request) {
        String txn = request.getHeader("X-Txn");
        HttpServerResponse response = request.response();
        if (down || txn == null) {
            response.setStatusCode(404).end();
            return;
        }
        double work = watcher.arrived(this, txn);
        step();
        if (work < 0) {
            response.setStatusCode(400).end();
            return;
        }
        WorkerModel.Job job = new WorkerModel.Job(txn, work);
        if (down || draining || !model.deliver(job)) {
            watcher.left(this, txn, "full");
            response.setStatusCode(503).putHeader("X-Turned-Away", "1").end();
            return;
        }
        response.setChunked(true);
        out.put(job, response);
        request.connection().closeHandler(v -> {
            connections.remove(request.connection());
            gone(job);
        });
        step();
    }

    private void gone(WorkerModel.Job job) {
        if (out.remove(job) != null) {
            step();
            model.cancel(job);
            watcher.left(this, job.id, "lost");
            step();
        }
    }

    /** Brings the model up to now and tells what has come of it. */
    private void step() {
        vertx.cancelTimer(timer);
        if (down) {
            return;
        }
        long now = clock.getAsLong();
        for (WorkerModel.Job job : model.advance(now)) {
            HttpServerResponse response = out.remove(job);
            if (response != null) { // else its connection broke just now
                watcher.left(this, job.id, "served");
                response.end(line(job, "done\",\"result\":\"made"));
            }
        }
        for (WorkerModel.Job job : model.refill()) {
            HttpServerResponse response = out.get(job);
            if (response != null) {
                response.write(line(job, "started"));
            }
        }
        long next = model.next(now);
        if (next >= 0) {
            long ms = Math.max(1, (next + 999) / 1000);
            timer = vertx.setTimer(model.cold(now) ? Math.min(ms, COLD_STEP_MS) : ms, t -> step());
        }
    }

    /** Work done and work that could have been done until now. */
    double[] progress() {
        step();
        return new double[] {model.done(), model.could()};
    }

    private String line(WorkerModel.Job job, String state) {
        return "{\"id\":\"" + job.id + "\",\"from\":\"" + id + "\",\"state\":\"" + state + "\"}\n";
    }
}
