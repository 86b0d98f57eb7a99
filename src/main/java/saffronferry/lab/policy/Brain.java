package saffronferry.lab.policy;

import java.util.List;
import saffronferry.Balancer;
import saffronferry.Contract.Request;
import saffronferry.Contract.Settings;
import saffronferry.BalancerEvent;
import saffronferry.BalancerAction;

/** The facade's shape: whoever decides in an emulated dispatcher. Clock in microseconds, never backwards. */
public interface Brain {
    /** Picks what to do with a new RPC, which awaits exactly one final answer. */
    List<BalancerAction> pick(long now, Request rpc);

    /** Takes news in. */
    List<BalancerAction> report(long now, BalancerEvent news);

    /** A {@link BalancerAction.WakeAfter} has fallen due. */
    List<BalancerAction> tick(long now, long token);

    /** The program's own decisions, through the facade that {@code serve} uses. */
    static Brain networkedQueues(Settings settings) {
        Balancer balancer = new Balancer(settings);
        return new Brain() {
            @Override
            public List<BalancerAction> pick(long now, Request rpc) {
                return balancer.pick(now, rpc);
            }

            @Override
            public List<BalancerAction> report(long now, BalancerEvent news) {
                return balancer.report(now, news);
            }

            @Override
            public List<BalancerAction> tick(long now, long token) {
                return balancer.tick(now, token);
            }
        };
    }
}
