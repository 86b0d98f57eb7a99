package saffronferry;

/** One thing that {@link Balancer} asks its caller to do; a list of them is carried out in order. */
public sealed interface BalancerAction {
    /** Start the RPC's next call attempt (they count 0, 1, 2) at a subchannel. */
    record StartAttempt(long rpc, String subchannel) implements BalancerAction {}

    /** Stop waiting for one call attempt. */
    record CancelAttempt(long rpc, int attempt) implements BalancerAction {}

    /** Final answer: refused; a retry does no harm, best after so many microseconds (0: no advice). */
    record Refuse(long rpc, long retryAfter) implements BalancerAction {}

    /** Final answer: failed, and nothing is promised. */
    record Fail(long rpc) implements BalancerAction {}

    /** Ask a subchannel for its load. */
    record Probe(String subchannel) implements BalancerAction {}

    /** Send at most 256 bytes to one peer. */
    record TellPeer(int peer, byte[] bytes) implements BalancerAction {}

    /** Have discovery tell the list, and its changes from then on. */
    record Watch() implements BalancerAction {}

    /** Call {@link Balancer#tick} with the token after so many microseconds. */
    record WakeAfter(long token, long delay) implements BalancerAction {}
}
