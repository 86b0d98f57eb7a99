package saffronferry.agree;

/**
 * Replication state of one dispatcher's dynamic settings, for monitoring.
 *
 * @param state whether this dispatcher receives gossip and has caught up
 * @param heldChanges number of changes held, tombstones included
 * @param tombstones number of held changes that are removals
 * @param digest digest over all held changes; equal on dispatchers that hold the same changes
 * @param newestTimestampUs newest timestamp held, in microseconds; 0 if there is none
 * @param divergedUs how long peers have been known to hold other changes, in microseconds; 0 if they do not
 * @param bytesSent bytes of gossip datagrams sent
 * @param bytesReceived bytes of gossip datagrams received
 * @param rejectedChanges received changes that were invalid, ahead of the clock, too old or over the capacity
 * @param droppedDatagrams datagrams that were forged, corrupted, late or of another protocol version
 */
public record GossipStatus(
        State state,
        int heldChanges,
        int tombstones,
        long digest,
        long newestTimestampUs,
        long divergedUs,
        long bytesSent,
        long bytesReceived,
        long rejectedChanges,
        long droppedDatagrams) {
    /** Connectivity of a dispatcher to its peers. The ordinal is exported as a metric. */
    public enum State {
        /** Peers are heard from and the initial synchronization is complete. */
        CONNECTED,
        /** Started, but no peer has been found to hold the same changes yet. */
        CATCHING_UP,
        /** No peer datagram was received within the isolation timeout; the settings held stay in force. */
        ISOLATED
    }
}
