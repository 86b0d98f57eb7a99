package larchspool.adapter;

import com.grack.nanojson.JsonArray;
import com.grack.nanojson.JsonObject;
import com.grack.nanojson.JsonParser;
import com.grack.nanojson.JsonParserException;
import java.util.ArrayList;
import java.util.List;
import larchspool.Contract.Effect;
import larchspool.Contract.Group;
import larchspool.Contract.JobClass;
import larchspool.Contract.Settings;
import larchspool.Contract.Tenant;

/** Reads the settings that come with {@code spawn}; keys it does not know are skipped. */
final class SettingsReader {
    final Settings settings;
    final List<String> classes;
    final List<String> tenants;
    final List<String> kinds;
    final List<String> zones;
    /** For each value of a report: 0 held, 1 queued, 2 free slots, 3 free memory, -1 not used. */
    final int[] reportFields;

    SettingsReader(long seed, String json) {
        JsonObject top;
        try {
            top = JsonParser.object().from(json);
        } catch (JsonParserException e) {
            throw new IllegalArgumentException("settings are not valid JSON: " + e.getMessage());
        }
        kinds = names(top.getArray("kinds"));
        zones = names(top.getArray("zones"));
        JsonObject limits = part(top, "limits");
        JsonObject rules = part(top, "rules");
        JsonObject family = part(top, "familyInfo");
        JsonObject prices = part(top, "deductions");
        List<JobClass> jobClasses = classes(top, family);
        classes = jobClasses.stream().map(JobClass::name).toList();
        List<Tenant> realms = new ArrayList<>();
        for (Object o : array(top, "realms")) {
            JsonObject realm = (JsonObject) o;
            realms.add(new Tenant(realm.getString("name", ""), realm.getDouble("allowancePerS", 0)));
        }
        tenants = realms.stream().map(Tenant::name).toList();
        reportFields = reportFields(part(top, "report"), family);
        int zone = zones.indexOf(top.getString("zone", ""));
        if (zone < 0) {
            throw new IllegalArgumentException("zone is not one of zones: " + top.getString("zone"));
        }
        settings = new Settings(seed, top.getInt("slotNo", 0), top.getInt("peersTotal", 1), zone,
                zones.size(), kinds.size(), jobClasses, realms, top.getDouble("overShareWorth", 1),
                limits.getInt("mostTries", 1), limits.getBoolean("parallelTries", false),
                limits.getBoolean("cancel", false), limits.getBoolean("probes", false),
                !part(top, "report").getString("how", "off").equals("off"),
                limits.getBoolean("peers", false), top.getString("registryMode", "push").equals("ask"),
                family.getBoolean("tellsStart", false), micros(family, "progress", 0),
                micros(rules, "cold", 0), rules.getDouble("coldShare", 1),
                rules.getDouble("fallMultiple", 1),
                prices.getDouble("peer", 0), prices.getDouble("probe", 0), prices.getDouble("crossZone", 0));
    }

    private static List<JobClass> classes(JsonObject top, JsonObject family) {
        List<JobClass> result = new ArrayList<>();
        JsonArray profiles = array(top, "profiles");
        JsonArray stretches = array(family, "classStretch");
        JsonArray kindsOf = array(family, "classKind");
        for (int i = 0; i < profiles.size(); i++) {
            JsonObject p = profiles.getObject(i);
            double stretch = p.getDouble("aimStretch", stretches.getDouble(i, 0));
            Effect effect = switch (p.getString("idempotency", "once")) {
                case "repeatable" -> Effect.SAFE;
                case "by_key" -> Effect.KEYED;
                default -> Effect.UNSAFE;
            };
            Group group = switch (p.getString("group", "cell")) {
                case "all" -> Group.ALL;
                case "zone" -> Group.ZONE;
                default -> Group.CELL;
            };
            result.add(new JobClass(p.getString("name", ""), micros(p, "target", 0), stretch,
                    micros(p, "deadline", 0), p.getDouble("points", 1), p.getDouble("lateValue", 0), effect,
                    group, micros(p, "keyTtl", 0), kindsOf.getInt(i, -1), p.getBoolean("stream", false)));
        }
        return result;
    }

    private static int[] reportFields(JsonObject report, JsonObject family) {
        JsonArray fields = array(report, "fields");
        int[] result = new int[fields.size()];
        for (int i = 0; i < result.length; i++) {
            String meaning = switch (fields.getString(i, "")) {
                case "concurrent" -> "held";
                case "depth" -> "queued";
                case "x0" -> family.getString("reportX0", "");
                case "x1" -> family.getString("reportX1", "");
                default -> "";
            };
            result[i] = switch (meaning) {
                case "held" -> 0;
                case "queued" -> 1;
                case "free slots" -> 2;
                case "free memory" -> 3;
                default -> -1;
            };
        }
        return result;
    }

    private static JsonArray array(JsonObject o, String key) {
        JsonArray a = o.getArray(key);
        return a == null ? new JsonArray() : a;
    }

    private static JsonObject part(JsonObject o, String key) {
        JsonObject p = o.getObject(key);
        return p == null ? new JsonObject() : p;
    }

    private static long micros(JsonObject o, String key, double otherwise) {
        return Math.round(o.getDouble(key, otherwise) * 1e6);
    }

    private static List<String> names(JsonArray array) {
        List<String> result = new ArrayList<>();
        if (array != null) {
            for (Object o : array) {
                result.add(String.valueOf(o));
            }
        }
        return result;
    }
}
