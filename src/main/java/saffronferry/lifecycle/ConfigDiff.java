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
 * The difference between two configurations of a dispatcher.
 *
 * @param changes new values of settings that may change at run time; null for a removal
 * @param refused other keys that differ; they are read at a start only
 */
record ConfigDiff(Map<SettingKey, String> changes, List<String> refused) {
    /** Keys that each dispatcher applies for itself, or that may differ at each start. */
    private static final Set<String> LOCAL_KEYS = Set.of("discovery", "known", "seed");

    /**
     * Compares two configurations.
     *
     * @throws IllegalArgumentException naming a faulty key of the new one
     */
    static ConfigDiff between(JSONObject before, JSONObject after) {
        Map<SettingKey, String> oldValues = changeableValues(before);
        Map<SettingKey, String> newValues = changeableValues(after);
        Map<SettingKey, String> changes = new LinkedHashMap<>();
        newValues.forEach((key, value) -> {
            if (!value.equals(oldValues.get(key))) {
                changes.put(key, value);
            }
        });
        oldValues.keySet().stream().filter(key -> !newValues.containsKey(key)).forEach(key -> changes.put(key, null));
        List<String> refused = new ArrayList<>();
        collectRefused("", before, after, refused);
        return new ConfigDiff(changes, refused);
    }

    /** The values of all settings that may change at run time. */
    static Map<SettingKey, String> changeableValues(JSONObject json) {
        Map<SettingKey, String> values = new LinkedHashMap<>();
        for (DynamicSetting setting : DynamicSetting.values()) {
            entriesByName(json, setting).forEach((name, entry) -> {
                SettingKey key = new SettingKey(setting, name);
                values.put(key, value(key, entry));
            });
        }
        return values;
    }

    private static String value(SettingKey key, JSONObject entry) {
        String value;
        try {
            value = DynamicSetting.formatNumber(
                    entry.isNull(key.setting().field) ? 0 : entry.getDouble(key.setting().field));
        } catch (JSONException e) {
            throw new IllegalArgumentException("configuration key " + key + ": must be a number");
        }
        String fault = DynamicSetting.validationError(key.name(), value);
        if (fault != null) {
            throw new IllegalArgumentException("configuration key " + key + ": " + fault);
        }
        return value;
    }

    private static Map<String, JSONObject> entriesByName(JSONObject json, DynamicSetting setting) {
        Object node = json;
        for (String part : setting.path.split("\\.")) {
            node = node instanceof JSONObject o ? o.opt(part) : null;
        }
        Map<String, JSONObject> entries = new LinkedHashMap<>();
        for (Object entry : node instanceof JSONArray array ? array : new JSONArray()) {
            String name = entry instanceof JSONObject o ? o.optString("name") : "";
            // With two quotas for one tenant, dispatchers might apply different ones.
            if (name.isEmpty() || entries.put(name, (JSONObject) entry) != null) {
                throw new IllegalArgumentException(
                        "configuration key " + setting.path + ": each entry needs a name of its own: " + name);
            }
        }
        return entries;
    }

    private static void collectRefused(String path, JSONObject before, JSONObject after, List<String> refused) {
        Set<String> keys = new TreeSet<>(before.keySet());
        keys.addAll(after.keySet());
        for (String key : keys) {
            String name = path + key;
            Object oldValue = before.opt(key);
            Object newValue = after.opt(key);
            if (LOCAL_KEYS.contains(name)
                    || oldValue != null
                            && newValue != null
                            && new JSONArray().put(oldValue).similar(new JSONArray().put(newValue))) {
                continue;
            }
            if (oldValue instanceof JSONObject oldObject && newValue instanceof JSONObject newObject) {
                collectRefused(name + ".", oldObject, newObject, refused);
            } else if (!compareTable(name, before, after, refused)) {
                refused.add(name);
            }
        }
    }

    /** Whether a key is a table with changeable fields; if so, adds differences in its other fields to the refused. */
    private static boolean compareTable(String path, JSONObject before, JSONObject after, List<String> refused) {
        for (DynamicSetting setting : DynamicSetting.values()) {
            if (setting.path.equals(path)) {
                String last = path.substring(path.lastIndexOf('.') + 1);
                Map<String, JSONObject> oldEntries = entriesByName(before.optJSONArray(last));
                Map<String, JSONObject> newEntries = entriesByName(after.optJSONArray(last));
                oldEntries.keySet().retainAll(newEntries.keySet());
                oldEntries.forEach((name, entry) -> {
                    JSONObject oldEntry = new JSONObject(entry.toMap());
                    JSONObject newEntry = new JSONObject(newEntries.get(name).toMap());
                    oldEntry.remove(setting.field);
                    newEntry.remove(setting.field);
                    if (!oldEntry.similar(newEntry)) {
                        collectRefused(path + "." + name + ".", oldEntry, newEntry, refused);
                    }
                });
                return true;
            }
        }
        return false;
    }

    private static Map<String, JSONObject> entriesByName(JSONArray array) {
        Map<String, JSONObject> entries = new LinkedHashMap<>();
        for (Object entry : array == null ? new JSONArray() : array) {
            entries.put(((JSONObject) entry).getString("name"), (JSONObject) entry);
        }
        return entries;
    }
}
