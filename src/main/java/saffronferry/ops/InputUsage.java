package saffronferry.ops;

/**
 * The input read from connections, and the time that the event loop spent on it, from the first read to the last
 * handler. A loop that is busy with input differs by it from one that is busy with something else. Not thread-safe.
 */
public final class InputUsage {
    private long bytes;
    private long nanos;

    /** Counts one uninterrupted series of reads from a connection. */
    public void record(long readBytes, long elapsedNanos) {
        bytes += readBytes;
        nanos += elapsedNanos;
    }

    /** Bytes read so far. */
    public long bytes() {
        return bytes;
    }

    /** Time spent so far, in nanoseconds. */
    public long nanos() {
        return nanos;
    }
}
