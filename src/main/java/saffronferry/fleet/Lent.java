package saffronferry.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * The lender's side of parts of cold workers' budgets: what it has lent to one dispatcher and may get back.
 * Who borrows gives back at once what it has no job for, and has spent it before it says so; here a part
 * comes back once, to the process that lent it, and never more than was lent. So a word that is lost wastes
 * the part, and one that is late, doubled or for another process is nothing; a forged one gives back what
 * that peer has borrowed and may use as well, one part at a worker.
 * Pure; times in microseconds, work in microseconds of slot time.
 */
public final class Lent {
    /** Parts are good for less; what is told later is none of these. */
    private static final long BACK_WITHIN = 2_000_000;
    /** To one dispatcher, at all workers: more are not lent within that time. */
    private static final int MOST = 64;

    private static final int STAMP_BITS = 12; // a message's stamp counts some four milliseconds, in 16 bits
    private static final int STAMP = 0xFFFF;

    private record Part(int worker, long at, double work) {}

    private final List<Part> out = new ArrayList<>();

    /** So much is lent at a worker, in a message with that stamp; it is spent. */
    public void lent(int worker, long at, double work) {
        out.removeIf(p -> at - p.at > BACK_WITHIN);
        if (out.size() < MOST) {
            out.add(new Part(worker, at, work));
        }
    }

    /**
     * So much of what was lent at a worker, in a message with that stamp, is told to come back.
     *
     * @return what may be spent again
     */
    public double back(int worker, long at, double work, long now) {
        for (int i = 0; i < out.size(); i++) {
            Part p = out.get(i);
            if (p.worker == worker && (p.at >> STAMP_BITS & STAMP) == (at >> STAMP_BITS & STAMP)) {
                out.remove(i);
                return now - p.at <= BACK_WITHIN ? Math.max(0, Math.min(work, p.work)) : 0;
            }
        }
        return 0;
    }
}
