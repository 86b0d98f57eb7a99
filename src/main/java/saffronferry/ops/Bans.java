package saffronferry.ops;

import java.util.Set;
import java.util.TreeSet;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * The ids of the workers that operators have taken out of service, with their stored form. Bans are not counted:
 * banning a worker twice needs only one call to bring it back. Immutable.
 */
public record Bans(Set<String> workers) {
    public static final Bans NONE = new Bans(Set.of());
    private static final int VERSION = 1;

    public Bans {
        workers = Set.copyOf(workers);
    }

    public boolean contains(String worker) {
        return workers.contains(worker);
    }

    public Bans with(String worker) {
        Set<String> more = new TreeSet<>(workers);
        more.add(worker);
        return new Bans(more);
    }

    public Bans without(String worker) {
        Set<String> fewer = new TreeSet<>(workers);
        fewer.remove(worker);
        return new Bans(fewer);
    }

    public String toJson() {
        JSONArray down = new JSONArray(new TreeSet<>(workers));
        return new JSONObject().put("version", VERSION).put("down", down) + "\n";
    }

    /**
     * Parses the output of {@link #toJson}.
     *
     * @throws IllegalArgumentException if the text is malformed or of another version
     */
    public static Bans parse(String text) {
        try {
            JSONObject json = new JSONObject(text);
            if (json.getInt("version") != VERSION) {
                throw new IllegalArgumentException("version " + json.getInt("version") + " is not known");
            }
            Set<String> workers = new TreeSet<>();
            JSONArray down = json.getJSONArray("down");
            for (int i = 0; i < down.length(); i++) {
                workers.add(down.getString(i));
            }
            return new Bans(workers);
        } catch (JSONException e) {
            throw new IllegalArgumentException(e.getMessage());
        }
    }
}
