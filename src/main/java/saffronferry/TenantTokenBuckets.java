package saffronferry;

import java.util.Arrays;
import java.util.List;

/** One token bucket per tenant, which tells requests within the tenant's allowance from those beyond it. */
final class TenantTokenBuckets {
    /** Least capacity of a bucket, so that a tenant with a small allowance can use it at all. */
    private static final double MIN_BURST_REQUESTS = 2;

    private List<Contract.Tenant> tenants;
    private double[] tokens;

    TenantTokenBuckets(List<Contract.Tenant> tenants) {
        this.tenants = tenants;
        tokens = new double[tenants.size()];
        Arrays.fill(tokens, 1);
    }

    /** Replaces the allowances. Existing buckets keep their tokens, which were earned under the old allowances. */
    void updateTenants(List<Contract.Tenant> next) {
        int oldLength = tokens.length;
        tenants = List.copyOf(next);
        tokens = Arrays.copyOf(tokens, next.size());
        Arrays.fill(tokens, Math.min(oldLength, tokens.length), tokens.length, 1);
    }

    /** Takes a token for a request; true if there is none and the request exceeds the tenant's allowance. */
    boolean exceedsAllowance(int tenant) {
        boolean exceeds = tenant >= 0 && tenants.get(tenant).allowancePerS() > 0 && tokens[tenant] < 1;
        if (tenant >= 0 && !exceeds) {
            tokens[tenant] -= 1;
        }
        return exceeds;
    }

    /** Adds the tokens of the time that has passed, for this dispatcher's share of the traffic. */
    void refill(double seconds, double trafficShare) {
        for (int t = 0; t < tokens.length; t++) {
            double perS = tenants.get(t).allowancePerS() * trafficShare;
            tokens[t] = Math.min(tokens[t] + perS * seconds, Math.max(perS, MIN_BURST_REQUESTS));
        }
    }
}
