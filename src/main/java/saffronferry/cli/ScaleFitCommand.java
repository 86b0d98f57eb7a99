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
import saffronferry.scale.fit.DataPoint;
import saffronferry.scale.fit.FigureSource;
import saffronferry.scale.fit.Fit;
import saffronferry.scale.fit.GrowthModel;
import saffronferry.scale.fit.ModelComparison;
import saffronferry.scale.fit.ResultFile;

/** The command {@code scale-fit}: fits growth forms to measured figures, forecasts, and compares the forms. */
@Command(
        name = "scale-fit",
        description = "Fits a figure of a result file over a size and forecasts it; "
                + "reports whether a straight line is the best form.")
final class ScaleFitCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "RESULT.json", description = "a result file as written by lab sweep --out")
    private Path file;

    @Option(names = "--figure", required = true, description = "a key of the figures in the result file")
    private String figure;

    @Option(names = "--over", required = true, description = "dispatchers, workers, or another size")
    private String over;

    @Option(names = "--at", required = true, paramLabel = "SIZE", description = "the size to forecast for")
    private double at;

    @Option(names = "--where", paramLabel = "KEY=VALUE,...", description = "only results with these values")
    private String where;

    @Option(names = "--out", paramLabel = "FILE", description = "file to write the JSON to")
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
        printTable(comparison);
        if (out != null) {
            Files.writeString(out, json(comparison).toString(1) + "\n");
        }
        return 0;
    }

    private void printTable(ModelComparison comparison) {
        PrintWriter writer = spec.commandLine().getOut();
        Fit line = comparison.fit(GrowthModel.LINE);
        writer.printf(
                Locale.ROOT,
                "%s over %s, %d plays from %s to %s; forecast at %s%s%n",
                figure,
                over,
                line.runCount(),
                formatSize(line.smallestSize()),
                formatSize(line.largestSize()),
                formatSize(at),
                extrapolation(line));
        writer.printf(
                "%-10s %12s %12s %12s %12s %12s %10s %12s %12s%n",
                "", "at 0", "slope", "its s.e.", "residual", "left out", "AIC", "forecast", "+- 95 %");
        for (Fit fit : comparison.fits()) {
            writer.printf(
                    Locale.ROOT,
                    "%-10s %12.5g %12.5g %12.5g %12.5g %12.5g %10.2f %12.5g %12.5g%s%n",
                    fit.model().label(),
                    fit.intercept(),
                    fit.slope(),
                    fit.slopeStandardError(),
                    fit.residualError(),
                    fit.leaveSizeOutError(),
                    fit.aic(),
                    fit.predict(at),
                    fit.predictionHalfWidth(at),
                    fit == comparison.best() ? "  best" : "");
        }
        writer.println(
                comparison.best() == line
                        ? "a straight line is the best of these forms"
                        : comparison.best().model().label() + " fits better than a straight line");
        writer.flush();
    }

    /** How far the forecast lies beyond the measured sizes; empty if it does not. */
    private String extrapolation(Fit line) {
        return at <= line.largestSize()
                ? ""
                : String.format(Locale.ROOT, ", %.1f times the largest", at / line.largestSize());
    }

    private static String formatSize(double size) {
        return size == Math.rint(size) ? Long.toString((long) size) : Double.toString(size);
    }

    private JSONObject json(ModelComparison comparison) {
        JSONArray forms = new JSONArray();
        for (Fit fit : comparison.fits()) {
            forms.put(new JSONObject()
                    .put("form", fit.model().label())
                    .put("intercept", fit.intercept())
                    .put("slope", fit.slope())
                    .put("slope_standard_error", fit.slopeStandardError())
                    .put("residual_error", fit.residualError())
                    .put("error_left_out", fit.leaveSizeOutError())
                    .put("aic", fit.aic())
                    .put("forecast", fit.predict(at))
                    .put("half_width_95", fit.predictionHalfWidth(at)));
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
