package saffronferry.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.json.JSONArray;
import org.json.JSONObject;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import saffronferry.scale.fit.ModelComparison;
import saffronferry.scale.fit.Fit;
import saffronferry.scale.fit.GrowthModel;
import saffronferry.scale.fit.DataPoint;
import saffronferry.scale.fit.ResultFile;
import saffronferry.scale.fit.FigureSource;

/** A straight line through what was measured, its spread, a forecast, and whether a line is the form. */
@Command(
        name = "scale-fit",
        description = "Fits a figure of a result file over a size and forecasts it; "
                + "says whether a straight line is the right form.")
final class ScaleFitCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "RESULT.json", description = "as lab sweep --out leaves it")
    private Path file;

    @Option(names = "--figure", required = true, description = "a key of the plays' figures")
    private String figure;

    @Option(names = "--over", required = true, description = "dispatchers, workers, or another size")
    private String over;

    @Option(names = "--at", required = true, paramLabel = "SIZE", description = "the size to forecast for")
    private double at;

    @Option(names = "--where", paramLabel = "KEY=VALUE,...", description = "only plays with these values")
    private String where;

    @Option(names = "--out", paramLabel = "FILE", description = "where the JSON goes")
    private Path out;

    @Override
    public Integer call() throws IOException {
        ResultFile result = new ResultFile(file.toString(), Files.readString(file));
        List<DataPoint> points = result.points(figure, over, FigureSource.where(where));
        ModelComparison comparison;
        try {
            comparison = ModelComparison.of(points);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + figure + " over " + over + ": " + e.getMessage());
        }
        table(comparison);
        if (out != null) {
            Files.writeString(out, json(comparison).toString(1) + "\n");
        }
        return 0;
    }

    private void table(ModelComparison comparison) {
        PrintWriter to = spec.commandLine().getOut();
        Fit line = comparison.fit(GrowthModel.LINE);
        to.printf(
                Locale.ROOT,
                "%s over %s, %d plays from %s to %s; forecast at %s%s%n",
                figure,
                over,
                line.runCount(),
                plain(line.smallestSize()),
                plain(line.largestSize()),
                plain(at),
                stretch(line));
        to.printf(
                "%-10s %12s %12s %12s %12s %12s %10s %12s %12s%n",
                "", "at 0", "slope", "its s.e.", "residual", "left out", "AIC", "forecast", "+- 95 %");
        for (Fit f : comparison.fits()) {
            to.printf(
                    Locale.ROOT,
                    "%-10s %12.5g %12.5g %12.5g %12.5g %12.5g %10.2f %12.5g %12.5g%s%n",
                    f.model().label(),
                    f.intercept(),
                    f.slope(),
                    f.slopeStandardError(),
                    f.residualError(),
                    f.leaveSizeOutError(),
                    f.aic(),
                    f.predict(at),
                    f.predictionHalfWidth(at),
                    f == comparison.best() ? "  best" : "");
        }
        to.println(
                comparison.best() == line
                        ? "a straight line is the best of these forms"
                        : comparison.best().model().label() + " fits better than a straight line");
        to.flush();
    }

    private String stretch(Fit line) {
        return at <= line.largestSize() ? "" : String.format(Locale.ROOT, ", %.1f times the largest", at / line.largestSize());
    }

    private static String plain(double size) {
        return size == Math.rint(size) ? Long.toString((long) size) : Double.toString(size);
    }

    private JSONObject json(ModelComparison comparison) {
        JSONArray forms = new JSONArray();
        for (Fit f : comparison.fits()) {
            forms.put(new JSONObject()
                    .put("form", f.model().label())
                    .put("intercept", f.intercept())
                    .put("slope", f.slope())
                    .put("slope_standard_error", f.slopeStandardError())
                    .put("residual_error", f.residualError())
                    .put("error_left_out", f.leaveSizeOutError())
                    .put("aic", f.aic())
                    .put("forecast", f.predict(at))
                    .put("half_width_95", f.predictionHalfWidth(at)));
        }
        Fit line = comparison.fit(GrowthModel.LINE);
        return new JSONObject()
                .put("file", file.getFileName().toString())
                .put("figure", figure)
                .put("over", over)
                .put("at", at)
                .put("least", line.smallestSize())
                .put("most", line.largestSize())
                .put("plays", line.runCount())
                .put("best", comparison.best().model().label())
                .put("forms", forms);
    }
}
