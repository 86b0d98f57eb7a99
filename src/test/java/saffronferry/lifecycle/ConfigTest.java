package saffronferry.lifecycle;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import org.junit.Test;

/** Errors in a configuration name the faulty key. */
public class ConfigTest {
    private static final Path FOLDER = Path.of(".");

    private static JSONObject example() throws IOException {
        return new JSONObject(Files.readString(Path.of("examples/config.json")));
    }

    @Test
    public void theExampleConfigurationIsRead() throws IOException {
        Config c = new Config(example(), FOLDER);
        assertEquals("127.0.0.1:9000", c.listen.toString());
        assertEquals(2, c.takeKnownList().entries().size());
        assertEquals(2_000_000, c.settings.settings.maxRetryAfter());
    }

    @Test
    public void optionalKeysHaveDefaults() throws IOException {
        JSONObject json = example();
        for (String key : new String[] {"peer_listen", "peers", "limits", "known", "seed", "console"}) {
            json.remove(key);
        }
        Config c = new Config(json, FOLDER);
        assertEquals(1024, c.maxDescriptors);
        assertNull(c.console);
    }

    @Test
    public void aFaultyKeyIsNamed() throws IOException {
        Object[][] cases = {
            {"listen", "nowhere"},
            {"listen", null},
            {"discovery", "a:b"},
            {"discovery", 7},
            {"peer_listen", ""},
            {"peers", "[\"x\"]"},
            {"seed", "xyz"},
            {"settings", null},
            {"settings", "{}"},
            {"console", 9},
            {"console", "9090"},
            {"known", "{}"},
            {"limits", "{\"sockets\":3}"},
            {"agree", "{}"},
            {"agree", 7},
            {"agree", "{\"secret\":\"short\"}"},
            {"agree", "{\"secret\":\"long enough it is\",\"bytes_per_s\":900}"},
        };
        for (Object[] c : cases) {
            JSONObject json = example();
            Object value = c[1] instanceof String s && (s.startsWith("{") || s.startsWith("["))
                    ? new org.json.JSONTokener(s).nextValue()
                    : c[1];
            json.put((String) c[0], value);
            Exception e =
                    assertThrows(c[0] + "=" + c[1], IllegalArgumentException.class, () -> new Config(json, FOLDER));
            assertTrue(e.getMessage(), e.getMessage().startsWith("configuration key " + c[0]));
        }
        JSONObject json = example();
        json.getJSONObject("settings").getJSONObject("rules").put("cold", "long");
        Exception e = assertThrows(IllegalArgumentException.class, () -> new Config(json, FOLDER));
        assertTrue(
                e.getMessage(),
                e.getMessage().contains("settings") && e.getMessage().contains("cold"));
    }

    @Test
    public void anEnvironmentVariableSuppliesAMissingConsole() throws IOException {
        Path file = Files.createTempFile("config", ".json");
        try {
            JSONObject json = example();
            Files.writeString(file, json.toString());
            Map<String, String> environment =
                    Map.of("BALANCER_CONFIG", file.toString(), "BALANCER_CONSOLE", "127.0.0.1:7");
            assertEquals("127.0.0.1:9090", Config.read(environment).console.toString());
            json.remove("console");
            Files.writeString(file, json.toString());
            assertEquals("127.0.0.1:7", Config.read(environment).console.toString());
        } finally {
            Files.delete(file);
        }
    }

    /** The known list of a file is parsed separately, with the same result and the same error messages. */
    @Test
    public void theKnownListOfAFileIsReadAndItsErrorsAreNamed() throws IOException {
        Path file = Files.createTempFile("config", ".json");
        Map<String, String> environment = Map.of("BALANCER_CONFIG", file.toString());
        try {
            Files.writeString(file, example().toString());
            Config c = Config.read(environment);
            assertEquals(new Config(example(), FOLDER).takeKnownList(), c.takeKnownList());
            assertNull("released after the first call", c.takeKnownList());
            for (String bad : new String[] {"{}", "7", "{\"revision\":1,\"complete\":true,\"members\":{}}"}) {
                JSONObject json = example().put("known", new org.json.JSONTokener(bad).nextValue());
                Files.writeString(file, json.toString());
                Exception e = assertThrows(bad, IllegalArgumentException.class, () -> Config.read(environment));
                assertTrue(e.getMessage(), e.getMessage().startsWith("configuration key known: "));
            }
            String whole = example().toString();
            Files.writeString(file, whole.substring(0, whole.length() - 1));
            Exception e = assertThrows(IllegalArgumentException.class, () -> Config.read(environment));
            assertTrue(e.getMessage(), e.getMessage().startsWith("BALANCER_CONFIG: not valid JSON"));
        } finally {
            Files.delete(file);
        }
    }

    @Test
    public void anUnreadableFileIsNamed() {
        for (Map<String, String> environment : List.<Map<String, String>>of(
                Map.of(), Map.of("BALANCER_CONFIG", "/none"), Map.of("BALANCER_CONFIG", "pom.xml"))) {
            Exception e = assertThrows(IllegalArgumentException.class, () -> Config.read(environment));
            assertTrue(e.getMessage(), e.getMessage().contains("BALANCER_CONFIG"));
        }
    }

    /** Parses the format of proc(5); anything but a number means no limit. */
    @Test
    public void theDescriptorLimitOfTheProcessIsParsed() {
        String[][] cases = {
            {"384", "Limit  Soft Limit  Hard Limit  Units\nMax open files            384       4096      files\n"},
            {"" + Integer.MAX_VALUE, "Max open files            unlimited   unlimited   files\n"},
            {"" + Integer.MAX_VALUE, ""},
        };
        for (String[] c : cases) {
            assertEquals(c[1], Integer.parseInt(c[0]), ProcessLimits.maxOpenFiles(c[1]));
        }
    }
}
