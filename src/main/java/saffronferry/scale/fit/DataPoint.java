package saffronferry.scale.fit;

/** A figure that was measured at a size. */
public record DataPoint(double size, double value) {}
