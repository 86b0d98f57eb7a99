package saffronferry.settings;

import java.util.ArrayList;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.Idempotency;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.Settings;
import saffronferry.Contract.Tenant;

/**
 * Reads the settings, which the simulator sends and a dispatcher process finds in its configuration. Unknown keys are
 * ignored; an invalid value leads to an {@link IllegalArgumentException} that names the key.
 */
public final class SettingsReader {
    /** Default of the time within which discovery has to be asked. */
    private static final double DEFAULT_ASK_WITHIN_S = 10;
    /** Multiple of that time that is allowed after a failed call. */
    private static final int FAILURE_DELAY_MULTIPLE = 4;

    public final Settings settings;
    public final List<String> classes;
    public final List<String> tenants;
    public final List<String> kinds;
    public final List<String> zones;
    /** Meaning of each value of a load report: 0 held, 1 queued, 2 free slots, -1 not used. */
    public final int[] reportFields;

    /** Longest time in seconds that a connection may take to open; not used by the module. */
    public final double connectTimeout;

    private final JSONObject family;

    public SettingsReader(long seed, String json) {
        this(seed, parse(json));
    }

    public SettingsReader(long seed, JSONObject top) {
        try {
            kinds = names(top, "kinds");
            zones = names(top, "zones");
            JSONObject limits = section(top, "limits");
            JSONObject rules = section(top, "rules");
            family = section(top, "familyInfo");
            JSONObject prices = section(top, "deductions");
            JSONObject report = section(top, "report");
            connectTimeout = number(limits, "connectTimeout", 0.25);
            List<JobClass> jobClasses = classes(top, family);
            classes = jobClasses.stream().map(JobClass::name).toList();
            List<Tenant> realms = new ArrayList<>();
            for (Object o : array(top, "realms")) {
                JSONObject realm = (JSONObject) o;
                realms.add(new Tenant(realm.optString("name"), number(realm, "allowancePerS", 0)));
            }
            tenants = realms.stream().map(Tenant::name).toList();
            reportFields = reportFields(report, family);
            int zone = zones.indexOf(top.optString("zone"));
            if (zone < 0) {
                throw new IllegalArgumentException("zone is not one of zones: " + top.optString("zone"));
            }
            settings = new Settings(
                    seed,
                    (int) number(top, "slotNo", 0),
                    (int) number(top, "peersTotal", 1),
                    zone,
                    zones.size(),
                    kinds.size(),
                    jobClasses,
                    realms,
                    (int) number(limits, "mostTries", 1),
                    flag(limits, "parallelTries"),
                    flag(limits, "cancel"),
                    flag(limits, "probes"),
                    !report.optString("how", "off").equals("off"),
                    flag(limits, "peers"),
                    top.optString("registryMode", "push").equals("ask"),
                    flag(family, "tellsStart"),
                    micros(family, "progress"),
                    micros(rules, "cold"),
                    number(rules, "coldShare", 1),
                    number(rules, "fallMultiple", 1),
                    flag(limits, "retryAfter") ? micros(limits, "maxRetryAfter") : 0,
                    number(prices, "peer", 0),
                    number(prices, "probe", 0),
                    (long) (FAILURE_DELAY_MULTIPLE * number(rules, "askWithin", DEFAULT_ASK_WITHIN_S) * 1e6));
        } catch (JSONException e) {
            throw new IllegalArgumentException(e.getMessage());
        }
    }

    /** The name of the load report's field with this meaning, or null. */
    public String reportField(String meaning) {
        return family.optString("reportX0").equals(meaning)
                ? "x0"
                : family.optString("reportX1").equals(meaning) ? "x1" : null;
    }

    private static JSONObject parse(String json) {
        try {
            return new JSONObject(json);
        } catch (JSONException e) {
            throw new IllegalArgumentException("settings are not valid JSON: " + e.getMessage());
        }
    }

    private List<JobClass> classes(JSONObject top, JSONObject family) {
        List<JobClass> result = new ArrayList<>();
        JSONArray profiles = array(top, "profiles");
        JSONArray stretches = array(family, "classStretch");
        JSONArray kindsOf = array(family, "classKind");
        for (int i = 0; i < profiles.length(); i++) {
            JSONObject profile = profiles.getJSONObject(i);
            double stretch = number(profile, "aimStretch", stretches.optDouble(i, 0));
            Idempotency idempotency = switch (profile.optString("idempotency", "once")) {
                case "repeatable" -> Idempotency.SAFE;
                case "by_key" -> Idempotency.KEYED;
                default -> Idempotency.UNSAFE;
            };
            DedupScope dedupScope = switch (profile.optString("group", "cell")) {
                case "all" -> DedupScope.ALL;
                case "zone" -> DedupScope.ZONE;
                default -> DedupScope.CELL;
            };
            // The key must be valid when the request is sent, which is after its connection has opened.
            long keyLifetime = Math.max(0, micros(profile, "keyTtl") - Math.round(connectTimeout * 1e6));
            result.add(new JobClass(
                    profile.optString("name"),
                    micros(profile, "target"),
                    stretch,
                    micros(profile, "deadline"),
                    number(profile, "points", 1),
                    number(profile, "lateValue", 0),
                    idempotency,
                    dedupScope,
                    keyLifetime,
                    kindsOf.optInt(i, -1)));
        }
        return result;
    }

    private static int[] reportFields(JSONObject report, JSONObject family) {
        JSONArray fields = array(report, "fields");
        int[] result = new int[fields.length()];
        for (int i = 0; i < result.length; i++) {
            String meaning = switch (fields.optString(i)) {
                case "concurrent" -> "held";
                case "depth" -> "queued";
                case "x0" -> family.optString("reportX0");
                case "x1" -> family.optString("reportX1");
                default -> "";
            };
            result[i] = switch (meaning) {
                case "held" -> 0;
                case "queued" -> 1;
                case "free slots" -> 2;
                default -> -1;
            };
        }
        return result;
    }

    private static JSONArray array(JSONObject o, String key) {
        return o.isNull(key) ? new JSONArray() : o.getJSONArray(key);
    }

    private static JSONObject section(JSONObject o, String key) {
        return o.isNull(key) ? new JSONObject() : o.getJSONObject(key);
    }

    /** A number, or the default if the key is missing; a value of another type is an error. */
    private static double number(JSONObject o, String key, double defaultValue) {
        return o.isNull(key) ? defaultValue : o.getDouble(key);
    }

    private static boolean flag(JSONObject o, String key) {
        return !o.isNull(key) && o.getBoolean(key);
    }

    private static long micros(JSONObject o, String key) {
        return Math.round(number(o, key, 0) * 1e6);
    }

    private static List<String> names(JSONObject o, String key) {
        List<String> result = new ArrayList<>();
        array(o, key).forEach(name -> result.add(String.valueOf(name)));
        return result;
    }
}
