package saffronferry.state;

/**
 * What {@link RpcCoordinator} has done outside of memory.
 *
 * @param <M> a client's message in the form of its protocol, passed on unread
 */
public interface OutboundOperations<M> {
    /** Starts a call attempt, of which the attempt is told; running the result gives it up. */
    Runnable startAttempt(M message, String address, long remaining, CallAttempt attempt);

    /** Asks for a load; the ledger is told of the end. */
    void probeLoad(String subchannel, String address);

    void sendToPeer(int peer, byte[] bytes);

    /** Watches the list from a revision on; a watch that is under way goes on. */
    void watchList(long revision);

    /** Runs something once after so many microseconds; the result is for {@link #cancelTimer}. */
    long schedule(long delay, Runnable what);

    void cancelTimer(long timer);

    void log(String line);
}
