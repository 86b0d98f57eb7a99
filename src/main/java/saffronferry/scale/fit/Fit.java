package saffronferry.scale.fit;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A growth model fitted to points by least squares (Apache Commons Math's {@link SimpleRegression}). Values are
 * in the unit of the figure, slopes per unit of the model's regressor.
 *
 * <p>Repeated runs at one size do not distinguish growth models, so models are compared by the error at each
 * size of a fit to all other sizes: {@link #leaveSizeOutError}.
 */
public final class Fit {
    private static final double PREDICTION_LEVEL = 0.95;
    /** Fewer sizes cannot distinguish growth models. */
    static final int MIN_SIZES = 3;

    private final GrowthModel model;
    private final List<DataPoint> points;
    private final SimpleRegression regression;

    private Fit(GrowthModel model, List<DataPoint> points) {
        this.model = model;
        this.points = List.copyOf(points);
        regression = new SimpleRegression();
        points.forEach(p -> regression.addData(model.regressor(p.size()), p.value()));
    }

    /**
     * Fits a model.
     *
     * @throws IllegalArgumentException with fewer than three sizes
     */
    public static Fit of(GrowthModel model, List<DataPoint> points) {
        int sizes = sizes(points).size();
        if (sizes < MIN_SIZES) {
            throw new IllegalArgumentException("too few sizes: " + sizes + ", needed " + MIN_SIZES);
        }
        return new Fit(model, points);
    }

    private static TreeSet<Double> sizes(Collection<DataPoint> points) {
        return points.stream().map(DataPoint::size).collect(Collectors.toCollection(TreeSet::new));
    }

    public GrowthModel model() {
        return model;
    }

    public double intercept() {
        return model == GrowthModel.CONSTANT ? mean() : regression.getIntercept();
    }

    /** 0 for a constant. */
    public double slope() {
        return model == GrowthModel.CONSTANT ? 0 : regression.getSlope();
    }

    public double slopeStandardError() {
        return model == GrowthModel.CONSTANT ? 0 : regression.getSlopeStdErr();
    }

    public double predict(double size) {
        return intercept() + slope() * model.regressor(size);
    }

    /**
     * Half width of the 95 % prediction interval at a size, by Student's t: the range of one more run at that
     * size, provided that the model is right.
     */
    public double predictionHalfWidth(double size) {
        double x = model.regressor(size);
        double n = points.size();
        double spread = model == GrowthModel.CONSTANT ? 0 : square(x - meanRegressor()) / regression.getXSumSquares();
        return new TDistribution(degreesOfFreedom()).inverseCumulativeProbability((1 + PREDICTION_LEVEL) / 2)
                * residualError()
                * Math.sqrt(1 + 1 / n + spread);
    }

    /** The standard error of the residuals. */
    public double residualError() {
        return Math.sqrt(residualSquares() / degreesOfFreedom());
    }

    private int degreesOfFreedom() {
        return points.size() - model.parameters();
    }

    private double residualSquares() {
        return points.stream()
                .mapToDouble(p -> square(p.value() - predict(p.size())))
                .sum();
    }

    /** Akaike information criterion from the residuals; the model with the lower value is better. */
    public double aic() {
        int n = points.size();
        return n * Math.log(Math.max(residualSquares(), Double.MIN_NORMAL) / n) + 2 * (model.parameters() + 1);
    }

    /** Root mean square error at each size of a fit to all other sizes (leave-one-size-out cross-validation). */
    public double leaveSizeOutError() {
        double squares = 0;
        for (double size : sizes(points)) {
            Fit without =
                    new Fit(model, points.stream().filter(p -> p.size() != size).toList());
            squares += points.stream()
                    .filter(p -> p.size() == size)
                    .mapToDouble(p -> square(p.value() - without.predict(size)))
                    .sum();
        }
        return Math.sqrt(squares / points.size());
    }

    public double smallestSize() {
        return sizes(points).first();
    }

    public double largestSize() {
        return sizes(points).last();
    }

    public int runCount() {
        return points.size();
    }

    private double mean() {
        return points.stream().mapToDouble(DataPoint::value).average().orElseThrow();
    }

    private double meanRegressor() {
        return points.stream()
                .mapToDouble(p -> model.regressor(p.size()))
                .average()
                .orElseThrow();
    }

    private static double square(double x) {
        return x * x;
    }
}
