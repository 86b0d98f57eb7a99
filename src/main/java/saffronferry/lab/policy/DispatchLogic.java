package saffronferry.lab.policy;

import java.util.List;
import saffronferry.Balancer;
import saffronferry.Contract.Request;
import saffronferry.Contract.Settings;
import saffronferry.News;
import saffronferry.Step;

/** The facade's shape: whoever decides in an emulated dispatcher. Clock in microseconds, never backwards. */
public interface DispatchLogic {
    /** Picks what to do with a new RPC, which awaits exactly one final answer. */
    List<Step> pick(long now, Request rpc);

    /** Takes news in. */
    List<Step> report(long now, News news);

    /** A {@link Step.WakeAfter} has fallen due. */
    List<Step> tick(long now, long token);

    /** The program's own decisions, through the facade that {@code serve} uses. */
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
