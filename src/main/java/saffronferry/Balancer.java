package saffronferry;

import java.util.ArrayList;
import java.util.List;
import saffronferry.fleet.SharingStatus;

/**
 * Facade of the decision module: each call handles one event and returns the actions to perform.
 *
 * <p>It hides the module's callback interface. Like the module, this class is not thread-safe, and the clock passed
 * in, in microseconds, must not run backwards.
 */
public final class Balancer {
    private final ActionCollector actions = new ActionCollector();
    private final Contract.Events module;

    public Balancer(Contract.Settings settings) {
        module = new Dispatcher(settings, actions);
    }

    /** Handles a new RPC, which from now on is owed exactly one final answer. */
    public List<BalancerAction> pick(long now, Contract.Request rpc) {
        module.request(now, rpc);
        return actions.take();
    }

    /** Handles an event and returns the actions that follow. Events about unknown RPCs have no effect. */
    public List<BalancerAction> report(long now, BalancerEvent event) {
        if (event instanceof BalancerEvent.AttemptEnded ended) {
            module.attemptEnded(
                    now, ended.rpc(), ended.attempt(), ended.outcome(), ended.took(), ended.answered(), ended.load());
        } else if (event instanceof BalancerEvent.AttemptProgressed progressed) {
            module.jobProgress(now, progressed.rpc(), progressed.attempt(), progressed.started());
        } else if (event instanceof BalancerEvent.ClientGone gone) {
            module.clientGone(now, gone.rpc());
        } else if (event instanceof BalancerEvent.Probed probed) {
            module.probeEnded(now, probed.subchannel(), probed.outcome(), probed.load());
        } else if (event instanceof BalancerEvent.PeerMessageReceived received) {
            module.peerMessage(now, received.peer(), received.bytes());
        } else if (event instanceof BalancerEvent.Resolved resolved) {
            module.workerList(now, resolved.kind(), resolved.entries());
        } else if (event instanceof BalancerEvent.OtherProcessState other) {
            module.otherProcessState(now, other.state());
        } else if (event instanceof BalancerEvent.AllowancesChanged changed) {
            module.tenantsChanged(now, changed.tenants());
        } else if (event instanceof BalancerEvent.AttemptCapacityChanged capacity) {
            module.attemptCapacityChanged(now, capacity.available());
        } else {
            module.workerListFailed(now, ((BalancerEvent.WatchLost) event).reason());
        }
        return actions.take();
    }

    /** Handles the expiry of a timer that was requested by {@link BalancerAction.StartTimer}. */
    public List<BalancerAction> tick(long now, long token) {
        module.timerFired(now, token);
        return actions.take();
    }

    /** State for another process of this dispatcher while one replaces the other. */
    public HandoverState handoverState() {
        return module.handoverState();
    }

    /** Number of subchannels in service that get no jobs at present, except for a trial. */
    public int avoidedWorkers() {
        return module.avoidedWorkers();
    }

    /** Current sharing of cold workers with other dispatchers. */
    public SharingStatus sharing() {
        return module.sharing();
    }

    /** Collects the module's actions. */
    private static final class ActionCollector implements Contract.Actions {
        private List<BalancerAction> list = new ArrayList<>();

        List<BalancerAction> take() {
            List<BalancerAction> taken = list;
            list = new ArrayList<>();
            return taken;
        }

        @Override
        public void startAttempt(long id, String worker) {
            list.add(new BalancerAction.StartAttempt(id, worker));
        }

        @Override
        public void cancelAttempt(long id, int attempt) {
            list.add(new BalancerAction.CancelAttempt(id, attempt));
        }

        @Override
        public void refuse(long id, long retryAfter) {
            list.add(new BalancerAction.Refuse(id, retryAfter));
        }

        @Override
        public void fail(long id) {
            list.add(new BalancerAction.Fail(id));
        }

        @Override
        public void startTimer(long token, long delay) {
            list.add(new BalancerAction.StartTimer(token, delay));
        }

        @Override
        public void probe(String worker) {
            list.add(new BalancerAction.Probe(worker));
        }

        @Override
        public void sendToPeer(int peer, byte[] bytes) {
            list.add(new BalancerAction.SendToPeer(peer, bytes));
        }

        @Override
        public void subscribe() {
            list.add(new BalancerAction.WatchWorkerList());
        }
    }
}
