package saffronferry.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import saffronferry.settings.SettingsReader;
import saffronferry.state.ListUpdate;
import saffronferry.wire.Address;
import saffronferry.wire.ListParser;

/**
 * The configuration of a real dispatcher: the one place where it is read, checked and given defaults. What is
 * wrong is an {@link IllegalArgumentException} that names the key.
 */
public final class Config {
    final Address listen;
    final Address discovery;
    /** Null where dispatchers do not speak with each other. */
    final Address peerListen;

    final List<Address> peers;
    /** Where operators call; null where they do not. */
    final Address console;

    final Path folder;
    /** How many descriptors the process may hold in all. */
    final int sockets;

    final SettingsReader settings;
    /** How settings are agreed upon while dispatchers run; null where they are not. */
    final AgreementOptions agree;
    /** What was read, to be compared with what is read later; null where nothing follows from that. */
    final JSONObject json;

    final ListParser lists;
    private ListUpdate known;
    /** What of the known list could not be read, and is left out. */
    final List<String> unreadable = new ArrayList<>();

    /** Reads the file that {@code BALANCER_CONFIG} names; other variables stand in for missing keys. */
    static Config read(Map<String, String> environment) {
        String file = environment.get("BALANCER_CONFIG");
        if (file == null) {
            throw new IllegalArgumentException("BALANCER_CONFIG is not set");
        }
        try {
            String text = Files.readString(Path.of(file));
            int[] at = ListParser.find(text, "known");
            JSONObject json =
                    new JSONObject(at == null ? text : text.substring(0, at[0]) + "null" + text.substring(at[1]));
            standIn(json, "listen", environment.get("BALANCER_LISTEN"));
            standIn(json, "discovery", environment.get("BALANCER_DISCOVERY"));
            standIn(json, "console", environment.get("BALANCER_CONSOLE"));
            return new Config(
                    json,
                    at == null ? null : text.substring(at[0], at[1]),
                    Path.of(System.getProperty("java.io.tmpdir")));
        } catch (IOException e) {
            throw new IllegalArgumentException("BALANCER_CONFIG: cannot read " + file);
        } catch (JSONException e) {
            throw new IllegalArgumentException("BALANCER_CONFIG: not valid JSON: " + e.getMessage());
        }
    }

    /** Reads a file as {@code serve} does; {@link IllegalArgumentException} names what is wrong. */
    public static void check(Path file) {
        read(Map.of("BALANCER_CONFIG", file.toString()));
    }

    /** {@code folder}: where what outlives the process is kept, as far as the platform lets it. */
    Config(JSONObject json, Path folder) {
        this(json, null, folder);
    }

    /** {@code list}: the text of the key {@code known} where the JSON is without it, else null. */
    private Config(JSONObject json, String list, Path folder) {
        this.folder = folder;
        listen = key("listen", () -> Address.parse(json.getString("listen")));
        discovery = key("discovery", () -> Address.parse(json.getString("discovery")));
        peerListen = json.isNull("peer_listen")
                ? null
                : key("peer_listen", () -> Address.parse(json.getString("peer_listen")));
        console = json.isNull("console") ? null : key("console", () -> Address.parse(json.getString("console")));
        peers = key("peers", () -> peers(json.optJSONArray("peers")));
        sockets = key("limits.sockets", () -> sockets(json.optJSONObject("limits")));
        long seed = key(
                "seed",
                () -> json.isNull("seed") ? System.nanoTime() : Long.parseUnsignedLong(json.getString("seed"), 16));
        settings = key("settings", () -> new SettingsReader(seed, json.getJSONObject("settings")));
        agree = json.isNull("agree")
                ? null
                : key(
                        "agree",
                        () -> AgreementOptions.read(
                                json.getJSONObject("agree"), peerListen, peers, settings.settings.self()));
        if (agree != null) {
            ConfigDiff.values(json);
        }
        this.json = agree == null ? null : json;
        lists = new ListParser(settings.kinds, settings.zones);
        String told =
                list != null || json.isNull("known") ? list : json.get("known").toString();
        known = key(
                "known", () -> told == null ? new ListUpdate(0, true, List.of()) : lists.parse(told, unreadable::add));
    }

    /** The known list, once: the configuration lives on, and need not hold a large fleet twice. */
    ListUpdate takeKnown() {
        ListUpdate taken = known;
        known = null;
        return taken;
    }

    /**
     * What our files in the temporary folder are called: it may be shared with dispatchers at other
     * addresses.
     */
    String fileName() {
        return "saffronferry-" + listen.toString().replace(':', '-');
    }

    private static void standIn(JSONObject json, String key, String value) {
        if (json.isNull(key) && value != null) {
            json.put(key, value);
        }
    }

    private interface Reading<T> {
        T read();
    }

    private static <T> T key(String name, Reading<T> reading) {
        try {
            return reading.read();
        } catch (JSONException | IllegalArgumentException e) {
            throw new IllegalArgumentException("configuration key " + name + ": " + e.getMessage());
        }
    }

    private static int sockets(JSONObject limits) {
        int sockets = limits == null || limits.isNull("sockets") ? 1024 : limits.getInt("sockets");
        if (sockets < 64) {
            throw new IllegalArgumentException("must be 64 at least: " + sockets);
        }
        return sockets;
    }

    private static List<Address> peers(JSONArray array) {
        List<Address> result = new ArrayList<>();
        for (int i = 0; array != null && i < array.length(); i++) {
            result.add(Address.parse(array.getString(i)));
        }
        return result;
    }
}
