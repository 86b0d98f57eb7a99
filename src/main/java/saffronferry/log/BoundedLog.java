package saffronferry.log;

import java.util.HashMap;
import java.util.Map;

/**
 * Writes operator log lines to standard error, at most one per second of each kind, so that neither malformed input nor
 * high load can fill the log or use up the core. A line needs no descriptor and no time of day. Thread-safe.
 */
public final class BoundedLog {
    private static final long MIN_INTERVAL_NS = 1_000_000_000;
    private static final int MAX_TEXT_CHARS = 200;

    /** For each kind: the time of its last line, and the number of lines suppressed since. */
    private final Map<String, long[]> kinds = new HashMap<>();

    /**
     * Writes a line, or suppresses it if one of its kind was written less than a second ago.
     *
     * @param kind one of a few fixed titles
     * @param text any text; it is truncated, and non-printable characters are replaced
     * @return whether the line was written
     */
    public synchronized boolean line(String kind, String text) {
        long now = System.nanoTime();
        long[] last = kinds.computeIfAbsent(kind, k -> new long[] {now - MIN_INTERVAL_NS, 0});
        if (now - last[0] < MIN_INTERVAL_NS) {
            last[1]++;
            return false;
        }
        System.err.println("saffronferry: " + kind + ": " + sanitize(text)
                + (last[1] > 0 ? " (and " + last[1] + " more like it)" : ""));
        last[0] = now;
        last[1] = 0;
        return true;
    }

    /** Truncates a text and replaces control characters: it may hold a client's bytes, and is shown on terminals. */
    public static String sanitize(String text) {
        return text.substring(0, Math.min(MAX_TEXT_CHARS, text.length())).replaceAll("[^ -~]", "?");
    }
}
