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
 * Parses the lists of discovery, one JSON object each, token by token: as a tree, the list of a large fleet would take
 * many times the memory of its text and more than all other data of a dispatcher.
 */
public final class ListParser {
    private static final JsonFactory JSON = JsonFactory.builder()
            // with duplicate fields, it would be arbitrary which of two lists counts
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    private final List<String> kinds;
    private final List<String> zones;

    public ListParser(List<String> kinds, List<String> zones) {
        this.kinds = kinds;
        this.zones = zones;
    }

    /**
     * Parses a list. An invalid entry is left out and reported to {@code invalidEntries}.
     *
     * @throws IllegalArgumentException if the list itself is malformed
     */
    public ListUpdate parse(String json, Consumer<String> invalidEntries) {
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
                    case "revision" -> revision = longValue(in, key);
                    case "complete" -> complete = booleanValue(in, key);
                    case "members" -> entries = members(in, invalidEntries);
                    default -> in.skipChildren();
                }
            }
            return new ListUpdate(
                    required(revision, "revision"), required(complete, "complete"), required(entries, "members"));
        } catch (IOException e) {
            throw new IllegalArgumentException(e.getMessage());
        }
    }

    /**
     * Locates the object that is the value of a field of a JSON object, without building a tree of it.
     *
     * @return the start and end offsets of its text; null if there is no such object or the text is not valid JSON
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

    private static <T> T required(T value, String key) {
        if (value == null) {
            throw new IllegalArgumentException("key " + key + " is missing");
        }
        return value;
    }

    private static IllegalArgumentException wrongType(String key, String expected) {
        return new IllegalArgumentException("key " + key + " is not of type " + expected);
    }

    private static long longValue(JsonParser in, String key) throws IOException {
        if (!in.currentToken().isNumeric()) {
            throw wrongType(key, "number");
        }
        return in.getLongValue();
    }

    private static boolean booleanValue(JsonParser in, String key) throws IOException {
        if (!in.currentToken().isBoolean()) {
            throw wrongType(key, "boolean");
        }
        return in.getBooleanValue();
    }

    private List<ListUpdate.Entry> members(JsonParser in, Consumer<String> invalidEntries) throws IOException {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw wrongType("members", "array");
        }
        List<ListUpdate.Entry> entries = new ArrayList<>();
        for (int i = 0; in.nextToken() != JsonToken.END_ARRAY; i++) {
            try {
                entries.add(entry(in));
            } catch (IllegalArgumentException e) {
                // rejecting the whole list would not help: discovery would send the same list again
                invalidEntries.accept("entry " + i + ": " + e.getMessage());
            }
        }
        return entries;
    }

    /** Reads a value of the array to its end, even if it is no object, so that the next one can be read. */
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
            // skips an object or array
            in.skipChildren();
        }
        WorkerState state = switch (required(phase, "phase")) {
            case "SERVING" -> WorkerState.IN_SERVICE;
            case "DRAINING" -> WorkerState.DRAINING;
            case "DELETED" -> WorkerState.GONE;
            default -> throw new IllegalArgumentException("unknown phase " + phase);
        };
        if (state != WorkerState.GONE) {
            Address.parse(address);
        }
        return new ListUpdate.Entry(
                new WorkerInfo(required(id, "id"), state, kind, zone, startedMs * 1000, cell), address);
    }

    /** The current value, or null if it is not a string. */
    private static String text(JsonParser in) throws IOException {
        return in.currentToken() == JsonToken.VALUE_STRING ? in.getText() : null;
    }
}
