package saffronferry.log;

import java.util.HashMap;
import java.util.Map;

/**
 * Lines for the operators on standard error, at most one a second of each kind: neither broken input nor a
 * busy day may fill the log or take the core. A line needs no descriptor and no time of day. For any thread.
 */
public final class BoundedLog {
    private static final long GAP = 1_000_000_000;
    private static final int MOST = 200;
    private final Map<String, long[]> kinds = new HashMap<>(); // when last written, and how many kept back

    /** The kind is one of few fixed words; the text may hold anything. */
    public synchronized void line(String kind, String text) {
        long now = System.nanoTime();
        long[] last = kinds.computeIfAbsent(kind, k -> new long[] {now - GAP, 0});
        if (now - last[0] < GAP) {
            last[1]++;
            return;
        }
        System.err.println("saffronferry: " + kind + ": " + clean(text)
                + (last[1] > 0 ? " (and " + last[1] + " more like it)" : ""));
        last[0] = now;
        last[1] = 0;
    }

    /** Guards the operators' terminal: a client's bytes may stand in the text. */
    public static String clean(String text) {
        return text.substring(0, Math.min(MOST, text.length())).replaceAll("[^ -~]", "?");
    }
}
