package saffronferry.lifecycle;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import saffronferry.agree.DynamicSetting;
import saffronferry.agree.SettingKey;

/**
 * What differs between two configurations of one dispatcher.
 *
 * @param changes of settings that may change while it runs; null for a removal
 * @param refused keys that differ, too, and are read at a start only
 */
record ConfigDiff(Map<SettingKey, String> changes, List<String> refused) {
    /** Followed by each dispatcher for itself, or told anew at each start. */
    private static final Set<String> OWN = Set.of("discovery", "known", "seed");

    /** {@link IllegalArgumentException} names the key in the new one that is at fault. */
    static ConfigDiff between(JSONObject before, JSONObject after) {
        Map<SettingKey, String> had = values(before);
        Map<SettingKey, String> has = values(after);
        Map<SettingKey, String> changes = new LinkedHashMap<>();
        has.forEach((key, value) -> {
            if (!value.equals(had.get(key))) {
                changes.put(key, value);
            }
        });
        had.keySet().stream().filter(key -> !has.containsKey(key)).forEach(key -> changes.put(key, null));
        List<String> refused = new ArrayList<>();
        refuse("", before, after, refused);
        return new ConfigDiff(changes, refused);
    }

    /** The values that may change. */
    static Map<SettingKey, String> values(JSONObject json) {
        Map<SettingKey, String> values = new LinkedHashMap<>();
        for (DynamicSetting what : DynamicSetting.values()) {
            named(json, what).forEach((name, entry) -> {
                SettingKey key = new SettingKey(what, name);
                values.put(key, value(key, entry));
            });
        }
        return values;
    }

    private static String value(SettingKey key, JSONObject entry) {
        String value;
        try {
            value = DynamicSetting.formatNumber(entry.isNull(key.setting().field) ? 0 : entry.getDouble(key.setting().field));
        } catch (JSONException e) {
            throw new IllegalArgumentException("configuration key " + key + ": must be a number");
        }
        String fault = DynamicSetting.validationError(key.name(), value);
        if (fault != null) {
            throw new IllegalArgumentException("configuration key " + key + ": " + fault);
        }
        return value;
    }

    private static Map<String, JSONObject> named(JSONObject json, DynamicSetting what) {
        Object at = json;
        for (String part : what.path.split("\\.")) {
            at = at instanceof JSONObject o ? o.opt(part) : null;
        }
        Map<String, JSONObject> named = new LinkedHashMap<>();
        for (Object entry : at instanceof JSONArray array ? array : new JSONArray()) {
            String name = entry instanceof JSONObject o ? o.optString("name") : "";
            // guards against two quotas of one tenant, of which each dispatcher might take another
            if (name.isEmpty() || named.put(name, (JSONObject) entry) != null) {
                throw new IllegalArgumentException(
                        "configuration key " + what.path + ": each entry needs a name of its own: " + name);
            }
        }
        return named;
    }

    private static void refuse(String path, JSONObject before, JSONObject after, List<String> refused) {
        Set<String> keys = new TreeSet<>(before.keySet());
        keys.addAll(after.keySet());
        for (String key : keys) {
            String name = path + key;
            Object a = before.opt(key);
            Object b = after.opt(key);
            if (OWN.contains(name)
                    || a != null && b != null && new JSONArray().put(a).similar(new JSONArray().put(b))) {
                continue;
            }
            if (a instanceof JSONObject x && b instanceof JSONObject y) {
                refuse(name + ".", x, y, refused);
            } else if (!table(name, before, after, refused)) {
                refused.add(name);
            }
        }
    }

    /** Whether a key is a table of which something may change; else what differs there is refused. */
    private static boolean table(String path, JSONObject before, JSONObject after, List<String> refused) {
        for (DynamicSetting what : DynamicSetting.values()) {
            if (what.path.equals(path)) {
                String last = path.substring(path.lastIndexOf('.') + 1);
                Map<String, JSONObject> had = entries(before.optJSONArray(last));
                Map<String, JSONObject> has = entries(after.optJSONArray(last));
                had.keySet().retainAll(has.keySet());
                had.forEach((name, entry) -> {
                    JSONObject a = new JSONObject(entry.toMap());
                    JSONObject b = new JSONObject(has.get(name).toMap());
                    a.remove(what.field);
                    b.remove(what.field);
                    if (!a.similar(b)) {
                        refuse(path + "." + name + ".", a, b, refused);
                    }
                });
                return true;
            }
        }
        return false;
    }

    private static Map<String, JSONObject> entries(JSONArray array) {
        Map<String, JSONObject> entries = new LinkedHashMap<>();
        for (Object entry : array == null ? new JSONArray() : array) {
            entries.put(((JSONObject) entry).getString("name"), (JSONObject) entry);
        }
        return entries;
    }
}
