package saffronferry.scale.fit;

/** The value of a figure measured at a size. */
public record DataPoint(double size, double value) {}
