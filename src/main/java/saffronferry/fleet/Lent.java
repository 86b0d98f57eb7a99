package saffronferry.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Records the cold-worker budget that this dispatcher has transferred to one peer and may get back (escrow).
 *
 * <p>The peer returns at once what it has no job for, and deducts it before it sends the return. A transfer is returned
 * at most once, only to the process that made it, and never with more than was transferred. So a lost return wastes
 * the budget, and one that is late, duplicated or meant for another process is ignored. A forged return can only
 * restore budget that the peer holds and could use as well, one transfer for each worker. Times are in microseconds,
 * work in microseconds of slot time.
 */
public final class Lent {
    /** Transfers expire sooner than this; later returns are ignored. */
    private static final long BACK_WITHIN = 2_000_000;
    /** Maximum number of recorded transfers to one peer, for all workers. */
    private static final int MOST = 64;

    /** A message carries 16 bits of the timestamp, in units of 2^12 microseconds. */
    private static final int STAMP_SHIFT = 12;

    private static final int STAMP = 0xFFFF;

    private record Part(int worker, long at, double work) {}

    private final List<Part> out = new ArrayList<>();

    /** Records a transfer of budget for a worker, which the caller has already charged. */
    public void lent(int worker, long at, double work) {
        out.removeIf(p -> at - p.at > BACK_WITHIN);
        if (out.size() < MOST) {
            out.add(new Part(worker, at, work));
        }
    }

    /**
     * Handles the return of budget for a worker.
     *
     * @param at timestamp of the transfer that is returned
     * @return the work to credit; 0 if the return is late or does not match a transfer
     */
    public double back(int worker, long at, double work, long now) {
        for (int i = 0; i < out.size(); i++) {
            Part p = out.get(i);
            if (p.worker == worker && (p.at >> STAMP_SHIFT & STAMP) == (at >> STAMP_SHIFT & STAMP)) {
                out.remove(i);
                return now - p.at <= BACK_WITHIN ? Math.max(0, Math.min(work, p.work)) : 0;
            }
        }
        return 0;
    }
}
