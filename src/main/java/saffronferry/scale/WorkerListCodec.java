package saffronferry.scale;

import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.lab.scenario.Scenario;
import saffronferry.state.ListUpdate;
import saffronferry.wire.ListParser;

/**
 * Encodes worker list updates as discovery's JSON lines and parses them. A line is encoded once for all
 * dispatchers that receive it; each dispatcher parses it separately.
 */
final class WorkerListCodec {
    /** Limit of the cache of encoded lines: enough for a burst of changes or for several complete lists. */
    private static final long MAX_CACHED_BYTES = 16_000_000;

    private final List<String> kinds;
    private final List<String> zones;
    private final ListParser parser;
    private final Map<List<WorkerInfo>, byte[]> encodedLines = new LinkedHashMap<>();
    private long cachedBytes;
    private long revision;

    WorkerListCodec(Scenario scenario) {
        kinds = scenario.kinds().stream().map(Scenario.WorkerKind::name).toList();
        zones = scenario.zones();
        parser = new ListParser(kinds, zones);
    }

    /** Returns the bytes of one line, including the line feed. */
    byte[] encode(List<WorkerInfo> entries, ListKind kind) {
        byte[] line = encodedLines.get(entries);
        if (line == null) {
            line = encodeUncached(entries, kind != ListKind.CHANGES);
            encodedLines.put(entries, line);
            cachedBytes += line.length;
            for (Iterator<byte[]> oldest = encodedLines.values().iterator();
                    cachedBytes > MAX_CACHED_BYTES && encodedLines.size() > 1; ) {
                cachedBytes -= oldest.next().length;
                oldest.remove();
            }
        }
        return line;
    }

    private byte[] encodeUncached(List<WorkerInfo> entries, boolean whole) {
        StringBuilder text = new StringBuilder(160 * entries.size() + 64)
                .append("{\"revision\":")
                .append(++revision)
                .append(",\"complete\":")
                .append(whole)
                .append(",\"members\":[");
        for (int i = 0; i < entries.size(); i++) {
            text.append(i == 0 ? "" : ",");
            appendMember(text, entries.get(i));
        }
        return text.append("]}\n").toString().getBytes(StandardCharsets.UTF_8);
    }

    private void appendMember(StringBuilder text, WorkerInfo w) {
        text.append("{\"id\":")
                .append(JSONObject.quote(w.address()))
                .append(",\"host_port\":")
                .append(JSONObject.quote(w.address()))
                .append(",\"phase\":\"")
                .append(phase(w.state()))
                .append("\",\"flavor\":")
                .append(JSONObject.quote(kinds.get(w.kind())))
                .append(",\"locality\":")
                .append(JSONObject.quote(zones.get(w.zone())))
                .append(",\"cell\":")
                .append(w.cell())
                .append(",\"up_since_ms\":")
                .append(w.startedAt() / 1000)
                .append('}');
    }

    private static String phase(WorkerState state) {
        return switch (state) {
            case IN_SERVICE -> "SERVING";
            case DRAINING -> "DRAINING";
            case GONE -> "DELETED";
        };
    }

    /** Parses a line; an invalid entry ends the simulation with an {@link IllegalStateException}. */
    ListUpdate decode(byte[] line) {
        return parser.parse(new String(line, StandardCharsets.UTF_8), bad -> {
            throw new IllegalStateException("invalid entry in worker list line: " + bad);
        });
    }
}
