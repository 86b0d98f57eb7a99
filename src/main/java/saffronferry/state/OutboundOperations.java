package saffronferry.state;

/**
 * The operations with effects outside the process memory that {@link RpcCoordinator} requests.
 *
 * @param <M> a client's message in the form of its protocol, passed on uninterpreted
 */
public interface OutboundOperations<M> {
    /**
     * Starts a call attempt and reports its events to {@code attempt}.
     *
     * @return an action that cancels the attempt
     */
    Runnable startAttempt(M message, String address, long remainingMicros, CallAttempt attempt);

    /** Requests a load report from a subchannel; the outcome is reported to the coordinator. */
    void probeLoad(String subchannel, String address);

    void sendToPeer(int peer, byte[] bytes);

    /** Watches the list from a revision on; has no effect while a watch is active. */
    void watchList(long revision);

    /**
     * Runs an action once after a delay.
     *
     * @return the timer id for {@link #cancelTimer}
     */
    long schedule(long delayMicros, Runnable action);

    void cancelTimer(long timer);

    void log(String line);
}
