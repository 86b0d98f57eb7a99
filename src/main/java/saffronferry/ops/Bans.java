package saffronferry.ops;

import java.util.Set;
import java.util.TreeSet;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * The workers that operators have taken out, by id, and how they are written down. A ban has no count: two
 * calls out need one call back. Immutable.
 */
public record Bans(Set<String> workers) {
    public static final Bans NONE = new Bans(Set.of());
    private static final int VERSION = 1;

    public Bans {
        workers = Set.copyOf(workers);
    }

    public boolean has(String worker) {
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

    public String text() {
        JSONArray down = new JSONArray(new TreeSet<>(workers));
        return new JSONObject().put("version", VERSION).put("down", down) + "\n";
    }

    /**
     * Reads {@link #text}; an {@link IllegalArgumentException} says what is damaged, or of another version.
     */
    public static Bans read(String text) {
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
