package saffronferry.lab.world;

/** A client's request with all its tries. Times and work are in microseconds. */
final class ClientRequest {
    final long arrivedAt;
    final int rpcClass;
    final int tenant;
    final int zone;
    final double work;
    final long deadline;
    final boolean withinTenantShare;
    final boolean honoursRetryAfter;
    int clientTries;
    int attempts;
    boolean finished;

    ClientRequest(
            long arrivedAt,
            int rpcClass,
            int tenant,
            int zone,
            double work,
            long deadline,
            boolean withinTenantShare,
            boolean honoursRetryAfter) {
        this.arrivedAt = arrivedAt;
        this.rpcClass = rpcClass;
        this.tenant = tenant;
        this.zone = zone;
        this.work = work;
        this.deadline = deadline;
        this.withinTenantShare = withinTenantShare;
        this.honoursRetryAfter = honoursRetryAfter;
    }
}
