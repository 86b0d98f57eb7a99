package saffronferry.state;

import saffronferry.Contract.JobClass;

/**
 * Protocol-independent metadata of a client's RPC.
 *
 * @param name the client's own id for the RPC
 * @param rpcClass index of the class in the settings
 * @param tenant index of the tenant in the settings, -1 for none
 * @param remaining how long the client will wait, in microseconds
 * @param slots worker slots that the job takes
 * @param clientRetry whether the client has sent the request before
 */
public record RpcInfo(String name, int rpcClass, int tenant, long remaining, int slots, boolean clientRetry) {
    /** Clients wait no longer than the deadline of the class; the factor leaves room for how they measure it. */
    private static final int MAX_DEADLINE_MULTIPLE = 2;

    private static final long MAX_REMAINING_WITHOUT_DEADLINE_US = 3_600_000_000L;

    /** The longest wait that a client may state for an RPC of the class, in microseconds. */
    public static long maxRemaining(JobClass jobClass) {
        return jobClass.deadline() > 0
                ? MAX_DEADLINE_MULTIPLE * jobClass.deadline()
                : MAX_REMAINING_WITHOUT_DEADLINE_US;
    }

    /** The same RPC, of which the client has waited for some microseconds already. */
    public RpcInfo afterWait(long waitedMicros) {
        return new RpcInfo(name, rpcClass, tenant, Math.max(0, remaining - waitedMicros), slots, clientRetry);
    }
}
