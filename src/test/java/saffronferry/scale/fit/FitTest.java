package saffronferry.scale.fit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Test;

/** Fits of exact series with known parameters, of noisy series, and rejected input. */
class FitTest {
    private static final double[] SIZES = {200, 2000, 8000, 21000};

    private static List<DataPoint> series(DoubleUnaryOperator figure, double... sizes) {
        return DoubleStream.of(sizes)
                .mapToObj(n -> new DataPoint(n, figure.applyAsDouble(n)))
                .toList();
    }

    /** Expected values computed from the least squares formulas, independently of the library. */
    @Test
    void lineFitHasSlopeErrorAndForecast() {
        List<DataPoint> points = List.of(
                new DataPoint(1, 2.2),
                new DataPoint(2, 2.8),
                new DataPoint(3, 3.6),
                new DataPoint(4, 4.5),
                new DataPoint(5, 5.1));
        Fit fit = Fit.of(GrowthModel.LINE, points);
        assertEquals(1.39, fit.intercept(), 1e-12);
        assertEquals(0.75, fit.slope(), 1e-12);
        assertEquals(0.09486832980505153, fit.residualError(), 1e-12);
        assertEquals(0.03, fit.slopeStandardError(), 1e-12);
        assertEquals(8.89, fit.predict(10), 1e-12);
        assertEquals(0.7456710067331034, fit.predictionHalfWidth(10), 1e-9);
        assertEquals(1, fit.smallestSize());
        assertEquals(5, fit.largestSize());
    }

    @Test
    void eachModelIsIdentifiedFromExactData() {
        Map<GrowthModel, DoubleUnaryOperator> exact = Map.of(
                GrowthModel.CONSTANT,
                n -> 7,
                GrowthModel.LINE,
                n -> 3 + 0.002 * n,
                GrowthModel.N_LOG_N,
                n -> 3 + 0.0001 * n * Math.log(n),
                GrowthModel.N_SQUARED,
                n -> 3 + 1e-8 * n * n);
        exact.forEach((form, figure) -> {
            ModelComparison c = ModelComparison.of(series(figure, SIZES));
            assertEquals(form, c.best().model());
            assertEquals(figure.applyAsDouble(50_000), c.best().predict(50_000), 1e-6, form.label());
        });
    }

    /** Three runs per size with noise of up to 4: the model is identified, and the interval holds the true value. */
    @Test
    void modelIsIdentifiedFromNoisyData() {
        DoubleUnaryOperator line = n -> 20 + 3 * n;
        DoubleUnaryOperator square = n -> 20 + 0.05 * n * n;
        int within = 0;
        for (int seed = 0; seed < 40; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<DataPoint> straight = new ArrayList<>();
            List<DataPoint> bent = new ArrayList<>();
            for (double n : new double[] {24, 48, 96, 192, 24, 48, 96, 192, 24, 48, 96, 192}) {
                double noise = 8 * random.nextDouble() - 4;
                straight.add(new DataPoint(n, line.applyAsDouble(n) + noise));
                bent.add(new DataPoint(n, square.applyAsDouble(n) + noise));
            }
            assertEquals(GrowthModel.N_SQUARED, ModelComparison.of(bent).best().model(), "seed " + seed);
            assertEquals(GrowthModel.LINE, ModelComparison.of(straight).best().model(), "seed " + seed);
            Fit fit = Fit.of(GrowthModel.LINE, straight);
            within += Math.abs(fit.predict(384) - line.applyAsDouble(384)) <= fit.predictionHalfWidth(384) ? 1 : 0;
        }
        assertTrue(within >= 36, within + " of 40");
    }

    /** Noise without growth is identified as a constant. */
    @Test
    void noiseAloneIsFittedAsConstant() {
        assertEquals(
                GrowthModel.CONSTANT,
                ModelComparison.of(List.of(
                                new DataPoint(24, 5.1),
                                new DataPoint(48, 4.9),
                                new DataPoint(96, 5.05),
                                new DataPoint(192, 4.95),
                                new DataPoint(384, 5.02)))
                        .best()
                        .model());
    }

    /** Repeated runs at the same size do not count as further sizes. */
    @Test
    void twoSizesAreRejected() {
        List<DataPoint> points =
                List.of(new DataPoint(1, 1), new DataPoint(2, 2), new DataPoint(1, 1.1), new DataPoint(2, 2.1));
        assertEquals(
                "too few sizes: 2, needed 3",
                assertThrows(IllegalArgumentException.class, () -> Fit.of(GrowthModel.LINE, points))
                        .getMessage());
    }
}
