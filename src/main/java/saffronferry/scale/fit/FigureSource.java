package saffronferry.scale.fit;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Where a figure of a page comes from, as the page writes it: a play's, as {@code FILE FIGURE @ KEY=VALUE,
 * KEY=VALUE} (the mean, where several plays meet that); or of a fit over a size, as {@code fit FILE FIGURE
 * over KEY at SIZE by FORM @ KEY=VALUE}, where {@code slope} in place of {@code fit} stands for the slope
 * and {@code half} for half of the forecast's 95 % interval. Without {@code by} it is a line.
 */
public final class FigureSource {
    private static final Pattern PLAY = Pattern.compile("(\\S+\\.json) (\\w+)(?: @ (.+))?");
    private static final Pattern FITTED = Pattern.compile("(fit|half|slope) (\\S+\\.json) (\\w+) over (\\w+)"
            + "(?: at (\\S+))?(?: by (constant|line|n log n|n squared))?(?: @ (.+))?");

    private final String kind;
    private final String file;
    private final String figure;
    private final String over;
    private final double at;
    private final GrowthModel form;
    private final Map<String, String> where;

    private FigureSource(
            String kind, String file, String figure, String over, double at, GrowthModel form, Map<String, String> where) {
        this.kind = kind;
        this.file = file;
        this.figure = figure;
        this.over = over;
        this.at = at;
        this.form = form;
        this.where = where;
    }

    /** Reads a source; {@link IllegalArgumentException} says what it should have been. */
    public static FigureSource parse(String text) {
        Matcher play = PLAY.matcher(text);
        Matcher fitted = FITTED.matcher(text);
        if (play.matches()) {
            Map<String, String> where = where(play.group(3));
            return new FigureSource("play", play.group(1), play.group(2), "", 0, GrowthModel.LINE, where);
        }
        if (!fitted.matches() || fitted.group(1).equals("slope") != (fitted.group(5) == null)) {
            throw new IllegalArgumentException(
                    "expected FILE FIGURE @ KEY=VALUE, or fit FILE FIGURE " + "over KEY at SIZE, got " + text);
        }
        GrowthModel form = GrowthModel.LINE;
        for (GrowthModel each : GrowthModel.values()) {
            form = each.label().equals(fitted.group(6)) ? each : form;
        }
        double at = fitted.group(5) == null ? 0 : Double.parseDouble(fitted.group(5));
        return new FigureSource(
                fitted.group(1), fitted.group(2), fitted.group(3), fitted.group(4), at, form, where(fitted.group(7)));
    }

    /** Conditions written as KEY=VALUE, KEY=VALUE; null stands for none. */
    public static Map<String, String> where(String text) {
        Map<String, String> where = new LinkedHashMap<>();
        for (String each : text == null ? new String[0] : text.split(",")) {
            int equals = each.indexOf('=');
            if (equals <= 0) {
                throw new IllegalArgumentException("expected KEY=VALUE, got " + each);
            }
            where.put(
                    each.substring(0, equals).trim(), each.substring(equals + 1).trim());
        }
        return where;
    }

    /** What the result files say. */
    public double value(Function<String, ResultFile> files) {
        if (!isFit()) {
            return files.apply(file).mean(figure, where);
        }
        Fit fit = Fit.of(form, files.apply(file).points(figure, over, where));
        return switch (kind) {
            case "slope" -> fit.slope();
            case "half" -> fit.halfWidth(at);
            default -> fit.at(at);
        };
    }

    /** All forms over the same points; of a fit alone. */
    public ModelComparison comparison(Function<String, ResultFile> files) {
        return ModelComparison.of(files.apply(file).points(figure, over, where));
    }

    public boolean isFit() {
        return !kind.equals("play");
    }

    public GrowthModel form() {
        return form;
    }

    /** The size that the figure is for; 0 for a slope. */
    public double at() {
        return at;
    }

    public String file() {
        return file;
    }
}
