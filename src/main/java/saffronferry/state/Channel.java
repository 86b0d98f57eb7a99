package saffronferry.state;

/** The client side of one RPC. {@link RpcCoordinator} calls exactly one of these methods, exactly once. */
public interface Channel {
    void served(String result);

    /** A retry is safe, preferably after this many microseconds; 0 means no recommendation. */
    void refused(long retryAfterMicros);

    void failed();
}
