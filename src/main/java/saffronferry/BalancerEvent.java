package saffronferry;

import java.util.List;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Tenant;
import saffronferry.Contract.WorkerInfo;
import saffronferry.fleet.WatchEnd;

/** An event that a caller reports to the {@link Balancer}. Times are in microseconds. */
public sealed interface BalancerEvent {
    /** A call attempt ended; {@code answered} if the RPC has its final answer, from this attempt or an earlier one. */
    record AttemptEnded(long rpc, int attempt, Outcome outcome, long took, boolean answered, Report load)
            implements BalancerEvent {}

    /** A subchannel reports that the attempt's job has started, or that it has made progress. */
    record AttemptProgressed(long rpc, int attempt, boolean started) implements BalancerEvent {}

    /** The client disconnected; no answer is owed any more. */
    record ClientGone(long rpc) implements BalancerEvent {}

    /** A probe ended; the load may be null. */
    record Probed(String subchannel, Outcome outcome, Report load) implements BalancerEvent {}

    /**
     * The tenants' new allowances. Known tenants keep their index and new ones are appended; a removed tenant stays in
     * the list, without a known limit.
     */
    record AllowancesChanged(List<Tenant> tenants) implements BalancerEvent {}

    /** A datagram from the peer with that number. */
    record PeerMessageReceived(int peer, byte[] bytes) implements BalancerEvent {}

    /** A resolver result: the complete list, changes to it, or the saved copy that a start begins with. */
    record Resolved(ListKind kind, List<WorkerInfo> entries) implements BalancerEvent {}

    /** Whether file descriptors are available for further call attempts; initially they are. */
    record AttemptCapacityChanged(boolean available) implements BalancerEvent {}

    /** State of another process of the same dispatcher; {@link HandoverState#NONE} once that has ended. */
    record OtherProcessState(HandoverState state) implements BalancerEvent {}

    /** The watch on the worker list, or the request for one, failed or ended. */
    record WatchLost(WatchEnd reason) implements BalancerEvent {}
}
