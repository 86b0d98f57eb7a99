package saffronferry;

import java.util.ArrayList;
import java.util.List;
import saffronferry.fleet.Sharing;

/**
 * The decisions in blocking style: each call does its work and returns what is to be done.
 *
 * <p>The module reports through a callback interface; behind this facade it never shows. Like the module this
 * class is for one thread, and its clock, in microseconds, must never run backwards.
 */
public final class Balancer {
    private final Steps steps = new Steps();
    private final Contract.Events module;

    public Balancer(Contract.Settings settings) {
        module = new Dispatcher(settings, steps);
    }

    /** Picks what to do with a new RPC, which from now on awaits exactly one final answer. */
    public List<BalancerAction> pick(long now, Contract.Request rpc) {
        module.request(now, rpc);
        return steps.take();
    }

    /** Handles an event and returns the actions that follow. Events about unknown RPCs have no effect. */
    public List<BalancerAction> report(long now, BalancerEvent news) {
        if (news instanceof BalancerEvent.AttemptEnded e) {
            module.attemptEnded(now, e.rpc(), e.attempt(), e.outcome(), e.took(), e.answered(), e.load());
        } else if (news instanceof BalancerEvent.AttemptMoved m) {
            module.note(now, m.rpc(), m.attempt(), m.started());
        } else if (news instanceof BalancerEvent.ClientGone g) {
            module.clientGone(now, g.rpc());
        } else if (news instanceof BalancerEvent.Probed p) {
            module.probed(now, p.subchannel(), p.outcome(), p.load());
        } else if (news instanceof BalancerEvent.PeerSaid s) {
            module.peerMessage(now, s.peer(), s.bytes());
        } else if (news instanceof BalancerEvent.Resolved r) {
            module.workers(now, r.kind(), r.entries());
        } else if (news instanceof BalancerEvent.RunsBeside b) {
            module.beside(now, b.other());
        } else if (news instanceof BalancerEvent.AllowancesChanged a) {
            module.allowances(now, a.tenants());
        } else if (news instanceof BalancerEvent.Room r) {
            module.room(now, r.open());
        } else {
            module.workersUnavailable(now, ((BalancerEvent.WatchLost) news).how());
        }
        return steps.take();
    }

    /** To be called when a {@link BalancerAction.WakeAfter} falls due. */
    public List<BalancerAction> tick(long now, long token) {
        module.timer(now, token);
        return steps.take();
    }

    /** What another process of the same dispatcher should know while it runs beside this one. */
    public HandoverState beside() {
        return module.beside();
    }

    /** How many subchannels in service it avoids by its own choice. */
    public int avoided() {
        return module.avoided();
    }

    /** What it shares with other dispatchers now. */
    public Sharing sharing() {
        return module.sharing();
    }

    /** Gathers the module's actions. */
    private static final class Steps implements Contract.Actions {
        private List<BalancerAction> list = new ArrayList<>();

        List<BalancerAction> take() {
            List<BalancerAction> taken = list;
            list = new ArrayList<>();
            return taken;
        }

        @Override
        public void send(long id, String worker) {
            list.add(new BalancerAction.StartAttempt(id, worker));
        }

        @Override
        public void cancel(long id, int attempt) {
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
        public void timer(long token, long delay) {
            list.add(new BalancerAction.WakeAfter(token, delay));
        }

        @Override
        public void probe(String worker) {
            list.add(new BalancerAction.Probe(worker));
        }

        @Override
        public void tell(int peer, byte[] bytes) {
            list.add(new BalancerAction.TellPeer(peer, bytes));
        }

        @Override
        public void subscribe() {
            list.add(new BalancerAction.Watch());
        }
    }
}
