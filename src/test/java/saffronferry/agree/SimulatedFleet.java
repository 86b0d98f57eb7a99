package saffronferry.agree;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

/**
 * Runs the {@link Gossip} of many dispatchers in virtual time, over a network that loses, duplicates, delays and
 * reorders datagrams.
 */
final class SimulatedFleet {
    static final long SECOND = 1_000_000;
    static final byte[] SECRET = "of the fleet".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    private static final long MIN_DELAY_US = 500;
    private static final long MAX_DELAY_US = 30_000;

    private record Event(long at, long sequence, Runnable action) {}

    private record SentDatagram(long at, int bytes) {}

    /** Tracks a change until the last dispatcher has received it. */
    static final class Propagation {
        final long changedAt;
        int missing;
        long completedAt;

        Propagation(long changedAt, int missing) {
            this.changedAt = changedAt;
            this.missing = missing;
        }
    }

    final int size;
    final int maxBytesPerSecond;
    final Gossip[] nodes;
    final boolean[] dead;
    final boolean[] stopped;

    /** Number of the network partition that each node is in; datagrams between partitions are lost. */
    final int[] partition;

    /** How far each node's clock is ahead of the simulation's. */
    final long[] clockLeadUs;

    final long[] bytes;
    final long[] datagrams;

    /** Bytes sent, by ordinal of the kind of datagram. */
    final long[] bytesByKind = new long[GossipDatagram.Kind.values().length];

    /** The settings in force at each node. */
    final List<Map<SettingKey, String>> settings = new ArrayList<>();

    final Map<SettingKey, Propagation> propagationByKey = new HashMap<>();
    final List<Propagation> propagations = new ArrayList<>();

    /** The most bytes that any node sent within any second. */
    long maxBytesInOneSecond;

    /** Probability that a datagram is lost. */
    double loss;

    /** Probability that a datagram is sent twice. */
    double duplication;

    /** Applied by the network to each datagram. */
    UnaryOperator<byte[]> corrupt = b -> b;

    long now = 1_796_000_000L * SECOND;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private final List<ArrayDeque<SentDatagram>> sentInLastSecond = new ArrayList<>();
    private final long[] bytesInLastSecond;
    private final List<List<Runnable>> queuedWhileStopped = new ArrayList<>();

    /** How often each node was started; ticks of earlier starts are ignored. */
    private final int[] incarnations;

    private long sequence;

    SimulatedFleet(int size, int maxBytesPerSecond, double loss, long seed) {
        this.size = size;
        this.maxBytesPerSecond = maxBytesPerSecond;
        this.loss = loss;
        random = new SplittableRandom(seed);
        nodes = new Gossip[size];
        dead = new boolean[size];
        stopped = new boolean[size];
        partition = new int[size];
        clockLeadUs = new long[size];
        bytes = new long[size];
        datagrams = new long[size];
        bytesInLastSecond = new long[size];
        incarnations = new int[size];
        for (int i = 0; i < size; i++) {
            settings.add(new HashMap<>());
            sentInLastSecond.add(new ArrayDeque<>());
            queuedWhileStopped.add(new ArrayList<>());
            start(i);
        }
    }

    /** Starts or restarts a node, without state. */
    void start(int node) {
        dead[node] = false;
        settings.get(node).clear();
        sentInLastSecond.get(node).clear(); // the rate limit is per process
        bytesInLastSecond[node] = 0;
        int incarnation = ++incarnations[node];
        nodes[node] = new Gossip(
                new Gossip.Options(node, size, maxBytesPerSecond, SECRET, random.nextLong()),
                new Gossip.Callbacks() {
                    @Override
                    public void send(int peer, byte[] datagram) {
                        transmit(node, peer, datagram);
                    }

                    @Override
                    public void changesApplied(List<SettingChange> changes) {
                        changes.forEach(c -> applied(node, c));
                    }
                },
                clock(node));
        at(now + random.nextLong(Gossip.TICK_INTERVAL_US), () -> tick(node, incarnation));
    }

    private void applied(int node, SettingChange c) {
        settings.get(node).put(c.key(), c.value());
        Propagation propagation = propagationByKey.get(c.key());
        if (propagation != null && --propagation.missing == 0) {
            propagation.completedAt = now;
        }
    }

    private long clock(int node) {
        return now + clockLeadUs[node];
    }

    private void tick(int node, int incarnation) {
        if (incarnations[node] == incarnation && !dead[node]) {
            if (!stopped[node]) {
                nodes[node].tick(clock(node));
            }
            at(now + Gossip.TICK_INTERVAL_US, () -> tick(node, incarnation));
        }
    }

    void at(long when, Runnable action) {
        events.add(new Event(when, sequence++, action));
    }

