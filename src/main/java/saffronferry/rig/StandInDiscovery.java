package saffronferry.rig;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.json.JSONArray;
import org.json.JSONObject;

/** The discovery service of one dispatcher, at its own address; updates can be withheld, delayed or failed. */
final class StandInDiscovery {
    /** Receives each update that is sent to the dispatcher. */
    interface UpdateListener {
        void onUpdateSent(int dispatcher, JSONObject update);
    }

    private static final long KEEPALIVE_INTERVAL_MS = 2_000;

    private final Vertx vertx;
    private final int dispatcher;
    private final UpdateListener listener;
    private final HttpServer server;
    private final Map<String, JSONObject> workers = new LinkedHashMap<>();
    private final List<JSONObject> pendingChanges = new ArrayList<>();
    private HttpServerResponse watch;
    private long revision = 1;
    private long writtenBytes;
    private boolean down;
    private boolean withheld;
    /** Upper limit of the random delay of a change. */
    private long maxDisorderUs;

    private SplittableRandom disorderRandom;
    /** Earliest time of the next change by worker id, in milliseconds: changes of one worker keep their order. */
    private final Map<String, Long> earliestByWorker = new HashMap<>();

    StandInDiscovery(Vertx vertx, int dispatcher, UpdateListener listener) {
        this.vertx = vertx;
        this.dispatcher = dispatcher;
        this.listener = listener;
        server = vertx.createHttpServer().requestHandler(this::handle);
        vertx.setPeriodic(KEEPALIVE_INTERVAL_MS, t -> {
            if (watch != null) {
                write("\n");
            }
        });
    }

    /** Bytes of update lines written to the dispatcher, without HTTP headers and chunk framing. */
    long writtenBytes() {
        return writtenBytes;
    }

    private void write(String line) {
        writtenBytes += line.length(); // ids, zones and kinds are ASCII here
        watch.write(line);
    }

    Future<?> listen(String host) {
        return server.listen(0, host);
    }

    String address(String host) {
        return host + ":" + server.actualPort();
    }

    /** Publishes a new or changed worker entry. */
    void announce(JSONObject entry) {
        long late = maxDisorderUs == 0 ? 0 : disorderRandom.nextLong(maxDisorderUs) / 1_000;
        long now = System.nanoTime() / 1_000_000;
        long due = Math.max(now + late, earliestByWorker.getOrDefault(entry.getString("id"), 0L) + 1);
        if (due <= now + 1) {
            queueChange(entry);
            return;
        }
        earliestByWorker.put(entry.getString("id"), due);
        vertx.setTimer(due - now, t -> queueChange(entry));
    }

    private void queueChange(JSONObject entry) {
        pendingChanges.add(entry);
        flush();
    }

    /** Delays each later change by up to {@code maxMicros}, so that changes of different workers are reordered. */
    void setDisorder(long maxMicros, SplittableRandom random) {
        maxDisorderUs = maxMicros;
        disorderRandom = random;
    }

    /** Holds back all changes until it is switched off. */
    void setWithheld(boolean on) {
        withheld = on;
        flush();
    }

    /** Ends the watch and answers calls with 503 until it is switched off. */
    void setOutage(boolean on) {
        down = on;
        if (on && watch != null) {
            HttpServerResponse ended = watch;
            watch = null;
            ended.reset();
        }
        flush();
    }

    private void flush() {
        if (withheld || down || pendingChanges.isEmpty()) {
            return;
        }
        JSONArray members = new JSONArray();
        for (JSONObject entry : pendingChanges) {
            members.put(entry);
            if (entry.getString("phase").equals("DELETED")) {
                workers.remove(entry.getString("id"));
            } else {
                workers.put(entry.getString("id"), entry);
            }
        }
        pendingChanges.clear();
        revision++;
        if (watch != null) {
            sendUpdate(new JSONObject()
                    .put("revision", revision)
                    .put("complete", false)
                    .put("members", members));
        }
    }

    /** The complete list as sent to this dispatcher. */
    JSONObject fullList() {
        return new JSONObject()
                .put("revision", revision)
                .put("complete", true)
                .put("members", new JSONArray(workers.values()));
    }

    private void sendUpdate(JSONObject update) {
        listener.onUpdateSent(dispatcher, update);
        write(update + "\n");
    }

    private void handle(HttpServerRequest request) {
        request.response().exceptionHandler(e -> {});
        if (down) {
            request.response().setStatusCode(503).end();
            return;
        }
        if (request.getParam("watch") == null) {
            listener.onUpdateSent(dispatcher, fullList());
            request.response().end(fullList().toString());
            return;
        }
        HttpServerResponse response = request.response().setChunked(true);
        watch = response;
        request.connection().closeHandler(v -> watch = watch == response ? null : watch);
        sendUpdate(fullList());
    }
}
