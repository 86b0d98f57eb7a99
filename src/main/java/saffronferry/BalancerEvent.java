package saffronferry;

import java.util.List;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Tenant;
import saffronferry.Contract.WorkerInfo;
import saffronferry.fleet.WatchEnd;

/** What a caller tells {@link Balancer} of what has happened since. Times are microseconds. */
public sealed interface BalancerEvent {
    /** A call attempt ended; {@code answered}: the RPC has its final answer, from this attempt or before. */
    record AttemptEnded(long rpc, int attempt, Outcome outcome, long took, boolean answered, Report load)
            implements BalancerEvent {}

    /** A subchannel says that the attempt's job has started, or else that some of it is done. */
    record AttemptMoved(long rpc, int attempt, boolean started) implements BalancerEvent {}

    /** The client has gone away: no answer is owed any more. */
    record ClientGone(long rpc) implements BalancerEvent {}

    /** A probe ended; the load may be null. */
    record Probed(String subchannel, Outcome outcome, Report load) implements BalancerEvent {}

    /**
     * The tenants from now on: who was there keeps the index, and who is new is behind. One that is gone
     * stays, with no limit known.
     */
    record AllowancesChanged(List<Tenant> tenants) implements BalancerEvent {}

    /** A datagram of a peer, by its number. */
    record PeerSaid(int peer, byte[] bytes) implements BalancerEvent {}

    /** A resolver result: the whole list, changes to it, or the copy that a start is given. */
    record Resolved(ListKind kind, List<WorkerInfo> entries) implements BalancerEvent {}

    /** Whether there are descriptors for further call attempts; at the start there are. */
    record Room(boolean open) implements BalancerEvent {}

    /** What another process of the same dispatcher tells; {@link HandoverState#NOBODY} once it is gone. */
    record RunsBeside(HandoverState other) implements BalancerEvent {}

    /** The watch, or the call for one, failed or ended. */
    record WatchLost(WatchEnd how) implements BalancerEvent {}
}
