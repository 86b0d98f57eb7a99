package saffronferry.scale.fit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * A result file: runs at several sizes, each with its figures. Invalid content is reported as an {@link
 * IllegalArgumentException} that names the file and the key, or the line of a JSON syntax error.
 */
public final class ResultFile {
    private final String file;
    private final JSONArray runs;

    /**
     * Reads a result.
     *
     * @param file the file name for error messages
     * @param text the content of the file
     */
    public ResultFile(String file, String text) {
        this.file = file;
        try {
            runs = new JSONObject(text).getJSONArray("plays");
        } catch (JSONException e) {
            // the library's message names the line or the key
            throw new IllegalArgumentException(file + ": " + e.getMessage());
        }
    }

    /**
     * A figure of all runs that meet some conditions, by size.
     *
     * @param figure a key of {@code figures}
     * @param sizeKey a key of a run, another one of its figures, or a key that a sweep has set
     * @param conditions keys and their required values
     */
    public List<DataPoint> points(String figure, String sizeKey, Map<String, String> conditions) {
        List<DataPoint> points = new ArrayList<>();
        for (int i = 0; i < runs.length(); i++) {
            JSONObject run = run(i);
            if (meetsAll(run, conditions)) {
                double measured = number(figures(run, i), i, figure);
                points.add(new DataPoint(number(run, i, sizeKey), measured));
            }
        }
        if (points.isEmpty()) {
            throw new IllegalArgumentException(file + ": plays: none with " + conditions);
        }
        return points;
    }

    /** The mean of a figure over the runs that meet some conditions. */
    public double mean(String figure, Map<String, String> conditions) {
        // the size is not used, so the figure itself is passed as a key that every run has
        return points(figure, figure, conditions).stream()
                .mapToDouble(DataPoint::value)
                .average()
                .orElseThrow();
    }

    private JSONObject run(int i) {
        if (runs.opt(i) instanceof JSONObject run) {
            return run;
        }
        throw new IllegalArgumentException(file + ": plays[" + i + "]: expected an object");
    }

    private JSONObject figures(JSONObject run, int i) {
        if (run.opt("figures") instanceof JSONObject figures) {
            return figures;
        }
        throw new IllegalArgumentException(file + ": plays[" + i + "].figures: expected an object");
    }

    private static Object value(JSONObject run, String key) {
        for (JSONObject part : new JSONObject[] {run, run.optJSONObject("figures"), run.optJSONObject("set")}) {
            if (part != null && part.has(key)) {
                return part.get(key);
            }
        }
        return null;
    }

    private static boolean meetsAll(JSONObject run, Map<String, String> conditions) {
        return conditions.entrySet().stream().allMatch(e -> matches(value(run, e.getKey()), e.getValue()));
    }

    private static boolean matches(Object value, String expected) {
        try {
            return value != null && Double.parseDouble(value.toString()) == Double.parseDouble(expected);
        } catch (NumberFormatException e) {
            return value.toString().equals(expected);
        }
    }

    private double number(JSONObject run, int i, String key) {
        if (value(run, key) instanceof Number number && Double.isFinite(number.doubleValue())) {
            return number.doubleValue();
        }
        throw new IllegalArgumentException(
                file + ": plays[" + i + "]: " + key + ": expected a number, got " + value(run, key));
    }
}
