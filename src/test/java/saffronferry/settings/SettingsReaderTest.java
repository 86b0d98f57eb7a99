package saffronferry.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.json.JSONObject;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTest {
    /** A retry is sent after its connection has opened, so it must be decided on that much before the key expires. */
    @ParameterizedTest
    @CsvSource({"40, 0.25, 39750000", "1.5, 0.4, 1100000", "0.2, 0.25, 0"})
    void theKeyLifetimeIsReducedByTheConnectTimeout(double keyTtl, double connect, long until) throws IOException {
        JSONObject settings =
                new JSONObject(Files.readString(Path.of("examples/config.json"))).getJSONObject("settings");
        settings.getJSONObject("limits").put("connectTimeout", connect);
        settings.getJSONArray("profiles").getJSONObject(1).put("keyTtl", keyTtl);
        assertEquals(
                until, new SettingsReader(1, settings).settings.classes().get(1).keyTtl());
    }
}
