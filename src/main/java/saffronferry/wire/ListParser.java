package saffronferry.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;
import saffronferry.state.ListUpdate;

/** Reads discovery's lists, one JSON object each. */
public final class ListParser {
    private final List<String> kinds;
    private final List<String> zones;

    public ListParser(List<String> kinds, List<String> zones) {
        this.kinds = kinds;
        this.zones = zones;
    }

    /**
     * Reads a list. An entry that cannot be read costs that entry only, and is told of; a list that cannot is
     * an {@link IllegalArgumentException} that says what is malformed.
     */
    public ListUpdate parse(String json, Consumer<String> unreadable) {
        try {
            return parse(new JSONObject(json), unreadable);
        } catch (JSONException e) {
            throw new IllegalArgumentException(e.getMessage());
        }
    }

    /** The same, of what is JSON already. */
    public ListUpdate parse(JSONObject list, Consumer<String> unreadable) {
        try {
            List<ListUpdate.Entry> entries = new ArrayList<>();
            JSONArray members = list.getJSONArray("members");
            for (int i = 0; i < members.length(); i++) {
                try {
                    entries.add(entry(members.getJSONObject(i)));
                } catch (JSONException | IllegalArgumentException e) {
                    // guards the rest of the list: asked again, discovery would only say the same again
                    unreadable.accept("entry " + i + ": " + e.getMessage());
                }
            }
            return new ListUpdate(list.getLong("revision"), list.getBoolean("complete"), entries);
        } catch (JSONException e) {
            throw new IllegalArgumentException(e.getMessage());
        }
    }

    private ListUpdate.Entry entry(JSONObject e) {
        WorkerState state = switch (e.getString("phase")) {
            case "SERVING" -> WorkerState.IN_SERVICE;
            case "DRAINING" -> WorkerState.DRAINING;
            case "DELETED" -> WorkerState.GONE;
            default -> throw new IllegalArgumentException("unknown phase " + e.getString("phase"));
        };
        String address = e.optString("host_port");
        if (state != WorkerState.GONE) {
            Address.parse(address);
        }
        return new ListUpdate.Entry(new WorkerInfo(e.getString("id"), state,
                kinds.indexOf(e.optString("flavor")),
                zones.indexOf(e.optString("locality")), e.optLong("up_since_ms") * 1000, e.optInt("cell")),
                address);
    }
}
