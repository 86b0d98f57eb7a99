package saffronferry.lab.scenario;

import java.util.ArrayList;
import java.util.List;
import saffronferry.Contract.Effect;
import saffronferry.Contract.Group;

/**
 * What is played: a fleet, its clients and network, and what goes wrong. Times in microseconds unless said.
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

    /** A kind of worker: {@code speed} 1 does a second of work in a second on one core. */
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
     * A class of requests; {@code work} is the mean in microseconds at speed 1, {@code tail} the log's sigma.
     */
    public record RpcClass(
            String name,
            double share,
            long aim,
            double stretch,
            long deadline,
            double worth,
            double lateWorth,
            Effect effect,
            Group group,
            long keyTtl,
            double work,
            double tail) {}

    /** An association: its share of the requests, and of the fleet's capacity that it is entitled to. */
    public record Tenant(String name, double share, double entitled) {}

    /** Offered work as a share of the fleet's capacity, and how it swings. */
    public record Load(double share, String shape, double swing, double zoneSkew, long most, DispatcherSkew dispatcherSkew) {}

    /** The first so many dispatchers are asked so many times as much as others, and the last ones nothing. */
    public record DispatcherSkew(int loud, double times, int silent) {
        /** How much of the clients one of so many dispatchers gets, relative to the others. */
        public double weight(int dispatcher, int of) {
            return dispatcher < loud ? times : dispatcher >= of - silent ? 0 : 1;
        }

        /** Whether all are asked alike. */
        public boolean isUniform() {
            return loud == 0 && silent == 0;
        }
    }

    /** How clients retry: {@code honour} is the share of them that heeds Retry-After. */
    public record Clients(int retries, long backoff, double honour) {}

    /** One-way delays; {@code jitter} is the share by which one may be longer; {@code loss} of datagrams. */
    public record Network(
            long same, long cross, long client, double jitter, double loss, long connectTimeout, long frontNotice) {}

    /** How late the list is; a call takes {@code call} and at most {@code perSecond} are served. */
    public record Discovery(long notice, long silentNotice, long add, long call, double perSecond) {}

    /** Load reports: refreshed each {@code period}, {@code noise} relative. */
    public record Reports(boolean on, long period, double noise) {}

    /** The rules' figures. */
    public record Rules(long slack, long drain, double coldOverloadMultiple, long coldWindow, int maxAttempts, long maxRetryAfter) {}

    /** What the module is told that things cost. */
    public record Prices(double peer, double probe, double overShare) {}

    /** Something that goes wrong; what {@code part} and {@code size} mean depends on the kind. */
    public record Fault(
            String kind, long at, long length, double part, double size, String zone, String tenant, Link link) {}

    /**
     * What a trouble does to datagrams between dispatchers: between whom ({@code shape}), whether in one
     * direction alone, the share of them lost and of those doubled, up to how much later each comes, so that
     * they overtake one another, and how often the trouble comes and goes; 0: it stays.
     */
    public record Link(String shape, boolean oneWay, double loss, double doubled, long delay, long flap) {}

    /**
     * What has to hold, judged from outside: the share of requests refused or failed, of a cold worker's
     * capacity the multiple sent within the rule's window, and of what cold workers can do the share used
     * while jobs wait, on the mean and by each.
     */
    public record Bounds(double refused, double failed, double coldMultiple, double coldUsed, double coldUsedEach) {}

    /** The same with other figures of the rules. */
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

    /** As it is played with a seed: with the troubles that are drawn from it. */
    public Scenario withRandomFaults(long seed) {
        List<Fault> all = new ArrayList<>(faults);
        all.addAll(
                randomFaults.generate(seed, length, zones, tenants.stream().map(Tenant::name).toList()));
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

    /** Zones lie in regions in their order, each region as many as the others, as far as that goes. */
    public int regionOf(int zone) {
        return (int) ((long) zone * regions / zones.size());
    }

    /** The mean work of a request in microseconds at speed 1. */
    public double meanWork() {
        double all = classes.stream().mapToDouble(RpcClass::share).sum();
        return classes.stream().mapToDouble(c -> c.share() / all * c.work()).sum();
    }
}
