package saffronferry.scale.fit;

import java.util.function.DoubleUnaryOperator;

/** Models of how a figure grows with a size n, simplest first: a + b * regressor(n). */
public enum GrowthModel {
    CONSTANT("constant", n -> 0),
    LINE("line", n -> n),
    N_LOG_N("n log n", n -> n > 0 ? n * Math.log(n) : 0),
    N_SQUARED("n squared", n -> n * n);

    private final String label;
    private final DoubleUnaryOperator regressor;

    GrowthModel(String label, DoubleUnaryOperator regressor) {
        this.label = label;
        this.regressor = regressor;
    }

    public String label() {
        return label;
    }

    /** Number of fitted parameters. */
    int parameters() {
        return this == CONSTANT ? 1 : 2;
    }

    double regressor(double size) {
        return regressor.applyAsDouble(size);
    }
}
