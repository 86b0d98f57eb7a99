package saffronferry.lab.scenario;

import java.util.ArrayList;
import java.util.List;
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.Idempotency;

/**
 * A scenario: a fleet of workers and dispatchers, its clients and network, and faults. Times are in microseconds
 * unless stated otherwise.
 */
public record Scenario(
        String name,
        long length,
        List<String> zones,
        int workers,
        int cellSize,
        int dispatchers,
        List<WorkerKind> kinds,
        List<RpcClass> classes,
        List<Tenant> tenants,
        Load load,
        Clients clients,
        Network network,
        Discovery discovery,
        Reports reports,
        Rules rules,
        Prices prices,
        List<Fault> faults,
        RandomFaults randomFaults,
        Bounds bounds,
        int regions,
        Limits limits) {

    /** A kind of worker. At {@code speed} 1 a core does one second of work per second. */
    public record WorkerKind(
            String name,
            double share,
            int cores,
            double speed,
            double speedCv,
            int slots,
            int queue,
            double thrashAt,
            double thrash,
            double coldFrom,
            long cold,
            double errorRate) {}

    /**
     * A class of requests. Work is log-normal: {@code work} is the mean in microseconds at speed 1, {@code tail} the
     * standard deviation of the logarithm. {@code aim} plus {@code stretch} times the work is the target latency.
     */
    public record RpcClass(
            String name,
            double share,
            long aim,
            double stretch,
            long deadline,
            double worth,
            double lateWorth,
            Idempotency effect,
            DedupScope group,
            long keyTtl,
            double work,
            double tail) {}

    /** A tenant: its share of the requests, and the share of the fleet's capacity it is entitled to. */
    public record Tenant(String name, double share, double entitled) {}

    /** Offered work as a share of the fleet's capacity, and its variation over time. */
    public record Load(
            double share,
            String shape,
            double swing,
            double zoneSkew,
            long maxRequests,
            DispatcherSkew dispatcherSkew) {}

    /**
     * Uneven distribution of requests: the first {@code loadedDispatchers} receive {@code factor} times as many as
     * others, the last {@code idleDispatchers} none.
     */
    public record DispatcherSkew(int loadedDispatchers, double factor, int idleDispatchers) {
        /** The relative weight of a dispatcher among {@code dispatcherCount} dispatchers. */
        public double weight(int dispatcher, int dispatcherCount) {
            return dispatcher < loadedDispatchers ? factor : dispatcher >= dispatcherCount - idleDispatchers ? 0 : 1;
        }

        /** Whether all dispatchers have the same weight. */
        public boolean isUniform() {
            return loadedDispatchers == 0 && idleDispatchers == 0;
        }
    }

    /** Client retries; {@code retryAfterShare} is the share of clients that honour Retry-After. */
    public record Clients(int retries, long backoff, double retryAfterShare) {}

    /**
     * One-way delays. {@code jitter} is the largest relative increase of a delay, {@code loss} the loss rate of
     * datagrams, {@code frontNotice} the time until the clients' front end notices a dead dispatcher.
     */
    public record Network(
            long same, long cross, long client, double jitter, double loss, long connectTimeout, long frontNotice) {}

    /** Delays of the worker list. A call takes {@code call}; at most {@code perSecond} are served. */
    public record Discovery(long notice, long silentNotice, long add, long call, double perSecond) {}

    /** Load reports: refreshed every {@code period}, with relative {@code noise}. */
    public record Reports(boolean on, long period, double noise) {}

    /**
     * Parameters of the rules. {@code slack} is the time after the deadline in which an answer is still accepted. A
     * cold worker fails when it receives more than {@code coldOverloadMultiple} times its capacity within
     * {@code coldWindow}.
     */
    public record Rules(
            long slack,
            long drain,
            double coldOverloadMultiple,
            long coldWindow,
            int maxAttempts,
            long maxRetryAfter) {}

    /** Costs that are passed to the dispatch logic: of a peer message, of a probe, of work over a tenant's share. */
    public record Prices(double peer, double probe, double overShare) {}

    /** A fault. The meaning of {@code part} and {@code size} depends on the kind. */
    public record Fault(
            String kind, long at, long length, double part, double size, String zone, String tenant, LinkFault link) {}

    /**
     * The effect of a fault on datagrams between dispatchers: the affected links ({@code shape}), whether it applies
     * in one direction only, the shares of lost and duplicated datagrams, the largest extra delay, which lets
     * datagrams overtake one another, and the time for which the fault is active and inactive in turn (0: always
     * active).
     */
    public record LinkFault(String shape, boolean oneWay, double loss, double doubled, long delay, long flap) {}

    /**
     * Bounds that are checked from the outside: the shares of refused and failed requests, the work sent to a cold
     * worker within the rule's window as a multiple of its capacity, and the share of cold workers' capacity that is
     * used while jobs wait, as a mean and for each worker.
     */
    public record Bounds(double refused, double failed, double coldMultiple, double coldUsed, double coldUsedEach) {}

    /** A copy with other parameters of the rules. */
    public Scenario with(Rules other) {
        return new Scenario(
                name,
                length,
                zones,
                workers,
                cellSize,
                dispatchers,
                kinds,
                classes,
                tenants,
                load,
                clients,
                network,
                discovery,
                reports,
                other,
                prices,
                faults,
                randomFaults,
                bounds,
                regions,
                limits);
    }

    /** A copy with the random faults for a seed added. */
    public Scenario withRandomFaults(long seed) {
        List<Fault> all = new ArrayList<>(faults);
        all.addAll(randomFaults.generate(
                seed, length, zones, tenants.stream().map(Tenant::name).toList()));
        return new Scenario(
                name,
                length,
                zones,
                workers,
                cellSize,
                dispatchers,
                kinds,
                classes,
                tenants,
                load,
                clients,
                network,
                discovery,
                reports,
                rules,
                prices,
                List.copyOf(all),
                randomFaults,
                bounds,
                regions,
                limits);
    }

    /** The region of a zone. Consecutive zones form regions of equal size, as far as the numbers allow. */
    public int regionOf(int zone) {
        return (int) ((long) zone * regions / zones.size());
    }

    /** The mean work of a request in microseconds at speed 1, over all classes. */
    public double meanWork() {
        double all = classes.stream().mapToDouble(RpcClass::share).sum();
        return classes.stream().mapToDouble(c -> c.share() / all * c.work()).sum();
    }
}
