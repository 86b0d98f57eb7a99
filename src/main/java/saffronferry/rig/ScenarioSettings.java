package saffronferry.rig;

import java.util.Locale;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;
import saffronferry.lab.scenario.Scenario;

/** Converts a scenario to the {@code settings} of real dispatchers. */
final class ScenarioSettings {
    private ScenarioSettings() {}

    private static double seconds(long micros) {
        return micros / 1e6;
    }

    /** The settings of one dispatcher; {@code requestsPerSecond} is what the fleet can serve. */
    static JSONObject of(Scenario s, int number, double requestsPerSecond) {
        JSONArray profiles = new JSONArray();
        JSONArray stretch = new JSONArray();
        JSONArray kinds = new JSONArray();
        JSONArray none = new JSONArray();
        for (Scenario.RpcClass c : s.classes()) {
            String effect = switch (c.effect()) {
                case SAFE -> "repeatable";
                case KEYED -> "by_key";
                default -> "once";
            };
            profiles.put(new JSONObject()
                    .put("name", c.name())
                    .put("deadline", seconds(c.deadline()))
                    .put("target", seconds(c.aim()))
                    .put("points", c.worth())
                    .put("lateValue", c.lateWorth())
                    .put("idempotency", effect)
                    .put("group", c.group().name().toLowerCase(Locale.ROOT))
                    .put("keyTtl", seconds(c.keyTtl()))
                    .put("stream", false));
            stretch.put(c.stretch());
            none.put(-1);
        }
        s.kinds().forEach(k -> kinds.put(k.name()));
        double shares = s.tenants().stream().mapToDouble(Scenario.Tenant::share).sum();
        JSONArray realms = new JSONArray();
        s.tenants()
                .forEach(t -> realms.put(new JSONObject()
                        .put("name", t.name())
                        .put("share", t.share() / shares)
                        .put(
                                "allowancePerS",
                                requestsPerSecond * (t.entitled() > 0 ? t.entitled() : t.share() / shares))));
        double cold =
                s.kinds().stream().mapToDouble(k -> seconds(k.cold())).max().orElse(0);
        double from = s.kinds().stream()
                .mapToDouble(Scenario.WorkerKind::coldFrom)
                .min()
                .orElse(1);
        return new JSONObject()
                .put("clients", new JSONObject(Map.of("marksRetry", false)))
                .put(
                        "deductions",
                        new JSONObject()
                                .put("peer", s.prices().peer())
                                .put("probe", s.prices().probe()))
                .put(
                        "familyInfo",
                        new JSONObject()
                                .put("classKind", none)
                                .put("classStretch", stretch)
                                .put("notes", "1 it has started, 2 share done")
                                .put("progress", 0.0)
                                .put("queueOrder", "fifo")
                                .put("reportX0", "free slots")
                                .put("reportX1", "free memory")
                                .put("tellsStart", true))
                .put("kinds", kinds)
                .put(
                        "limits",
                        new JSONObject()
                                .put("cancel", true)
                                .put("connIdle", 60.0)
                                .put("connectTimeout", seconds(s.network().connectTimeout()))
                                .put("maxRetryAfter", seconds(s.rules().maxRetryAfter()))
                                .put("mostTries", s.rules().maxAttempts())
                                .put("parallelTries", true)
                                .put("peers", true)
                                .put("probes", true)
                                .put("retryAfter", true)
                                .put("streamsPerConn", 1))
                .put("overShareWorth", s.prices().overShare())
                .put("peersTotal", s.dispatchers())
                .put("profiles", profiles)
                .put("realms", realms)
                .put("registryMode", "ask")
                .put(
                        "report",
                        new JSONObject()
                                .put("fields", new JSONArray("[tps,load_share,x0,x1]"))
                                .put("how", s.reports().on() ? "on_probe" : "off"))
                .put(
                        "rules",
                        new JSONObject()
                                .put("answerSlack", 0.02)
                                .put("askWithin", 10.0)
                                .put("cold", cold)
                                .put("coldShare", from)
                                .put("fall", seconds(s.rules().coldWindow()))
                                .put("fallMultiple", s.rules().coldOverloadMultiple())
                                .put("stopSendingWithin", seconds(s.rules().drain())))
                .put("slotNo", number)
                .put("weights", "off")
                .put("workload", "jobs")
                .put("zone", s.zones().get(number % s.zones().size()))
                .put("zones", new JSONArray(s.zones()));
    }
}
