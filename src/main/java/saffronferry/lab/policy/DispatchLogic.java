package saffronferry.lab.policy;

import java.util.List;
import saffronferry.Balancer;
import saffronferry.Contract.Request;
import saffronferry.Contract.Settings;
import saffronferry.News;
import saffronferry.Step;

/**
 * The decisions of an emulated dispatcher, with the methods of the facade {@link Balancer}. Times are in
 * microseconds and never go backwards.
 */
public interface DispatchLogic {
    /** Handles a new RPC, which must be given exactly one final answer. */
    List<Step> pick(long now, Request rpc);

    /** Handles an event. */
    List<Step> report(long now, News news);

    /** Handles the timer of a {@link Step.WakeAfter}. */
    List<Step> tick(long now, long token);

    /** The decisions of the product, through the facade that {@code serve} uses. */
    static DispatchLogic networkedQueues(Settings settings) {
        Balancer balancer = new Balancer(settings);
        return new DispatchLogic() {
            @Override
            public List<Step> pick(long now, Request rpc) {
                return balancer.pick(now, rpc);
            }

            @Override
            public List<Step> report(long now, News news) {
                return balancer.report(now, news);
            }

            @Override
            public List<Step> tick(long now, long token) {
                return balancer.tick(now, token);
            }
        };
    }
}
