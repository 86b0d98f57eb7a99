package saffronferry.scale.fit;

import java.util.Arrays;
import java.util.List;

/**
 * All forms fitted to the same points, and the one that fits best: the least error at sizes left out, or a
 * simpler form whose error is within a tenth of it, or beyond what a double can tell.
 */
public record ModelComparison(List<Fit> fits, Fit best) {
    private static final double ALIKE = 1.1;
    private static final double ROUNDING = 1e-9;

    /**
     * Fits all forms.
     *
     * @throws IllegalArgumentException with fewer than three sizes
     */
    public static ModelComparison of(List<DataPoint> points) {
        List<Fit> fits =
                Arrays.stream(GrowthModel.values()).map(form -> Fit.of(form, points)).toList();
        double least = fits.stream().mapToDouble(Fit::errorLeftOut).min().orElseThrow();
        double largest =
                points.stream().mapToDouble(p -> Math.abs(p.figure())).max().orElseThrow();
        double enough = Math.max(least * ALIKE, largest * ROUNDING);
        Fit best = fits.stream()
                .filter(f -> f.errorLeftOut() <= enough)
                .findFirst()
                .orElseThrow();
        return new ModelComparison(fits, best);
    }

    public Fit of(GrowthModel form) {
        return fits.get(form.ordinal());
    }
}
