package saffronferry.scale.fit;

/** A figure that was measured at a size. */
public record Point(double size, double figure) {}
