package saffronferry.rig;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * Measures the resource usage of each dispatcher process between two snapshots, from the operating system and
 * from the process's own console.
 */
public final class FleetResourceUsage {
    private static final String COUNTER_PREFIX = "console_bytes_";

    /** The usage of one process; {@code at} is {@link System#nanoTime}. */
    private record Snapshot(long at, ProcessUsage process, Map<String, Object> console) {}

    private final List<DispatcherProcess> dispatchers;
    private final HttpClient client;
    private List<Snapshot> first;

    FleetResourceUsage(List<DispatcherProcess> dispatchers, HttpClient client) {
        this.dispatchers = dispatchers;
        this.client = client;
    }

    /** Takes the first snapshot. */
    Future<Void> begin() {
        return takeSnapshot().onSuccess(all -> first = all).mapEmpty();
    }

    /** Takes the second snapshot and returns one object per process, with units in the key names. */
    Future<JSONArray> end() {
        return takeSnapshot().map(last -> {
            JSONArray results = new JSONArray();
            for (int i = 0; i < last.size(); i++) {
                results.put(between(first.get(i), last.get(i)).put("dispatcher", i));
            }
            return results;
        });
    }

    private static JSONObject between(Snapshot first, Snapshot last) {
        double seconds = (last.at - first.at) / 1e9;
        JSONObject figures = new JSONObject()
                .put("seconds", rounded(seconds))
                .put("core_percent", rounded(last.process.corePercent(first.process, seconds)))
                .put("resident_mb", rounded(last.process.residentMb()))
                .put("wake_ups_per_s", rounded(last.process.wakeUps(first.process) / seconds));
        last.console.forEach((name, value) -> {
            if (name.startsWith(COUNTER_PREFIX) && first.console.get(name) instanceof Double before) {
                figures.put(
                        "bytes_per_s_" + name.substring(COUNTER_PREFIX.length()),
                        rounded(((Double) value - before) / seconds));
            }
        });
        // the console's own byte rate is an average over the last minute and no counter
        figures.remove("bytes_per_s_per_second");
        figures.put("console_core_percent", last.console.get("console_core_percent"))
                .put("console_resident_bytes", last.console.get("console_resident_bytes"));
        return figures;
    }

    static double rounded(double value) {
        return Math.round(value * 1000) / 1000.0;
    }

    private Future<List<Snapshot>> takeSnapshot() {
        List<Future<Snapshot>> all = new ArrayList<>();
        for (DispatcherProcess d : dispatchers) {
            all.add(client.request(HttpMethod.GET, d.consolePort, d.host, "/ops/stats")
                    .compose(HttpClientRequest::send)
                    .compose(HttpClientResponse::body)
                    .compose(text -> takeSnapshot(d, text)));
        }
        return Future.all(all).map(done -> done.list());
    }

    private static Future<Snapshot> takeSnapshot(DispatcherProcess d, Buffer text) {
        try {
            return Future.succeededFuture(new Snapshot(
                    System.nanoTime(), ProcessUsage.of(d.process().pid()), ControlMetrics.parse(text.toString())));
        } catch (IOException e) {
            return Future.failedFuture(e);
        }
    }

    /** Mean and maximum of each figure over the processes. */
    public static JSONObject summary(JSONArray processes) {
        JSONObject figures = new JSONObject();
        for (String name : processes.getJSONObject(0).keySet()) {
            if (name.equals("dispatcher") || name.equals("seconds")) {
                continue;
            }
            double sum = 0;
            double max = 0;
            for (int i = 0; i < processes.length(); i++) {
                double value = processes.getJSONObject(i).optDouble(name, 0);
                sum += value;
                max = Math.max(max, value);
            }
            figures.put(name + "_mean", rounded(sum / processes.length())).put(name + "_most", rounded(max));
        }
        return figures;
    }
}
