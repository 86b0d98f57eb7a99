package saffronferry.scale.fit;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The source of a figure, as written on a page: either measured runs, as {@code FILE FIGURE @ KEY=VALUE,
 * KEY=VALUE} (the mean if several runs match), or a fit over a size, as {@code fit FILE FIGURE over KEY at SIZE
 * by FORM @ KEY=VALUE}. {@code slope} in place of {@code fit} is the slope, {@code half} the half width of the
 * 95 % prediction interval. Without {@code by} the model is a line.
 */
public final class FigureSource {
    private static final Pattern RUN_PATTERN = Pattern.compile("(\\S+\\.json) (\\w+)(?: @ (.+))?");
    private static final Pattern FIT_PATTERN = Pattern.compile("(fit|half|slope) (\\S+\\.json) (\\w+) over (\\w+)"
            + "(?: at (\\S+))?(?: by (constant|line|n log n|n squared))?(?: @ (.+))?");

    private final String kind;
    private final String file;
    private final String figure;
    private final String sizeKey;
    private final double size;
    private final GrowthModel model;
    private final Map<String, String> conditions;

    private FigureSource(
            String kind,
            String file,
            String figure,
            String sizeKey,
            double size,
            GrowthModel model,
            Map<String, String> conditions) {
        this.kind = kind;
        this.file = file;
        this.figure = figure;
        this.sizeKey = sizeKey;
        this.size = size;
        this.model = model;
        this.conditions = conditions;
    }

    /** Parses a source; throws {@link IllegalArgumentException} with the expected format. */
    public static FigureSource parse(String text) {
        Matcher run = RUN_PATTERN.matcher(text);
        Matcher fitted = FIT_PATTERN.matcher(text);
        if (run.matches()) {
            Map<String, String> conditions = where(run.group(3));
            return new FigureSource("play", run.group(1), run.group(2), "", 0, GrowthModel.LINE, conditions);
        }
        if (!fitted.matches() || fitted.group(1).equals("slope") != (fitted.group(5) == null)) {
            throw new IllegalArgumentException(
                    "expected FILE FIGURE @ KEY=VALUE, or fit FILE FIGURE " + "over KEY at SIZE, got " + text);
        }
        GrowthModel model = GrowthModel.LINE;
        for (GrowthModel candidate : GrowthModel.values()) {
            model = candidate.label().equals(fitted.group(6)) ? candidate : model;
        }
        double size = fitted.group(5) == null ? 0 : Double.parseDouble(fitted.group(5));
        return new FigureSource(
                fitted.group(1),
                fitted.group(2),
                fitted.group(3),
                fitted.group(4),
                size,
                model,
                where(fitted.group(7)));
    }

    /** Parses conditions written as KEY=VALUE, KEY=VALUE; null is no conditions. */
    public static Map<String, String> where(String text) {
        Map<String, String> conditions = new LinkedHashMap<>();
        for (String condition : text == null ? new String[0] : text.split(",")) {
            int equals = condition.indexOf('=');
            if (equals <= 0) {
                throw new IllegalArgumentException("expected KEY=VALUE, got " + condition);
            }
            conditions.put(
                    condition.substring(0, equals).trim(),
                    condition.substring(equals + 1).trim());
        }
        return conditions;
    }

    /** Computes the figure from the result files. */
    public double value(Function<String, ResultFile> files) {
        if (!isFit()) {
            return files.apply(file).mean(figure, conditions);
        }
        Fit fit = Fit.of(model, files.apply(file).points(figure, sizeKey, conditions));
        return switch (kind) {
            case "slope" -> fit.slope();
            case "half" -> fit.predictionHalfWidth(size);
            default -> fit.predict(size);
        };
    }

    /** Compares all growth models over the same points; only valid for a fit. */
    public ModelComparison comparison(Function<String, ResultFile> files) {
        return ModelComparison.of(files.apply(file).points(figure, sizeKey, conditions));
    }

    public boolean isFit() {
        return !kind.equals("play");
    }

    public GrowthModel model() {
        return model;
    }

    /** The size of the forecast; 0 for a slope. */
    public double size() {
        return size;
    }

    public String file() {
        return file;
    }
}
