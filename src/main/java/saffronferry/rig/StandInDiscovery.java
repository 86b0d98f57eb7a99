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

/** Discovery as one dispatcher meets it, at an address of its own; news for it can be withheld. */
final class StandInDiscovery {
    /** Whom it tells what it has written to its dispatcher. */
    interface Watcher {
        void told(int dispatcher, JSONObject update);
    }

    private static final long STILL_THERE_MS = 2_000;

    private final Vertx vertx;
    private final int dispatcher;
    private final Watcher watcher;
    private final HttpServer server;
    private final Map<String, JSONObject> list = new LinkedHashMap<>();
    private final List<JSONObject> changes = new ArrayList<>();
    private HttpServerResponse watch;
    private long revision = 1;
    private long written;
    private boolean down;
    private boolean withheld;
    private long disorder; // microseconds by which a change may come later
    private SplittableRandom random;
    private final Map<String, Long> notBefore = new HashMap<>(); // a worker's own changes keep their order

    StandInDiscovery(Vertx vertx, int dispatcher, Watcher watcher) {
        this.vertx = vertx;
        this.dispatcher = dispatcher;
        this.watcher = watcher;
        server = vertx.createHttpServer().requestHandler(this::handle);
        vertx.setPeriodic(STILL_THERE_MS, t -> {
            if (watch != null) {
                write("\n");
            }
        });
    }

    /** How many bytes of lines it has written to its dispatcher, without heads and the chunks' own lines. */
    long written() {
        return written;
    }

    private void write(String line) {
        written += line.length(); // ids, zones and kinds are ASCII here
        watch.write(line);
    }

    Future<?> listen(String host) {
        return server.listen(0, host);
    }

    String address(String host) {
        return host + ":" + server.actualPort();
    }

    /** A worker's entry has changed, or is new. */
    void changed(JSONObject entry) {
        long late = disorder == 0 ? 0 : random.nextLong(disorder) / 1_000;
        long now = System.nanoTime() / 1_000_000;
        long due = Math.max(now + late, notBefore.getOrDefault(entry.getString("id"), 0L) + 1);
        if (due <= now + 1) {
            listed(entry);
            return;
        }
        notBefore.put(entry.getString("id"), due);
        vertx.setTimer(due - now, t -> listed(entry));
    }

    private void listed(JSONObject entry) {
        changes.add(entry);
        flush();
    }

    /** Each change comes up to so many microseconds late from now on: those of different workers overtake. */
    void disorder(long micros, SplittableRandom chance) {
        disorder = micros;
        random = chance;
    }

    /** Says nothing new, and takes no calls, until it is over. */
    void withhold(boolean on) {
        withheld = on;
        flush();
    }

    /** Ends watches and fails calls. */
    void outage(boolean on) {
        down = on;
        if (on && watch != null) {
            HttpServerResponse ended = watch;
            watch = null;
            ended.reset();
        }
        flush();
    }

    private void flush() {
        if (withheld || down || changes.isEmpty()) {
            return;
        }
        JSONArray members = new JSONArray();
        for (JSONObject entry : changes) {
            members.put(entry);
            if (entry.getString("phase").equals("DELETED")) {
                list.remove(entry.getString("id"));
            } else {
                list.put(entry.getString("id"), entry);
            }
        }
        changes.clear();
        revision++;
        if (watch != null) {
            tell(new JSONObject()
                    .put("revision", revision)
                    .put("complete", false)
                    .put("members", members));
        }
    }

    /** The whole list as this dispatcher would be told it. */
    JSONObject whole() {
        return new JSONObject()
                .put("revision", revision)
                .put("complete", true)
                .put("members", new JSONArray(list.values()));
    }

    private void tell(JSONObject update) {
        watcher.told(dispatcher, update);
        write(update + "\n");
    }

    private void handle(HttpServerRequest request) {
        request.response().exceptionHandler(e -> {});
        if (down) {
            request.response().setStatusCode(503).end();
            return;
        }
        if (request.getParam("watch") == null) {
            watcher.told(dispatcher, whole());
            request.response().end(whole().toString());
            return;
        }
        HttpServerResponse mine = request.response().setChunked(true);
        watch = mine;
        request.connection().closeHandler(v -> watch = watch == mine ? null : watch);
        tell(whole());
    }
}
