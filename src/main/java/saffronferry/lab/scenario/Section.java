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
 * A table of a scenario file. Each read names the key, its default, unit and bounds. An invalid value is added to
 * the list of problems and replaced by the default, so that one pass finds all problems. Values that were read are
 * recorded for {@code lab explain}.
 */
final class Section {
    /** An effective value: given in the file or overridden ({@code explicit}), or the default. */
    record Value(String key, Object value, String unit, boolean explicit) {}

    private final String file;
    private final String path;
    private final TomlTable table;
    private final List<Problem> problems;
    private final List<Value> values;
    private final Map<String, Object> overrides;
    private final Set<String> knownKeys = new LinkedHashSet<>();

    /**
     * A null {@code table} has no keys. {@code overrides} are values by full key that replace those of the file.
     */
    Section(
            String file,
            String path,
            TomlTable table,
            List<Problem> problems,
            List<Value> values,
            Map<String, Object> overrides) {
        this.file = file;
        this.path = path;
        this.table = table;
        this.problems = problems;
        this.values = values;
        this.overrides = overrides;
    }

    private String full(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private void problem(String key, String text) {
        TomlPosition at = table == null ? null : table.inputPositionOf(List.of(key));
        problems.add(new Problem(file, at == null ? 0 : at.line(), at == null ? 0 : at.column(), full(key), text));
    }

    private Object read(String key) {
        knownKeys.add(key);
        if (overrides.containsKey(full(key))) {
            return overrides.get(full(key));
        }
        return table == null ? null : table.get(List.of(key));
    }

    private <T> T recordValue(String key, T value, String unit, boolean explicit) {
        values.add(new Value(full(key), value, unit, explicit));
        return value;
    }

    double number(String key, double defaultValue, double min, double max, String unit) {
        Object got = read(key);
        if (got == null) {
            return recordValue(key, defaultValue, unit, false);
        }
        if (!(got instanceof Number n)) {
            problem(key, "expected a number (" + unit + "), got " + kind(got));
            return defaultValue;
        }
        double value = n.doubleValue();
        if (!(value >= min && value <= max)) {
            problem(key, "expected " + trim(min) + " to " + trim(max) + " (" + unit + "), got " + trim(value));
            return defaultValue;
        }
        return recordValue(key, value, unit, true);
    }

    int whole(String key, int defaultValue, int min, int max, String unit) {
        Object got = read(key);
        if (got == null) {
            return recordValue(key, defaultValue, unit, false);
        }
        if (!(got instanceof Long n) || n < min || n > max) {
            problem(
                    key,
                    "expected a whole number from " + min + " to " + max + " (" + unit + "), got "
                            + (got instanceof Long ? got : kind(got)));
            return defaultValue;
        }
        return recordValue(key, (int) (long) n, unit, true);
    }

    boolean flag(String key, boolean defaultValue) {
        Object got = read(key);
        if (got == null) {
            return recordValue(key, defaultValue, "true or false", false);
        }
        if (!(got instanceof Boolean b)) {
            problem(key, "expected true or false, got " + kind(got));
            return defaultValue;
        }
        return recordValue(key, b, "true or false", true);
    }

    String text(String key, String defaultValue, List<String> allowed) {
        Object got = read(key);
        String unit = allowed.isEmpty() ? "text" : "one of " + String.join(", ", allowed);
        if (got == null) {
            if (defaultValue == null) {
                problem(key, "is missing: expected " + unit);
                return allowed.isEmpty() ? "" : allowed.get(0);
            }
            return recordValue(key, defaultValue, unit, false);
        }
        if (!(got instanceof String s) || !allowed.isEmpty() && !allowed.contains(s)) {
            problem(
                    key,
                    "expected " + unit + ", got "
                            + (got instanceof String s ? "\"" + s + "\"" + suggestion(s, allowed) : kind(got)));
            return defaultValue != null ? defaultValue : allowed.isEmpty() ? "" : allowed.get(0);
        }
        return recordValue(key, s, unit, true);
    }

    List<String> texts(String key, List<String> defaultValue) {
        Object got = read(key);
        if (got == null) {
            return recordValue(key, defaultValue, "list of texts", false);
        }
        List<String> result = new ArrayList<>();
        if (got instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof String s) {
                    result.add(s);
                }
            }
            if (result.size() == array.size() && !result.isEmpty()) {
                return recordValue(key, result, "list of texts", true);
            }
        }
        problem(key, "expected a list of texts with one at least, got " + kind(got));
        return defaultValue;
    }

    Section section(String key) {
        Object got = read(key);
        if (got != null && !(got instanceof TomlTable)) {
            problem(key, "expected a table [" + full(key) + "], got " + kind(got));
        }
        return new Section(file, full(key), got instanceof TomlTable t ? t : null, problems, values, overrides);
    }

    /** The tables of an array {@code [[key]]}. */
    List<Section> sections(String key) {
        Object got = read(key);
        List<Section> result = new ArrayList<>();
        if (got instanceof TomlArray array && array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            for (int i = 0; i < array.size(); i++) {
                result.add(
                        new Section(file, full(key) + "[" + i + "]", array.getTable(i), problems, values, overrides));
            }
        } else if (got != null) {
            problem(key, "expected tables [[" + full(key) + "]], got " + kind(got));
        }
        return result;
    }

    /** Reports a problem that involves more than the value of this key. */
    void addProblem(String key, String text) {
        problem(key, text);
    }

    /** Reports all keys of the table that have not been read. Call it after the last read. */
    void rejectUnknownKeys() {
        if (table != null) {
            for (String key : table.keySet()) {
                if (!knownKeys.contains(key)) {
                    problem(
                            key,
                            "is no key of " + (path.isEmpty() ? "a scenario" : "[" + path + "]")
                                    + suggestion(key, List.copyOf(knownKeys)));
                }
            }
        }
    }

    static String suggestion(String word, List<String> among) {
        String best = null;
        int min = Math.max(2, word.length() / 2);
        for (String candidate : among) {
            int distance = LevenshteinDistance.getDefaultInstance().apply(word, candidate);
            if (distance <= min) {
                min = distance - 1;
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
