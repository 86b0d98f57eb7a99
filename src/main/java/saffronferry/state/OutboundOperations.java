package saffronferry.state;

/**
 * What {@link RpcCoordinator} has done outside of memory.
 *
 * @param <M> a client's message in the form of its protocol, passed on unread
 */
public interface OutboundOperations<M> {
    /** Starts a call attempt, of which the attempt is told; running the result gives it up. */
    Runnable start(M message, String address, long remaining, CallAttempt attempt);

    /** Asks for a load; the ledger is told of the end. */
    void probe(String subchannel, String address);

    void tell(int peer, byte[] bytes);

    /** Watches the list from a revision on; a watch that is under way goes on. */
    void watch(long revision);

    /** Runs something once after so many microseconds; the result is for {@link #unwake}. */
    long wake(long delay, Runnable what);

    void unwake(long timer);

    void log(String line);
}
