package saffronferry.state;

/**
 * Microseconds that never run backwards, counted so that the start of the process reads as Unix time: what
 * discovery says in Unix time then needs no more than a change of unit.
 */
public class Clock {
    private final long start = System.currentTimeMillis() * 1000;
    private final long nanos = System.nanoTime();

    public long now() {
        return start + (System.nanoTime() - nanos) / 1000;
    }
}
