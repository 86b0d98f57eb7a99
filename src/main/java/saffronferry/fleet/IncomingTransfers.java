package saffronferry.fleet;

/**
 * Checks the cold-worker budget that one peer transfers to this dispatcher (escrow).
 *
 * <p>The peer charges a transfer before it sends it. So a transfer that is lost, late, duplicated or meant for an ended
 * process is wasted, and never spent twice. Times are in microseconds; timestamps are by the sender's clock.
 */
public final class IncomingTransfers {
    private long lastTimestamp;

    /**
     * Whether a transfer may be used.
     *
     * @param timestamp timestamp of the transfer
     * @param processStartedAt start of this process. Earlier transfers belong to its predecessor, and so do those of
     *     that very moment: the state-space explorer found a transfer that two processes spent
     * @param lifetime time for which a transfer is valid
     */
    public boolean isValid(long timestamp, long now, long processStartedAt, long lifetime) {
        return timestamp > lastTimestamp
                && timestamp > processStartedAt
                && now - timestamp < lifetime
                && timestamp <= now + ColdShares.MAX_CLOCK_ERROR_US;
    }

    /** Marks a transfer as used: it is not valid again, nor is any older one. */
    public void markUsed(long timestamp) {
        lastTimestamp = timestamp;
    }
}
