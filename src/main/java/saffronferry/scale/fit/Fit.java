package saffronferry.scale.fit;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A form fitted to points by least squares (Apache Commons Math's {@link SimpleRegression}). Units are those
 * of the figure; slopes are a unit of the form's regressor.
 *
 * <p>Two plays at one size say nothing of the form, so what tells forms apart is the error at each size of a
 * fit that was made without it: {@link #errorLeftOut}.
 */
public final class Fit {
    private static final double CONFIDENCE = 0.95;
    /** Fewer sizes leave nothing by which a form could be told from another. */
    static final int LEAST_SIZES = 3;

    private final GrowthModel form;
    private final List<DataPoint> points;
    private final SimpleRegression regression;

    private Fit(GrowthModel form, List<DataPoint> points) {
        this.form = form;
        this.points = List.copyOf(points);
        regression = new SimpleRegression();
        points.forEach(p -> regression.addData(form.regressor(p.size()), p.figure()));
    }

    /**
     * Fits a form.
     *
     * @throws IllegalArgumentException with fewer than three sizes
     */
    public static Fit of(GrowthModel form, List<DataPoint> points) {
        int sizes = sizes(points).size();
        if (sizes < LEAST_SIZES) {
            throw new IllegalArgumentException("too few sizes: " + sizes + ", needed " + LEAST_SIZES);
        }
        return new Fit(form, points);
    }

    private static TreeSet<Double> sizes(Collection<DataPoint> points) {
        return points.stream().map(DataPoint::size).collect(Collectors.toCollection(TreeSet::new));
    }

    public GrowthModel form() {
        return form;
    }

    public double intercept() {
        return form == GrowthModel.CONSTANT ? mean() : regression.getIntercept();
    }

    /** 0 for a constant. */
    public double slope() {
        return form == GrowthModel.CONSTANT ? 0 : regression.getSlope();
    }

    public double slopeStandardError() {
        return form == GrowthModel.CONSTANT ? 0 : regression.getSlopeStdErr();
    }

    public double at(double size) {
        return intercept() + slope() * form.regressor(size);
    }

    /**
     * Half of the 95 % prediction interval at a size, by Student's t: where one more play there would lie,
     * if the form is right. It says nothing of a wrong form.
     */
    public double halfWidth(double size) {
        double x = form.regressor(size);
        double n = points.size();
        double spread = form == GrowthModel.CONSTANT ? 0 : square(x - meanRegressor()) / regression.getXSumSquares();
        return new TDistribution(freedom()).inverseCumulativeProbability((1 + CONFIDENCE) / 2)
                * residualError()
                * Math.sqrt(1 + 1 / n + spread);
    }

    /** The standard error of the residuals. */
    public double residualError() {
        return Math.sqrt(residualSquares() / freedom());
    }

    private int freedom() {
        return points.size() - form.parameters();
    }

    private double residualSquares() {
        return points.stream()
                .mapToDouble(p -> square(p.figure() - at(p.size())))
                .sum();
    }

    /** Akaike's criterion by the residuals; the lower one of two forms is the better one. */
    public double aic() {
        int n = points.size();
        return n * Math.log(Math.max(residualSquares(), Double.MIN_NORMAL) / n) + 2 * (form.parameters() + 1);
    }

    /** The root of the mean square error at each size of a fit to all other sizes. */
    public double errorLeftOut() {
        double squares = 0;
        for (double size : sizes(points)) {
            Fit without =
                    new Fit(form, points.stream().filter(p -> p.size() != size).toList());
            squares += points.stream()
                    .filter(p -> p.size() == size)
                    .mapToDouble(p -> square(p.figure() - without.at(size)))
                    .sum();
        }
        return Math.sqrt(squares / points.size());
    }

    public double least() {
        return sizes(points).first();
    }

    public double most() {
        return sizes(points).last();
    }

    public int plays() {
        return points.size();
    }

    private double mean() {
        return points.stream().mapToDouble(DataPoint::figure).average().orElseThrow();
    }

    private double meanRegressor() {
        return points.stream()
                .mapToDouble(p -> form.regressor(p.size()))
                .average()
                .orElseThrow();
    }

    private static double square(double x) {
        return x * x;
    }
}
