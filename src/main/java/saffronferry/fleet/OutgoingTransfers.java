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
public final class OutgoingTransfers {
    /** Transfers expire sooner than this; later returns are ignored. */
    private static final long RETURN_WINDOW_US = 2_000_000;
    /** Maximum number of recorded transfers to one peer, for all workers. */
    private static final int MAX_TRANSFERS = 64;

    /** A message carries 16 bits of the timestamp, in units of 2^12 microseconds. */
    private static final int STAMP_SHIFT = 12;

    private static final int STAMP_MASK = 0xFFFF;

    private record Transfer(int worker, long timestamp, double work) {}

    private final List<Transfer> transfers = new ArrayList<>();

    /** Records a transfer of budget for a worker, which the caller has already charged. */
    public void recordTransfer(int worker, long timestamp, double work) {
        transfers.removeIf(transfer -> timestamp - transfer.timestamp > RETURN_WINDOW_US);
        if (transfers.size() < MAX_TRANSFERS) {
            transfers.add(new Transfer(worker, timestamp, work));
        }
    }

    /**
     * Handles the return of budget for a worker.
     *
     * @param timestamp timestamp of the transfer that is returned
     * @return the work to credit; 0 if the return is late or does not match a transfer
     */
    public double acceptReturn(int worker, long timestamp, double work, long now) {
        for (int i = 0; i < transfers.size(); i++) {
            Transfer transfer = transfers.get(i);
            if (transfer.worker == worker
                    && (transfer.timestamp >> STAMP_SHIFT & STAMP_MASK) == (timestamp >> STAMP_SHIFT & STAMP_MASK)) {
                transfers.remove(i);
                return now - transfer.timestamp <= RETURN_WINDOW_US ? Math.max(0, Math.min(work, transfer.work)) : 0;
            }
        }
        return 0;
    }
}
