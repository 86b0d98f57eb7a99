package saffronferry.lab.world;

/** A client's request with all its tries; times in microseconds. */
final class Call {
    final long arrivedAt;
    final int rpcClass;
    final int tenant;
    final int zone;
    final double work;
    final long deadline;
    final boolean inShare;
    final boolean honours;
    int tries;
    int attempts;
    boolean over;

    Call(
            long arrivedAt,
            int rpcClass,
            int tenant,
            int zone,
            double work,
            long deadline,
            boolean inShare,
            boolean honours) {
        this.arrivedAt = arrivedAt;
        this.rpcClass = rpcClass;
        this.tenant = tenant;
        this.zone = zone;
        this.work = work;
        this.deadline = deadline;
        this.inShare = inShare;
        this.honours = honours;
    }
}
