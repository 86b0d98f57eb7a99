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
 * The configuration of a dispatcher process: reads it, checks it and supplies the defaults. Errors are reported as an
 * {@link IllegalArgumentException} that names the key.
 */
public final class Config {
    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final int MIN_DESCRIPTORS = 64;

    final Address listen;
    final Address discovery;
    /** The address for datagrams of other dispatchers; null if dispatchers do not communicate. */
    final Address peerListen;

    final List<Address> peers;
    /** The address of the operators' console; null if there is none. */
    final Address console;

    /** The folder of the files that outlive the process. */
    final Path folder;
    /** The maximum number of file descriptors of the process. */
    final int maxDescriptors;

    final SettingsReader settings;
    /** How dispatchers agree on settings that change at run time; null if settings do not change. */
    final AgreementOptions agreement;
    /** The parsed file, to compare a reloaded one with; null if settings do not change at run time. */
    final JSONObject json;

    final ListParser listParser;
    private ListUpdate knownList;
    /** Entries of the known list that could not be parsed and are left out. */
    final List<String> unreadableEntries = new ArrayList<>();

    /** Reads the file that {@code BALANCER_CONFIG} names; other environment variables supply missing keys. */
    static Config read(Map<String, String> environment) {
        String file = environment.get("BALANCER_CONFIG");
        if (file == null) {
            throw new IllegalArgumentException("BALANCER_CONFIG is not set");
        }
        try {
            String text = Files.readString(Path.of(file));
            int[] knownSpan = ListParser.findObject(text, "known");
            JSONObject json = new JSONObject(
                    knownSpan == null ? text : text.substring(0, knownSpan[0]) + "null" + text.substring(knownSpan[1]));
            putIfMissing(json, "listen", environment.get("BALANCER_LISTEN"));
            putIfMissing(json, "discovery", environment.get("BALANCER_DISCOVERY"));
            putIfMissing(json, "console", environment.get("BALANCER_CONSOLE"));
            return new Config(
                    json,
                    knownSpan == null ? null : text.substring(knownSpan[0], knownSpan[1]),
                    Path.of(System.getProperty("java.io.tmpdir")));
        } catch (IOException e) {
            throw new IllegalArgumentException("BALANCER_CONFIG: cannot read " + file);
        } catch (JSONException e) {
            throw new IllegalArgumentException("BALANCER_CONFIG: not valid JSON: " + e.getMessage());
        }
    }

    /**
     * Checks a file as {@code serve} does.
     *
     * @throws IllegalArgumentException naming the faulty key
     */
    public static void check(Path file) {
        read(Map.of("BALANCER_CONFIG", file.toString()));
    }

    /** Reads the configuration; files that outlive the process are kept in {@code folder}, if the platform keeps it. */
    Config(JSONObject json, Path folder) {
        this(json, null, folder);
    }

    /** {@code knownText}: the value of the key {@code known} if it was cut out of the JSON, else null. */
    private Config(JSONObject json, String knownText, Path folder) {
        this.folder = folder;
        listen = key("listen", () -> Address.parse(json.getString("listen")));
        discovery = key("discovery", () -> Address.parse(json.getString("discovery")));
        peerListen = json.isNull("peer_listen")
                ? null
                : key("peer_listen", () -> Address.parse(json.getString("peer_listen")));
        console = json.isNull("console") ? null : key("console", () -> Address.parse(json.getString("console")));
        peers = key("peers", () -> readPeers(json.optJSONArray("peers")));
        maxDescriptors = key("limits.sockets", () -> readMaxDescriptors(json.optJSONObject("limits")));
        long seed = key(
                "seed",
                () -> json.isNull("seed") ? System.nanoTime() : Long.parseUnsignedLong(json.getString("seed"), 16));
        settings = key("settings", () -> new SettingsReader(seed, json.getJSONObject("settings")));
        agreement = json.isNull("agree")
                ? null
                : key(
                        "agree",
                        () -> AgreementOptions.read(
                                json.getJSONObject("agree"), peerListen, peers, settings.settings.self()));
        if (agreement != null) {
            ConfigDiff.changeableValues(json);
        }
        this.json = agreement == null ? null : json;
        listParser = new ListParser(settings.kinds, settings.zones);
        String list = knownText != null || json.isNull("known")
                ? knownText
                : json.get("known").toString();
        knownList = key(
                "known",
                () -> list == null
                        ? new ListUpdate(0, true, List.of())
                        : listParser.parse(list, unreadableEntries::add));
    }

    /** Returns the known list and releases it, so that a large fleet is not kept in memory twice. */
    ListUpdate takeKnownList() {
        ListUpdate taken = knownList;
        knownList = null;
        return taken;
    }

    /**
     * The common prefix of this dispatcher's files. It contains the address, because dispatchers at other addresses
     * may use the same folder.
     */
    String fileName() {
        return "saffronferry-" + listen.toString().replace(':', '-');
    }

    private static void putIfMissing(JSONObject json, String key, String value) {
        if (json.isNull(key) && value != null) {
            json.put(key, value);
        }
    }

    private interface KeyReader<T> {
        T read();
    }

    private static <T> T key(String name, KeyReader<T> reader) {
        try {
            return reader.read();
        } catch (JSONException | IllegalArgumentException e) {
            throw new IllegalArgumentException("configuration key " + name + ": " + e.getMessage());
        }
    }

    private static int readMaxDescriptors(JSONObject limits) {
        int sockets = limits == null || limits.isNull("sockets") ? DEFAULT_DESCRIPTORS : limits.getInt("sockets");
        if (sockets < MIN_DESCRIPTORS) {
            throw new IllegalArgumentException("must be at least " + MIN_DESCRIPTORS + ": " + sockets);
        }
        return sockets;
    }

    private static List<Address> readPeers(JSONArray array) {
        List<Address> result = new ArrayList<>();
        for (int i = 0; array != null && i < array.length(); i++) {
            result.add(Address.parse(array.getString(i)));
        }
        return result;
    }
}
