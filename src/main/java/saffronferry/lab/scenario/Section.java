package saffronferry.lab.scenario;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * One table of a file. Each reading names the key, its default, unit and bounds: what is wrong goes to the
 * list of problems and the default stands in, so that one pass finds everything; and what was read can be
 * explained.
 */
final class Section {
    /** A value as it counts: given, or the default. */
    record Value(String key, Object value, String unit, boolean given) {}

    private final String file;
    private final String path;
    private final TomlTable table;
    private final List<Problem> problems;
    private final List<Value> values;
    private final Map<String, Object> instead;
    private final Set<String> known = new LinkedHashSet<>();

    /**
     * {@code table} null: all is missing. {@code instead}: values by full key that stand in for the file's.
     */
    Section(
            String file,
            String path,
            TomlTable table,
            List<Problem> problems,
            List<Value> values,
            Map<String, Object> instead) {
        this.file = file;
        this.path = path;
        this.table = table;
        this.problems = problems;
        this.values = values;
        this.instead = instead;
    }

    private String full(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private void problem(String key, String text) {
        TomlPosition at = table == null ? null : table.inputPositionOf(List.of(key));
        problems.add(new Problem(file, at == null ? 0 : at.line(), at == null ? 0 : at.column(), full(key), text));
    }

    private Object get(String key) {
        known.add(key);
        if (instead.containsKey(full(key))) {
            return instead.get(full(key));
        }
        return table == null ? null : table.get(List.of(key));
    }

    private <T> T note(String key, T value, String unit, boolean given) {
        values.add(new Value(full(key), value, unit, given));
        return value;
    }

    double number(String key, double otherwise, double least, double most, String unit) {
        Object got = get(key);
        if (got == null) {
            return note(key, otherwise, unit, false);
        }
        if (!(got instanceof Number n)) {
            problem(key, "expected a number (" + unit + "), got " + kind(got));
            return otherwise;
        }
        double value = n.doubleValue();
        if (!(value >= least && value <= most)) {
            problem(key, "expected " + trim(least) + " to " + trim(most) + " (" + unit + "), got " + trim(value));
            return otherwise;
        }
        return note(key, value, unit, true);
    }

    int whole(String key, int otherwise, int least, int most, String unit) {
        Object got = get(key);
        if (got == null) {
            return note(key, otherwise, unit, false);
        }
        if (!(got instanceof Long n) || n < least || n > most) {
            problem(
                    key,
                    "expected a whole number from " + least + " to " + most + " (" + unit + "), got "
                            + (got instanceof Long ? got : kind(got)));
            return otherwise;
        }
        return note(key, (int) (long) n, unit, true);
    }

    boolean flag(String key, boolean otherwise) {
        Object got = get(key);
        if (got == null) {
            return note(key, otherwise, "true or false", false);
        }
        if (!(got instanceof Boolean b)) {
            problem(key, "expected true or false, got " + kind(got));
            return otherwise;
        }
        return note(key, b, "true or false", true);
    }

    String text(String key, String otherwise, List<String> allowed) {
        Object got = get(key);
        String unit = allowed.isEmpty() ? "text" : "one of " + String.join(", ", allowed);
        if (got == null) {
            if (otherwise == null) {
                problem(key, "is missing: expected " + unit);
                return allowed.isEmpty() ? "" : allowed.get(0);
            }
            return note(key, otherwise, unit, false);
        }
        if (!(got instanceof String s) || !allowed.isEmpty() && !allowed.contains(s)) {
            problem(
                    key,
                    "expected " + unit + ", got "
                            + (got instanceof String s ? "\"" + s + "\"" + near(s, allowed) : kind(got)));
            return otherwise != null ? otherwise : allowed.isEmpty() ? "" : allowed.get(0);
        }
        return note(key, s, unit, true);
    }

    List<String> texts(String key, List<String> otherwise) {
        Object got = get(key);
        if (got == null) {
            return note(key, otherwise, "list of texts", false);
        }
        List<String> result = new ArrayList<>();
        if (got instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof String s) {
                    result.add(s);
                }
            }
            if (result.size() == array.size() && !result.isEmpty()) {
                return note(key, result, "list of texts", true);
            }
        }
        problem(key, "expected a list of texts with one at least, got " + kind(got));
        return otherwise;
    }

    Section section(String key) {
        Object got = get(key);
        if (got != null && !(got instanceof TomlTable)) {
            problem(key, "expected a table [" + full(key) + "], got " + kind(got));
        }
        return new Section(file, full(key), got instanceof TomlTable t ? t : null, problems, values, instead);
    }

    /** The tables of a list {@code [[key]]}. */
    List<Section> sections(String key) {
        Object got = get(key);
        List<Section> result = new ArrayList<>();
        if (got instanceof TomlArray array && array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            for (int i = 0; i < array.size(); i++) {
                result.add(new Section(file, full(key) + "[" + i + "]", array.getTable(i), problems, values, instead));
            }
        } else if (got != null) {
            problem(key, "expected tables [[" + full(key) + "]], got " + kind(got));
        }
        return result;
    }

    /** Something that no single reading can see is wrong with this key. */
    void wrong(String key, String text) {
        problem(key, text);
    }

    /** To be called when all has been read: what else is there is unknown. */
    void done() {
        if (table != null) {
            for (String key : table.keySet()) {
                if (!known.contains(key)) {
                    problem(
                            key,
                            "is no key of " + (path.isEmpty() ? "a scenario" : "[" + path + "]")
                                    + near(key, List.copyOf(known)));
                }
            }
        }
    }

    static String near(String word, List<String> among) {
        String best = null;
        int least = Math.max(2, word.length() / 2);
        for (String candidate : among) {
            int distance = LevenshteinDistance.getDefaultInstance().apply(word, candidate);
            if (distance <= least) {
                least = distance - 1;
                best = candidate;
            }
        }
        return best == null ? "" : "; did you mean " + best + "?";
    }

    private static String kind(Object got) {
        return got instanceof String s
                ? "the text \"" + s + "\""
                : got instanceof TomlArray ? "a list" : got instanceof TomlTable ? "a table" : String.valueOf(got);
    }

    private static String trim(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
