package saffronferry.scale.fit;

import java.util.Arrays;
import java.util.List;

/**
 * All growth models fitted to the same points, and the best of them: the simplest one whose cross-validation
 * error is within 10 % of the smallest error, or below rounding error.
 */
public record ModelComparison(List<Fit> fits, Fit best) {
    private static final double SIMPLER_MODEL_TOLERANCE = 1.1;
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /**
     * Fits all models.
     *
     * @throws IllegalArgumentException with fewer than three sizes
     */
    public static ModelComparison of(List<DataPoint> points) {
        List<Fit> fits = Arrays.stream(GrowthModel.values())
                .map(model -> Fit.of(model, points))
                .toList();
        double smallestError =
                fits.stream().mapToDouble(Fit::leaveSizeOutError).min().orElseThrow();
        double largestValue =
                points.stream().mapToDouble(p -> Math.abs(p.value())).max().orElseThrow();
        double acceptedError = Math.max(smallestError * SIMPLER_MODEL_TOLERANCE, largestValue * ROUNDING_TOLERANCE);
        Fit best = fits.stream()
                .filter(f -> f.leaveSizeOutError() <= acceptedError)
                .findFirst()
                .orElseThrow();
        return new ModelComparison(fits, best);
    }

    public Fit fit(GrowthModel model) {
        return fits.get(model.ordinal());
    }
}
