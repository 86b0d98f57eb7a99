package saffronferry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saffronferry.DispatcherHarness.S;

import java.util.List;
import org.junit.jupiter.api.Test;
import saffronferry.Contract.Tenant;

class TenantTokenBucketsTest {
    private static int within(TenantTokenBuckets allowances, int tenant, int requests) {
        int within = 0;
        for (int i = 0; i < requests; i++) {
            within += allowances.exceedsAllowance(tenant) ? 0 : 1;
        }
        return within;
    }

    /** Changed, added and removed allowances apply from the next request on. */
    @Test
    void updatedAllowancesApplyToTheNextRequest() {
        TenantTokenBuckets allowances = new TenantTokenBuckets(List.of(new Tenant("a", 5), new Tenant("b", 5)));
        allowances.refill(1, 1);
        assertTrue(within(allowances, 0, 100) <= 6);
        assertTrue(allowances.exceedsAllowance(0));
        allowances.updateTenants(List.of(new Tenant("a", 50), new Tenant("b", 0), new Tenant("c", 3)));
        assertTrue(allowances.exceedsAllowance(0), "a new allowance adds no tokens for the past");
        allowances.refill(1, 1);
        assertTrue(within(allowances, 0, 100) >= 50);
        assertFalse(within(allowances, 1, 100) < 100, "a removed tenant has no known limit");
        allowances.refill(1, 1);
        assertTrue(within(allowances, 2, 100) <= 4);
        assertTrue(allowances.exceedsAllowance(2));
    }

    /** A tenant beyond its updated allowance yields to one within it, as with allowances from the settings. */
    @Test
    void theModuleAppliesUpdatedAllowances() {
        Balancer balancer = new Balancer(new DispatcherHarness.Options().settings());
        long now = 10 * S;
        balancer.report(
                now, new BalancerEvent.Resolved(Contract.ListKind.WHOLE, List.of(DispatcherHarness.worker("a"))));
        balancer.report(
                now, new BalancerEvent.AllowancesChanged(List.of(new Tenant("big", 1), new Tenant("small", 100))));
        for (long id = 1; id <= 5; id++) {
            balancer.pick(now, new Contract.Request(id, 0, 0, now + 5 * S, 1, false));
        }
        balancer.pick(now, new Contract.Request(6, 0, 1, now + 5 * S, 1, false));
        List<BalancerAction> steps =
                balancer.report(now, new BalancerEvent.AttemptEnded(1, 0, Contract.Outcome.OK, 0, true, null));
        assertTrue(steps.contains(new BalancerAction.StartAttempt(6, "a")), steps.toString());
    }
}
