package saffronferry;

/** One thing that {@link Balancer} asks its caller to do; a list of them is carried out in order. */
public sealed interface Step {
    /** Start the RPC's next call attempt (they count 0, 1, 2) at a subchannel. */
    record StartAttempt(long rpc, String subchannel) implements Step {}

    /** Stop waiting for one call attempt. */
    record CancelAttempt(long rpc, int attempt) implements Step {}

    /** Final answer: refused; a retry does no harm, best after so many microseconds (0: no advice). */
    record Refuse(long rpc, long retryAfter) implements Step {}

    /** Final answer: failed, and nothing is promised. */
    record Fail(long rpc) implements Step {}

    /** Ask a subchannel for its load. */
    record Probe(String subchannel) implements Step {}

    /** Send at most 256 bytes to one peer. */
    record TellPeer(int peer, byte[] bytes) implements Step {}

    /** Have discovery tell the list, and its changes from then on. */
    record Watch() implements Step {}

    /** Call {@link Balancer#tick} with the token after so many microseconds. */
    record WakeAfter(long token, long delay) implements Step {}
}
