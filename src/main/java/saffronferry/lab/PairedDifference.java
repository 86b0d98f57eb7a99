package saffronferry.lab;

import java.util.List;
import java.util.Locale;
import org.apache.commons.statistics.distribution.TDistribution;
import saffronferry.lab.world.ClusterSimulation.RunResult;

/**
 * The difference of the goal between two policies over runs with the same seeds: the mean difference and the half
 * width of its 95 % confidence interval by Student's t, which is infinite for a single run.
 */
public record PairedDifference(int runs, double mean, double halfWidth) {
    private static final double CONFIDENCE = 0.95;

    /** Compares two lists of runs with the same seeds in the same order. */
    public static PairedDifference of(List<RunResult> a, List<RunResult> b) {
        double[] d = new double[a.size()];
        for (int i = 0; i < d.length; i++) {
            d[i] = a.get(i).goal() - b.get(i).goal();
        }
        return of(d);
    }

    static PairedDifference of(double... differences) {
        int n = differences.length;
        double mean = 0;
        for (double d : differences) {
            mean += d / n;
        }
        double squares = 0;
        for (double d : differences) {
            squares += (d - mean) * (d - mean);
        }
        double halfInterval = n < 2
                ? Double.POSITIVE_INFINITY
                : TDistribution.of(n - 1).inverseCumulativeProbability((1 + CONFIDENCE) / 2)
                        * Math.sqrt(squares / (n - 1) / n);
        return new PairedDifference(n, mean, halfInterval);
    }

    /** "better", "worse" or, where the interval contains 0, "cannot tell". */
    public String verdict() {
        return mean - halfWidth > 0 ? "better" : mean + halfWidth < 0 ? "worse" : "cannot tell";
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s (%+.4f, 95 %% within %.4f, %d days)", verdict(), mean, halfWidth, runs);
    }
}
