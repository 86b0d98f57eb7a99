package saffronferry.wire;

import java.util.ArrayList;
import java.util.List;
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

    /** Throws an {@link IllegalArgumentException} that says what is malformed. */
    public ListUpdate parse(String json) {
        try {
            return parse(new JSONObject(json));
        } catch (JSONException e) {
            throw new IllegalArgumentException(e.getMessage());
        }
    }

    public ListUpdate parse(JSONObject list) {
        try {
            List<ListUpdate.Entry> entries = new ArrayList<>();
            JSONArray members = list.getJSONArray("members");
            for (int i = 0; i < members.length(); i++) {
                entries.add(entry(members.getJSONObject(i)));
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
