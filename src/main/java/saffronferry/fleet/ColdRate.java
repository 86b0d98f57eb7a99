package saffronferry.fleet;

/**
 * The rate at which all dispatchers together may send work to a cold worker: a fixed part of the load at which the
 * worker fails, which grows as the worker warms up. Times are in microseconds.
 *
 * @param overloadMultiple load, as a multiple of its capacity, at which a worker fails
 * @param initialCapacity part of its full capacity that a worker has when it starts
 * @param coldPeriod time until a started worker is warm
 */
public record ColdRate(double overloadMultiple, double initialCapacity, long coldPeriod) {
    /** Part of the overload limit that is used: job sizes vary, and slot counts only estimate the cores. */
    private static final double LIMIT_SHARE = 0.5;

    /** Slot time per second and slot for a worker that started {@code age} microseconds ago. */
    public double perSlotAtAge(long age) {
        return LIMIT_SHARE
                * overloadMultiple
                * (initialCapacity + (1 - initialCapacity) * Math.max(0, Math.min(1, (double) age / coldPeriod)));
    }
}
