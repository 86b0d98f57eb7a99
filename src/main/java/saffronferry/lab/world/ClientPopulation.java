package saffronferry.lab.world;

import java.util.Arrays;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.scenario.Scenario.RpcClass;

/** Emulated clients: open-loop arrivals, and retries until the deadline. */
final class ClientPopulation {
    private final ClusterSimulation simulation;
    private final Scenario scenario;
    private final EventScheduler scheduler;
    private final UniformRandomProvider dispatcherChoice;
    private final double[] tokens;
    /** Requests per second within each tenant's share. */
    private final double[] allowancePerSecond;

    private long refilledAt;
    private long generatedRequests;

    ClientPopulation(ClusterSimulation simulation, double capacity) {
        this.simulation = simulation;
        scenario = simulation.scenario;
        scheduler = simulation.scheduler;
        dispatcherChoice = simulation.streams.of("client tries", 0);
        double perSecond = capacity / (scenario.meanWork() / 1e6);
        double shares =
                scenario.tenants().stream().mapToDouble(Scenario.Tenant::share).sum();
        allowancePerSecond = scenario.tenants().stream()
                .mapToDouble(t -> perSecond * (t.entitled() > 0 ? t.entitled() : t.share() / shares))
                .toArray();
        tokens = Arrays.stream(allowancePerSecond).map(a -> Math.max(a, 2)).toArray();
    }

    double[] allowancePerSecond() {
        return allowancePerSecond;
    }

    /**
     * Starts a stream of arrivals: {@code perSecond} at factor 1, for one tenant or, with -1, for all tenants by
     * their shares.
     */
    void startArrivals(String name, int index, double perSecond, int tenant, long from, long until, RateShape shape) {
        UniformRandomProvider arrivalRandom = simulation.streams.of(name + " times", index);
        UniformRandomProvider requestRandom = simulation.streams.of(name + " requests", index);
        scheduleNextArrival(arrivalRandom, requestRandom, perSecond, tenant, from, until, shape);
    }

    /** Variation of the request rate over time: a factor of at most {@link #maxFactor}. */
    interface RateShape {
        double factorAt(long time);

        double maxFactor();
    }

    private void scheduleNextArrival(
            UniformRandomProvider arrivalRandom,
            UniformRandomProvider requestRandom,
            double perSecond,
            int tenant,
            long from,
            long until,
            RateShape shape) {
        long at = from;
        do { // sampling of a non-homogeneous Poisson process by thinning
            double gap = -Math.log(1 - arrivalRandom.nextDouble()) / (perSecond * shape.maxFactor());
            at += Math.max(1, Math.round(gap * 1e6));
        } while (at < until && arrivalRandom.nextDouble() * shape.maxFactor() > shape.factorAt(at));
        long when = at;
        if (when < until && generatedRequests < scenario.load().maxRequests()) {
            scheduler.at(when, () -> {
                generatedRequests++;
                createRequest(requestRandom, tenant);
                scheduleNextArrival(arrivalRandom, requestRandom, perSecond, tenant, when, until, shape);
            });
        }
    }

