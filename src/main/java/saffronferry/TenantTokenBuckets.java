package saffronferry;

import java.util.Arrays;
import java.util.List;

/** What tenants may ask for within their shares: a token bucket each. Data: {@link Dispatcher} decides. */
final class TenantTokenBuckets {
    private static final double LEAST_BURST = 2; // requests: of a small share not each one lies beyond it

    private List<Contract.Tenant> tenants;
    private double[] tokens;

    TenantTokenBuckets(List<Contract.Tenant> tenants) {
        this.tenants = tenants;
        tokens = new double[tenants.size()];
        Arrays.fill(tokens, 1);
    }

    /** From now on these hold; buckets stay, since tokens are what the past has left. */
    void follow(List<Contract.Tenant> next) {
        int before = tokens.length;
        tenants = List.copyOf(next);
        tokens = Arrays.copyOf(tokens, next.size());
        Arrays.fill(tokens, Math.min(before, tokens.length), tokens.length, 1);
    }

    /** Takes a request of a tenant in; whether it lies beyond the tenant's share. */
    boolean beyond(int tenant) {
        boolean beyond = tenant >= 0 && tenants.get(tenant).allowancePerS() > 0 && tokens[tenant] < 1;
        if (tenant >= 0 && !beyond) {
            tokens[tenant] -= 1;
        }
        return beyond;
    }

    /** So much time has passed, in which this dispatcher had such a part of all traffic. */
    void fill(double seconds, double trafficShare) {
        for (int t = 0; t < tokens.length; t++) {
            double perS = tenants.get(t).allowancePerS() * trafficShare;
            tokens[t] = Math.min(tokens[t] + perS * seconds, Math.max(perS, LEAST_BURST));
        }
    }
}