    private void transmit(int from, int to, byte[] datagram) {
        bytes[from] += datagram.length;
        datagrams[from]++;
        bytesByKind[datagram[1]] += datagram.length;
        ArrayDeque<SentDatagram> window = sentInLastSecond.get(from);
        window.addLast(new SentDatagram(now, datagram.length));
        bytesInLastSecond[from] += datagram.length;
        while (window.peekFirst().at() <= now - SECOND) {
            bytesInLastSecond[from] -= window.pollFirst().bytes();
        }
        maxBytesInOneSecond = Math.max(maxBytesInOneSecond, bytesInLastSecond[from]);
        if (datagram.length > GossipDatagram.MAX_BYTES || dead[from]) {
            throw new IllegalStateException("datagram is too long, or its sender is dead");
        }
        for (int copies = random.nextDouble() < duplication ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() >= loss) {
                byte[] delivered = corrupt.apply(datagram.clone());
                at(
                        now + MIN_DELAY_US + random.nextLong(MAX_DELAY_US - MIN_DELAY_US),
                        () -> deliver(from, to, delivered));
            }
        }
    }

    /** Delivers a datagram unless it is between partitions; a stopped node receives it once it is resumed. */
    void deliver(int from, int to, byte[] datagram) {
        if (partition[from] != partition[to] || dead[to]) {
            return;
        }
        if (stopped[to]) {
            queuedWhileStopped.get(to).add(() -> deliver(from, to, datagram));
        } else {
            nodes[to].receive(clock(to), from, datagram);
        }
    }

    void resumeNode(int node) {
        stopped[node] = false;
        queuedWhileStopped.get(node).forEach(Runnable::run);
        queuedWhileStopped.get(node).clear();
    }

    void run(long durationUs) {
        long until = now + durationUs;
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        now = until;
    }

    /**
     * Runs until all live nodes hold the same changes.
     *
     * @return how long that took, or -1 if it took longer than the limit; both in microseconds
     */
    long runUntilConverged(long limitUs) {
        long from = now;
        while (!converged()) {
            if (now - from >= limitUs) {
                return -1;
            }
            run(50_000);
        }
        return now - from;
    }

    /** Whether all live nodes hold the same changes. */
    boolean converged() {
        long digest = -1;
        boolean first = true;
        for (int i = 0; i < size; i++) {
            if (!dead[i]) {
                long nodeDigest = nodes[i].status(clock(i)).digest();
                if (!first && nodeDigest != digest) {
                    return false;
                }
                digest = nodeDigest;
                first = false;
            }
        }
        return true;
    }

    static SettingKey key(int tenant) {
        return new SettingKey(DynamicSetting.ALLOWANCE, "kilbarron-team-" + tenant);
    }

    /** Changes a tenant's setting at a node, and tracks the change until the last node has received it. */
    void applyTrackedChange(int node, int tenant, String value) {
        Propagation propagation = new Propagation(now, size - 1);
        propagationByKey.put(key(tenant), propagation);
        propagations.add(propagation);
        applyChanges(node, java.util.Collections.singletonMap(key(tenant), value));
    }

    void applyChanges(int node, Map<SettingKey, String> changes) {
        changes.forEach((k, v) -> settings.get(node).put(k, v));
        List<String> errors = nodes[node].applyLocalChanges(clock(node), changes);
        if (!errors.isEmpty()) {
            throw new IllegalStateException(errors.toString());
        }
    }

    static Map<SettingKey, String> changesForTenants(int tenants, String value) {
        Map<SettingKey, String> all = new HashMap<>();
        for (int i = 0; i < tenants; i++) {
            all.put(key(i), value);
        }
        return all;
    }

    /** Applies tracked changes at a fixed interval, each of another tenant and at a random node. */
    void applyChangeStream(int changes, long intervalUs) {
        for (int i = 0; i < changes; i++) {
            applyTrackedChange(random.nextInt(size), i, Integer.toString(10 + i));
            run(intervalUs);
        }
    }

    /** Quantile of the time from a tracked change to its last node, in seconds; infinite if it has not reached all. */
    double propagationSeconds(double quantile) {
        double[] all = propagations.stream()
                .mapToDouble(p -> p.missing > 0 ? Double.POSITIVE_INFINITY : (p.completedAt - p.changedAt) / 1e6)
                .sorted()
                .toArray();
        return all[(int) Math.min(all.length - 1, Math.ceil(quantile * all.length) - 1)];
    }

    long totalBytes() {
        long all = 0;
        for (long b : bytes) {
            all += b;
        }
        return all;
    }

    /** Mean bytes that a node sends per second while {@code action} runs. */
    double bytesPerSecond(Runnable action) {
        long before = totalBytes();
        long from = now;
        action.run();
        return (totalBytes() - before) / (double) size / ((now - from) / 1e6);
    }
}
