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

/** What each process of a fleet spends between two looks, as the system and its own console tell. */
public final class FleetResourceUsage {
    private static final String COUNTED = "console_bytes_";

    /** One process at one look; {@code at} in nanoseconds. */
    private record Snapshot(long at, ProcessUsage use, Map<String, Object> console) {}

    private final List<DispatcherProcess> dispatchers;
    private final HttpClient client;
    private List<Snapshot> first;

    FleetResourceUsage(List<DispatcherProcess> dispatchers, HttpClient client) {
        this.dispatchers = dispatchers;
        this.client = client;
    }

    /** The look from which on it counts. */
    Future<Void> begin() {
        return look().onSuccess(all -> first = all).mapEmpty();
    }

    /** The second look; the result has one object for each process, units in the names. */
    Future<JSONArray> end() {
        return look().map(last -> {
            JSONArray each = new JSONArray();
            for (int i = 0; i < last.size(); i++) {
                each.put(between(first.get(i), last.get(i)).put("dispatcher", i));
            }
            return each;
        });
    }

    private static JSONObject between(Snapshot first, Snapshot last) {
        double seconds = (last.at - first.at) / 1e9;
        JSONObject figures = new JSONObject()
                .put("seconds", rounded(seconds))
                .put("core_percent", rounded(last.use.corePercent(first.use, seconds)))
                .put("resident_mb", rounded(last.use.residentMb()))
                .put("wake_ups_per_s", rounded(last.use.wakeUps(first.use) / seconds));
        last.console.forEach((name, value) -> {
            if (name.startsWith(COUNTED) && first.console.get(name) instanceof Double before) {
                figures.put(
                        "bytes_per_s_" + name.substring(COUNTED.length()),
                        rounded(((Double) value - before) / seconds));
            }
        });
        // a byte-rate of its own has no kind; the console's own rates are over the last minute
        figures.remove("bytes_per_s_per_second");
        figures.put("console_core_percent", last.console.get("console_core_percent"))
                .put("console_resident_bytes", last.console.get("console_resident_bytes"));
        return figures;
    }

    static double rounded(double value) {
        return Math.round(value * 1000) / 1000.0;
    }

    private Future<List<Snapshot>> look() {
        List<Future<Snapshot>> all = new ArrayList<>();
        for (DispatcherProcess d : dispatchers) {
            all.add(client.request(HttpMethod.GET, d.consolePort, d.host, "/ops/stats")
                    .compose(HttpClientRequest::send)
                    .compose(HttpClientResponse::body)
                    .compose(text -> look(d, text)));
        }
        return Future.all(all).map(done -> done.list());
    }

    private static Future<Snapshot> look(DispatcherProcess d, Buffer text) {
        try {
            return Future.succeededFuture(
                    new Snapshot(System.nanoTime(), ProcessUsage.of(d.process().pid()), ControlMetrics.of(text.toString())));
        } catch (IOException e) {
            return Future.failedFuture(e);
        }
    }

    /** Mean and most of each figure over the processes. */
    public static JSONObject summary(JSONArray processes) {
        JSONObject figures = new JSONObject();
        for (String name : processes.getJSONObject(0).keySet()) {
            if (name.equals("dispatcher") || name.equals("seconds")) {
                continue;
            }
            double sum = 0;
            double most = 0;
            for (int i = 0; i < processes.length(); i++) {
                double value = processes.getJSONObject(i).optDouble(name, 0);
                sum += value;
                most = Math.max(most, value);
            }
            figures.put(name + "_mean", rounded(sum / processes.length())).put(name + "_most", rounded(most));
        }
        return figures;
    }
}
