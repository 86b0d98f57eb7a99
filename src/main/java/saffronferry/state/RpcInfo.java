package saffronferry.state;

import saffronferry.Contract.JobClass;

/**
 * What a client's message says of its RPC, whatever the protocol. Class and tenant are indices into the
 * settings, -1 for no tenant; {@code name} is the client's own id for it; {@code remaining}: microseconds the
 * client will wait.
 */
public record RpcInfo(String name, int rpcClass, int tenant, long remaining, int slots, boolean repeat) {
    /** A client waits no longer than its class's deadline; some room is left for how it counts that. */
    private static final int MAX_DEADLINE_MULTIPLE = 2;
    /** Microseconds, where the class states no deadline. */
    private static final long MAX_REMAINING_WITHOUT_DEADLINE_US = 3_600_000_000L;

    /** The most that a client may say it will wait for an RPC of the class, in microseconds. */
    public static long maxRemaining(JobClass c) {
        return c.deadline() > 0 ? MAX_DEADLINE_MULTIPLE * c.deadline() : MAX_REMAINING_WITHOUT_DEADLINE_US;
    }
}
