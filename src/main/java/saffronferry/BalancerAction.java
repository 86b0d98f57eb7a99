package saffronferry;

/** An action that the {@link Balancer} asks its caller to perform; lists of actions are performed in order. */
public sealed interface BalancerAction {
    /** Start the RPC's next call attempt at a subchannel; attempts are numbered 0, 1, 2. */
    record StartAttempt(long rpc, String subchannel) implements BalancerAction {}

    /** Cancel one call attempt. */
    record CancelAttempt(long rpc, int attempt) implements BalancerAction {}

    /** Final answer: refused, safe to retry, preferably after that many microseconds; 0 gives no advice. */
    record Refuse(long rpc, long retryAfter) implements BalancerAction {}

    /** Final answer: failed; a retry may not be safe. */
    record Fail(long rpc) implements BalancerAction {}

    /** Ask a subchannel for its load. */
    record Probe(String subchannel) implements BalancerAction {}

    /** Send at most 256 bytes to one peer. */
    record SendToPeer(int peer, byte[] bytes) implements BalancerAction {}

    /** Request the worker list from discovery and, from then on, its changes. */
    record WatchWorkerList() implements BalancerAction {}

    /** Call {@link Balancer#tick} with the token after that many microseconds. */
    record StartTimer(long token, long delay) implements BalancerAction {}
}
