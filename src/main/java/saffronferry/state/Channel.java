package saffronferry.state;

/** The client's side of one RPC. {@link RpcCoordinator} calls exactly one of these, once. */
public interface Channel {
    void served(String result);

    /** Trying again is harmless, best after so many microseconds; 0 gives no advice. */
    void refused(long retryAfter);

    void failed();
}
