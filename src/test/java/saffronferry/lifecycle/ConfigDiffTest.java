package saffronferry.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import saffronferry.agree.DynamicSetting;
import saffronferry.agree.SettingKey;

class ConfigDiffTest {
    private JSONObject before;
    private JSONObject after;

    @BeforeEach
    void read() throws IOException {
        before = new JSONObject(Files.readString(Path.of("examples/config.json")));
        after = new JSONObject(before.toString());
    }

    private JSONArray realms() {
        return after.getJSONObject("settings").getJSONArray("realms");
    }

    private static SettingKey key(String name) {
        return new SettingKey(DynamicSetting.ALLOWANCE, name);
    }

    @Test
    void changedAddedAndRemovedTenantsAreFound() {
        realms().getJSONObject(0).put("allowancePerS", 70);
        realms().getJSONObject(1).put("name", "athlone-arts");
        ConfigDiff diff = ConfigDiff.between(before, after);
        assertEquals(
                Map.of(key("kilbarron-grads"), "70", key("athlone-arts"), "30"),
                Map.copyOf(new java.util.HashMap<>(diff.changes()) {
                    {
                        remove(key("lisdara-college"));
                    }
                }));
        assertTrue(diff.changes().containsKey(key("lisdara-college")));
        assertEquals(null, diff.changes().get(key("lisdara-college")));
        assertEquals(List.of(), diff.refused());
    }

    @Test
    void otherChangedKeysAreRefused() {
        after.put("listen", "127.0.0.1:9")
                .put("discovery", "127.0.0.1:8")
                .put("seed", "77")
                .remove("known");
        after.getJSONObject("settings").getJSONObject("rules").put("cold", 9);
        after.getJSONObject("settings").put("more", new JSONObject());
        realms().getJSONObject(0).put("share", 0.5).put("allowancePerS", 51);
        ConfigDiff diff = ConfigDiff.between(before, after);
        assertEquals(
                List.of("listen", "settings.more", "settings.realms.kilbarron-grads.share", "settings.rules.cold"),
                diff.refused());
        assertEquals(Map.of(key("kilbarron-grads"), "51"), diff.changes());
    }

    @Test
    void faultyValuesAreReportedWithTheirKey() {
        realms().getJSONObject(1).put("allowancePerS", -1);
        fails("settings.realms.lisdara-college.allowancePerS: must be a number of 0 at least");
        realms().getJSONObject(1).put("allowancePerS", "many");
        fails("settings.realms.lisdara-college.allowancePerS: must be a number");
        realms().getJSONObject(1).put("allowancePerS", 3).put("name", "a b");
        fails("settings.realms.a b.allowancePerS: the name must");
        realms().getJSONObject(1).put("name", "kilbarron-grads");
        fails("settings.realms: each entry needs a name of its own: kilbarron-grads");
        realms().put(7);
        fails("settings.realms: each entry needs a name");
    }

    private void fails(String message) {
        Exception e = assertThrows(IllegalArgumentException.class, () -> ConfigDiff.between(before, after));
        assertTrue(e.getMessage().startsWith("configuration key " + message), e.getMessage());
    }

    /** The rule for a dispatcher without contact to others; no limit counts as the largest quota. */
    @Test
    void theSmallerOfTwoQuotasIsChosen() {
        assertEquals("5", EffectiveSettings.smallerQuota("5", "7"));
        assertEquals("5", EffectiveSettings.smallerQuota("7", "5"));
        assertEquals("5", EffectiveSettings.smallerQuota("5", "0"));
        assertEquals("7", EffectiveSettings.smallerQuota("0", "7"));
        assertEquals("7", EffectiveSettings.smallerQuota(null, "7"));
        assertEquals(null, EffectiveSettings.smallerQuota("7", null));
    }
}
