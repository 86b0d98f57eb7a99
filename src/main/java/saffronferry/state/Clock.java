package saffronferry.state;

/**
 * A monotonic clock in microseconds whose origin is the Unix epoch, so that Unix timestamps from discovery only need a
 * conversion of units.
 */
public class Clock {
    private final long startMicros = System.currentTimeMillis() * 1000;
    private final long startNanos = System.nanoTime();

    public long now() {
        return startMicros + (System.nanoTime() - startNanos) / 1000;
    }
}
