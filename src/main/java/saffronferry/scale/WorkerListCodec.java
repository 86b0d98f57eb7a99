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
 * Discovery's lines as bytes: those of one line are made once for all dispatchers that are told it, and each
 * of them reads them by itself.
 */
final class WorkerListCodec {
    /** What is kept of lines made: enough for a burst of changes, or for some whole lists. */
    private static final long MOST_BYTES = 16_000_000;

    private final List<String> kinds;
    private final List<String> zones;
    private final ListParser parser;
    private final Map<List<WorkerInfo>, byte[]> made = new LinkedHashMap<>();
    private long bytes;
    private long revision;

    WorkerListCodec(Scenario scenario) {
        kinds = scenario.kinds().stream().map(Scenario.Kind::name).toList();
        zones = scenario.zones();
        parser = new ListParser(kinds, zones);
    }

    /** The bytes of one line, its line feed included. */
    byte[] line(List<WorkerInfo> entries, ListKind kind) {
        byte[] line = made.get(entries);
        if (line == null) {
            line = make(entries, kind != ListKind.CHANGES);
            made.put(entries, line);
            bytes += line.length;
            for (Iterator<byte[]> oldest = made.values().iterator(); bytes > MOST_BYTES && made.size() > 1; ) {
                bytes -= oldest.next().length;
                oldest.remove();
            }
        }
        return line;
    }

    private byte[] make(List<WorkerInfo> entries, boolean whole) {
        StringBuilder text = new StringBuilder(160 * entries.size() + 64)
                .append("{\"revision\":")
                .append(++revision)
                .append(",\"complete\":")
                .append(whole)
                .append(",\"members\":[");
        for (int i = 0; i < entries.size(); i++) {
            text.append(i == 0 ? "" : ",");
            member(text, entries.get(i));
        }
        return text.append("]}\n").toString().getBytes(StandardCharsets.UTF_8);
    }

    private void member(StringBuilder text, WorkerInfo w) {
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

    /** What a dispatcher reads from a line; an entry that it cannot read ends the play. */
    ListUpdate read(byte[] line) {
        return parser.parse(new String(line, StandardCharsets.UTF_8), bad -> {
            throw new IllegalStateException("a line of the list cannot be read: " + bad);
        });
    }
}
