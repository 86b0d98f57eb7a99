package saffronferry.lab.world;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.scenario.Scenario.RpcClass;

/**
 * Emulated clients and the front: open-loop arrivals, tries until the deadline, and what becomes of it all.
 */
final class Clients {
    private final ClusterSimulation world;
    private final Scenario scenario;
    private final Simulation sim;
    private final UniformRandomProvider tries;
    private final double[] bucket;
    private final double[] allowance; // requests a second within a tenant's share
    private long filledAt;
    private long made;

    Clients(ClusterSimulation world, double capacity) {
        this.world = world;
        scenario = world.scenario;
        sim = world.sim;
        tries = world.streams.of("client tries", 0);
        double perSecond = capacity / (scenario.meanWork() / 1e6);
        double shares =
                scenario.tenants().stream().mapToDouble(Scenario.Tenant::share).sum();
        allowance = scenario.tenants().stream()
                .mapToDouble(t -> perSecond * (t.entitled() > 0 ? t.entitled() : t.share() / shares))
                .toArray();
        bucket = Arrays.stream(allowance).map(a -> Math.max(a, 2)).toArray();
    }

    double[] allowance() {
        return allowance;
    }

    /**
     * A stream of arrivals: {@code perSecond} at factor 1, for one tenant or, with -1, for all by their
     * shares.
     */
    void stream(String name, int index, double perSecond, int tenant, long from, long until, Shape shape) {
        UniformRandomProvider times = world.streams.of(name + " times", index);
        UniformRandomProvider kinds = world.streams.of(name + " requests", index);
        next(times, kinds, perSecond, tenant, from, until, shape);
    }

    /** How the rate swings: a factor of at most {@link #most} at a time. */
    interface Shape {
        double at(long time);

        double most();
    }

    private void next(
            UniformRandomProvider times,
            UniformRandomProvider kinds,
            double perSecond,
            int tenant,
            long from,
            long until,
            Shape shape) {
        long at = from;
        do { // thinning
            double gap = -Math.log(1 - times.nextDouble()) / (perSecond * shape.most());
            at += Math.max(1, Math.round(gap * 1e6));
        } while (at < until && times.nextDouble() * shape.most() > shape.at(at));
        long when = at;
        if (when < until && made < scenario.load().most()) {
            sim.at(when, () -> {
                made++;
                arrive(kinds, tenant);
                next(times, kinds, perSecond, tenant, when, until, shape);
            });
        }
    }

    private static int pick(double[] weights, double at) {
        double sum = Arrays.stream(weights).sum();
        double left = at * sum;
        for (int i = 0; i < weights.length; i++) {
            left -= weights[i];
            if (left < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }

    private void arrive(UniformRandomProvider kinds, int ofTenant) {
        int c = pick(scenario.classes().stream().mapToDouble(RpcClass::share).toArray(), kinds.nextDouble());
        double tenantAt = kinds.nextDouble();
        int t = ofTenant >= 0
                ? ofTenant
                : pick(
                        scenario.tenants().stream()
                                .mapToDouble(Scenario.Tenant::share)
                                .toArray(),
                        tenantAt);
        double[] zoneWeights = new double[scenario.zones().size()];
        for (int z = 0; z < zoneWeights.length; z++) {
            zoneWeights[z] = 1 + scenario.load().zoneSkew() * (z == 0 ? 1 : -1.0 / Math.max(1, zoneWeights.length - 1));
        }
        int zone = pick(zoneWeights, kinds.nextDouble());
        RpcClass spec = scenario.classes().get(c);
        double normal = ZigguratSampler.NormalizedGaussian.of(kinds).sample();
        double work = spec.work() * Math.exp(spec.tail() * normal - spec.tail() * spec.tail() / 2);
        kinds.nextDouble(); // keeps the days of earlier seeds as they were
        boolean honours = kinds.nextDouble() < scenario.clients().honour();
        Call call = new Call(
                sim.now(), c, t, zone, Math.max(1, work), sim.now() + spec.deadline(), withinShare(t), honours);
        world.tally.asked(call, worth(call));
        attempt(call);
    }

    /** A token bucket for each tenant, filled with what it is entitled to. */
    private boolean withinShare(int tenant) {
        double seconds = (sim.now() - filledAt) / 1e6;
        filledAt = sim.now();
        for (int i = 0; i < bucket.length; i++) {
            bucket[i] = Math.min(bucket[i] + allowance[i] * seconds, Math.max(allowance[i], 2));
        }
        boolean within = bucket[tenant] >= 1;
        bucket[tenant] -= within ? 1 : 0;
        return within;
    }

    private double worth(Call call) {
        double worth = scenario.classes().get(call.rpcClass).worth();
        return call.inShare ? worth : worth * scenario.prices().overShare();
    }

    private void attempt(Call call) {
        world.tally.tried(call);
        Node node = world.front(call.zone, tries);
        sim.after(world.wires.toClient(), () -> {
            if (node == null || !node.take(call)) {
                sim.after(world.wires.toClient(), () -> again(call, 0));
            }
        });
    }

    /** The final answer of a try. */
    void answered(Call call, boolean served, boolean refused, long retryAfter) {
        sim.after(world.wires.toClient(), () -> {
            if (call.over) {
                return;
            }
            if (served) {
                call.over = true;
                RpcClass spec = scenario.classes().get(call.rpcClass);
                long took = sim.now() - call.arrivedAt;
                double wanted = Math.min(spec.deadline(), spec.aim() + spec.stretch() * call.work);
                world.tally.served(call, worth(call) * (took <= wanted ? 1 : spec.lateWorth()), took, took <= wanted);
            } else {
                world.tally.refusals += refused ? 1 : 0;
                world.tally.failures += refused ? 0 : 1;
                again(call, retryAfter);
            }
        });
    }

    /** The dispatcher died with the request. */
    void broken(Call call, Node node) {
        sim.after(world.wires.toClient(), () -> {
            world.tally.failures++;
            again(call, 0);
        });
    }

    private void again(Call call, long retryAfter) {
        long backoff = scenario.clients().backoff() << Math.min(call.tries - 1, 6);
        long wait = call.honours && retryAfter > 0 ? retryAfter : backoff;
        if (!call.over && call.tries <= scenario.clients().retries() && sim.now() + wait < call.deadline) {
            sim.after(Math.max(1, wait), () -> attempt(call));
        } else {
            call.over = true;
        }
    }
}