    private static int weightedIndex(double[] weights, double draw) {
        double sum = Arrays.stream(weights).sum();
        double left = draw * sum;
        for (int i = 0; i < weights.length; i++) {
            left -= weights[i];
            if (left < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }

    private void createRequest(UniformRandomProvider requestRandom, int fixedTenant) {
        int rpcClass = weightedIndex(
                scenario.classes().stream().mapToDouble(RpcClass::share).toArray(), requestRandom.nextDouble());
        double tenantDraw = requestRandom.nextDouble();
        int tenant = fixedTenant >= 0
                ? fixedTenant
                : weightedIndex(
                        scenario.tenants().stream()
                                .mapToDouble(Scenario.Tenant::share)
                                .toArray(),
                        tenantDraw);
        double[] zoneWeights = new double[scenario.zones().size()];
        for (int z = 0; z < zoneWeights.length; z++) {
            zoneWeights[z] = 1 + scenario.load().zoneSkew() * (z == 0 ? 1 : -1.0 / Math.max(1, zoneWeights.length - 1));
        }
        int zone = weightedIndex(zoneWeights, requestRandom.nextDouble());
        RpcClass spec = scenario.classes().get(rpcClass);
        double normal = ZigguratSampler.NormalizedGaussian.of(requestRandom).sample();
        double work = spec.work() * Math.exp(spec.tail() * normal - spec.tail() * spec.tail() / 2);
        requestRandom.nextDouble(); // unused draw: keeps the requests that earlier versions drew from a seed
        boolean honoursRetryAfter =
                requestRandom.nextDouble() < scenario.clients().retryAfterShare();
        ClientRequest request = new ClientRequest(
                scheduler.now(),
                rpcClass,
                tenant,
                zone,
                Math.max(1, work),
                scheduler.now() + spec.deadline(),
                takeToken(tenant),
                honoursRetryAfter);
        simulation.statistics.asked(request, worth(request));
        sendToDispatcher(request);
    }

    /** Takes a token from the tenant's bucket, which fills at the rate the tenant is entitled to. */
    private boolean takeToken(int tenant) {
        double seconds = (scheduler.now() - refilledAt) / 1e6;
        refilledAt = scheduler.now();
        for (int i = 0; i < tokens.length; i++) {
            tokens[i] = Math.min(tokens[i] + allowancePerSecond[i] * seconds, Math.max(allowancePerSecond[i], 2));
        }
        boolean within = tokens[tenant] >= 1;
        tokens[tenant] -= within ? 1 : 0;
        return within;
    }

    private double worth(ClientRequest request) {
        double worth = scenario.classes().get(request.rpcClass).worth();
        return request.withinTenantShare ? worth : worth * scenario.prices().overShare();
    }

    private void sendToDispatcher(ClientRequest request) {
        simulation.statistics.clientTryStarted(request);
        EmulatedDispatcher dispatcher = simulation.chooseDispatcher(request.zone, dispatcherChoice);
        scheduler.after(simulation.network.clientDelay(), () -> {
            if (dispatcher == null || !dispatcher.acceptRequest(request)) {
                scheduler.after(simulation.network.clientDelay(), () -> retryOrGiveUp(request, 0));
            }
        });
    }

    /** A dispatcher gives the final answer to a try. */
    void answerReceived(ClientRequest request, boolean served, boolean refused, long retryAfter) {
        scheduler.after(simulation.network.clientDelay(), () -> {
            if (request.finished) {
                return;
            }
            if (served) {
                request.finished = true;
                RpcClass spec = scenario.classes().get(request.rpcClass);
                long latency = scheduler.now() - request.arrivedAt;
                double targetLatency = Math.min(spec.deadline(), spec.aim() + spec.stretch() * request.work);
                simulation.statistics.served(
                        request,
                        worth(request) * (latency <= targetLatency ? 1 : spec.lateWorth()),
                        latency,
                        latency <= targetLatency);
            } else {
                simulation.statistics.refusals += refused ? 1 : 0;
                simulation.statistics.failures += refused ? 0 : 1;
                retryOrGiveUp(request, retryAfter);
            }
        });
    }

    /** The dispatcher's process ended while it held the request. */
    void connectionLost(ClientRequest request, EmulatedDispatcher dispatcher) {
        scheduler.after(simulation.network.clientDelay(), () -> {
            simulation.statistics.failures++;
            retryOrGiveUp(request, 0);
        });
    }

    private void retryOrGiveUp(ClientRequest request, long retryAfter) {
        long backoff = scenario.clients().backoff() << Math.min(request.clientTries - 1, 6);
        long wait = request.honoursRetryAfter && retryAfter > 0 ? retryAfter : backoff;
        if (!request.finished
                && request.clientTries <= scenario.clients().retries()
                && scheduler.now() + wait < request.deadline) {
            scheduler.after(Math.max(1, wait), () -> sendToDispatcher(request));
        } else {
            request.finished = true;
        }
    }
}
