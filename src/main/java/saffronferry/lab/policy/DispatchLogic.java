package saffronferry.lab.policy;

import java.util.List;
import saffronferry.Balancer;
import saffronferry.BalancerAction;
import saffronferry.BalancerEvent;
import saffronferry.Contract.Request;
import saffronferry.Contract.Settings;

/**
 * The decisions of an emulated dispatcher, with the methods of the facade {@link Balancer}. Times are in
 * microseconds and never go backwards.
 */
public interface DispatchLogic {
    /** Handles a new RPC, which must be given exactly one final answer. */
    List<BalancerAction> pick(long now, Request rpc);

    /** Handles an event. */
    List<BalancerAction> report(long now, BalancerEvent event);

    /** Handles the timer of a {@link BalancerAction.StartTimer}. */
    List<BalancerAction> tick(long now, long token);

    /** The decisions of the product, through the facade that {@code serve} uses. */
    static DispatchLogic networkedQueues(Settings settings) {
        Balancer balancer = new Balancer(settings);
        return new DispatchLogic() {
            @Override
            public List<BalancerAction> pick(long now, Request rpc) {
                return balancer.pick(now, rpc);
            }

            @Override
            public List<BalancerAction> report(long now, BalancerEvent event) {
                return balancer.report(now, event);
            }

            @Override
            public List<BalancerAction> tick(long now, long token) {
                return balancer.tick(now, token);
            }
        };
    }
}
