package saffronferry.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.state.ListUpdate;

/**
 * Reads discovery's lists, one JSON object each, token by token: as a tree the list of a large fleet takes
 * many times the memory of its text, more than all else that a dispatcher holds.
 */
public final class ListParser {
    private static final JsonFactory JSON = JsonFactory.builder()
            // guards against two lists in one: which of two members of a name counts would be chance
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

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
        try (JsonParser in = JSON.createParser(json)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IllegalArgumentException("no JSON object");
            }
            Long revision = null;
            Boolean complete = null;
            List<ListUpdate.Entry> entries = null;
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String key = in.currentName();
                in.nextToken();
                switch (key) {
                    case "revision" -> revision = whole(in, key);
                    case "complete" -> complete = flag(in, key);
                    case "members" -> entries = members(in, unreadable);
                    default -> in.skipChildren();
                }
            }
            return new ListUpdate(there(revision, "revision"), there(complete, "complete"), there(entries, "members"));
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage());
        }
    }

    /**
     * Finds the object that a JSON object has under a name, so that it need not be made a tree of.
     *
     * @return where its text begins and ends; null where there is none, or the text is no JSON
     */
    public static int[] findObject(String json, String name) {
        try (JsonParser in = JSON.createParser(json)) {
            in.nextToken();
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String key = in.currentName();
                boolean found = in.nextToken() == JsonToken.START_OBJECT && key.equals(name);
                int from = (int) in.currentTokenLocation().getCharOffset();
                in.skipChildren();
                if (found) {
                    return new int[] {from, (int) in.currentLocation().getCharOffset()};
                }
            }
            return null;
        } catch (IOException e) {
            return null;
        }
    }

    private static <T> T there(T value, String key) {
        if (value == null) {
            throw new IllegalArgumentException("key " + key + " is missing");
        }
        return value;
    }

    private static IllegalArgumentException wrong(String key, String wanted) {
        return new IllegalArgumentException("key " + key + " is no " + wanted);
    }

    private static long whole(JsonParser in, String key) throws IOException {
        if (!in.currentToken().isNumeric()) {
            throw wrong(key, "number");
        }
        return in.getLongValue();
    }

    private static boolean flag(JsonParser in, String key) throws IOException {
        if (!in.currentToken().isBoolean()) {
            throw wrong(key, "boolean");
        }
        return in.getBooleanValue();
    }

    private List<ListUpdate.Entry> members(JsonParser in, Consumer<String> unreadable) throws IOException {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw wrong("members", "array");
        }
        List<ListUpdate.Entry> entries = new ArrayList<>();
        for (int i = 0; in.nextToken() != JsonToken.END_ARRAY; i++) {
            try {
                entries.add(entry(in));
            } catch (IllegalArgumentException e) {
                // guards the rest of the list: asked again, discovery would only say the same again
                unreadable.accept("entry " + i + ": " + e.getMessage());
            }
        }
        return entries;
    }

    /** Reads one to its end, whatever it is: what follows can be read only from there. */
    private ListUpdate.Entry entry(JsonParser in) throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            in.skipChildren();
            throw new IllegalArgumentException("no JSON object");
        }
        String id = null;
        String phase = null;
        String address = "";
        int kind = -1;
        int zone = -1;
        long startedMs = 0;
        int cell = 0;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String key = in.currentName();
            in.nextToken();
            switch (key) {
                case "id" -> id = text(in);
                case "phase" -> phase = text(in);
                case "host_port" -> address = in.getValueAsString("");
                case "flavor" -> kind = kinds.indexOf(in.getValueAsString(""));
                case "locality" -> zone = zones.indexOf(in.getValueAsString(""));
                case "up_since_ms" -> startedMs = in.getValueAsLong();
                case "cell" -> cell = (int) in.getValueAsLong();
                default -> {}
            }
            in.skipChildren(); // of what is neither text nor number
        }
        WorkerState state = switch (there(phase, "phase")) {
            case "SERVING" -> WorkerState.IN_SERVICE;
            case "DRAINING" -> WorkerState.DRAINING;
            case "DELETED" -> WorkerState.GONE;
            default -> throw new IllegalArgumentException("unknown phase " + phase);
        };
        if (state != WorkerState.GONE) {
            Address.parse(address);
        }
        return new ListUpdate.Entry(
                new WorkerInfo(there(id, "id"), state, kind, zone, startedMs * 1000, cell), address);
    }

    /** Null where it is none. */
    private static String text(JsonParser in) throws IOException {
        return in.currentToken() == JsonToken.VALUE_STRING ? in.getText() : null;
    }
}
