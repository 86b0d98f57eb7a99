package saffronferry.agree;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/**
 * Replicates setting changes between dispatchers. A new change is pushed at once to a few random peers, which push it
 * on (rumor mongering); what the pushes miss is repaired by comparing digests (anti-entropy). A token bucket bounds the
 * bytes sent in any second. Times are in microseconds. Not thread-safe.
 */
public final class Gossip {
    /** Interval at which {@link #tick} has to be called. */
    public static final long TICK_INTERVAL_US = 100_000;

    /** Smallest valid rate limit: with less, the token bucket could not hold a datagram of the maximum size. */
    public static final int MIN_BYTES_PER_SECOND = 1024;

    /** After this time without a datagram from a peer the dispatcher reports itself as isolated. */
    static final long ISOLATION_TIMEOUT_US = 10_000_000;

    /** Peers that a new change is pushed to at once; from then on it is pushed to one more peer per tick. */
    private static final int INITIAL_FANOUT = 3;

    private static final int MAX_PUSHES_PER_CHANGE = 10;

    /**
     * Pushing the changes of the last {@link #ACTIVE_DURATION_US} may use what the rate limit allows in this time; the
     * rest is left to anti-entropy.
     */
    private static final double PUSH_BUDGET_SECONDS = 1.5;

    /** While changes wait to be sent, digests leave the token bucket filled to at least this fraction. */
    private static final double DIGEST_MIN_BUCKET_FILL = 0.75;

    /** Encoded size of a change where many share a group header. */
    private static final int TYPICAL_CHANGE_BYTES = 22;

    private static final int SENDS_PER_TICK = 6;

    /** With more recent changes than this there is a burst, and a datagram cannot hold the recent changes. */
    private static final int BURST_THRESHOLD_CHANGES = 32;

    /** Digest interval after a start, and while datagrams bring several new changes each. */
    private static final long CATCH_UP_DIGEST_INTERVAL_US = TICK_INTERVAL_US;

    private static final long CATCH_UP_DURATION_US = 2_000_000;
    private static final int CATCH_UP_MIN_CHANGES = 2;

    /** Digest interval after a recent change or difference. */
    private static final long ACTIVE_DIGEST_INTERVAL_US = 500_000;

    private static final long IDLE_DIGEST_INTERVAL_US = 2_000_000;

    /** How long digests are sent at the active interval after a change or a difference. */
    private static final long ACTIVE_DURATION_US = 10_000_000;

    private static final int MAX_RECENT_CHANGES = 1024;
    private static final int MAX_RANGES_PER_DATAGRAM = 13;
    private static final int MAX_PENDING_REPLIES = 16;
    private static final long PENDING_REPLY_TTL_US = 3_000_000;

    /** An older datagram is a replay, or was queued for a process that was stopped. */
    private static final long MAX_DATAGRAM_AGE_US = 30_000_000;

    /** Receives what the protocol wants done. */
    public interface Callbacks {
        /** Sends a datagram to a peer. */
        void send(int peer, byte[] bytes);

        /** Called with changes from other dispatchers that are in force from now on. */
        void changesApplied(List<SettingChange> changes);
    }

    /**
     * Configuration of one dispatcher's gossip.
     *
     * @param self index of this dispatcher among the peers
     * @param peerCount number of dispatchers in the fleet, this one included
     * @param maxBytesPerSecond limit of the bytes sent in any second
     * @param secret secret of the fleet, with which datagrams are authenticated
     * @param seed seed of the random draws
     */
    public record Options(int self, int peerCount, int maxBytesPerSecond, byte[] secret, long seed) {}

    private record RecentChange(SettingKey key, long learnedAt) {}

    /** Changes to send to a peer that has shown that it lacks them. */
    private record PendingReply(int peer, long expiresAt, ArrayDeque<SettingKey> keys) {}

    /** A change that is being pushed to peers (a rumor). */
    private static final class Rumor {
        final SettingChange change;
        int pushes;
        boolean superseded;
        long lastPushedAt;

        Rumor(SettingChange change) {
            this.change = change;
        }
    }

    private final Options options;
    private final Callbacks callbacks;
    private final DatagramAuthenticator authenticator;
    private final SplittableRandom random;
    private final int incarnation;
    private final double bucketCapacityBytes;
    private final LwwMap map = new LwwMap();

    /** Rumors in the order of their next push, new ones first. */
    private final ArrayDeque<Rumor> rumors = new ArrayDeque<>();

    private final Map<SettingKey, Rumor> rumorByKey = new HashMap<>();

    /** Changes learned within the last {@link #ACTIVE_DURATION_US}, oldest first. */
    private final ArrayDeque<RecentChange> recentChanges = new ArrayDeque<>();

    private final ArrayDeque<PendingReply> pendingReplies = new ArrayDeque<>();
    private double tokensBytes;
    private long tokensRefilledAt;
    private long nextDigestAt;
    private long activeUntil;
    private long catchUpUntil;
    private long lastReceivedAt;
    private long divergedSince;
    private boolean caughtUp;
    private long bytesSent;
    private long bytesReceived;
    private long rejectedChanges;
    private long droppedDatagrams;
    private int sendTurn;

    /**
     * Creates an instance that holds no changes.
     *
     * @param now the current time, like every {@code now} of the shared clock, which must never run backwards
     */
    public Gossip(Options options, Callbacks callbacks, long now) {
        this.options = options;
        this.callbacks = callbacks;
        authenticator = new DatagramAuthenticator(options.secret());
        random = new SplittableRandom(options.seed());
        incarnation = (int) (now / 1_000_000);
        bucketCapacityBytes = options.maxBytesPerSecond() / 4.0;
        tokensBytes = bucketCapacityBytes;
        tokensRefilledAt = now;
        lastReceivedAt = now;
        activeUntil = now + ACTIVE_DURATION_US;
        nextDigestAt = now;
        caughtUp = options.peerCount() < 2;
    }

    // ---- local changes ----

    /**
     * Applies changes made at this dispatcher, and pushes them to peers.
     *
     * @param changes the new values; null removes a key
     * @return a message for each change that was rejected
     */
    public List<String> applyLocalChanges(long now, Map<SettingKey, String> changes) {
        List<String> errors = new ArrayList<>();
        long timestampUs = now;
        for (SettingKey key : changes.keySet()) {
            SettingChange held = map.get(key);
            // If another clock is ahead, the new change must still win over the one that it replaces.
            timestampUs = Math.max(timestampUs, held == null ? 0 : held.timestampUs() + 1);
        }
        for (Map.Entry<SettingKey, String> entry : changes.entrySet()) {
            SettingChange change =
                    new SettingChange(entry.getKey(), entry.getValue(), timestampUs, options.self(), incarnation);
            String error = DynamicSetting.validationError(change.key().name(), change.value());
            if (error == null && map.merge(change, now) == LwwMap.MergeResult.APPLIED) {
                addRumor(change, now);
            } else {
                errors.add(change.key() + ": " + (error == null ? "too many keys are held" : error));
            }
        }
        pushRumors(now, INITIAL_FANOUT);
        return errors;
    }

    /** Sends digests, pushes and replies that are due. To be called every {@link #TICK_INTERVAL_US}. */
    public void tick(long now) {
        refillTokens(now);
        map.expireTombstones(now);
        while (!recentChanges.isEmpty() && recentChanges.peekFirst().learnedAt() < now - ACTIVE_DURATION_US) {
            recentChanges.pollFirst();
        }
        if (now >= nextDigestAt && (now >= catchUpUntil || tokensBytes > bucketCapacityBytes / 2)) {
            send(randomPeer(), rangeDigests(now), now);
            long interval = !caughtUp || now < catchUpUntil
                    ? CATCH_UP_DIGEST_INTERVAL_US
                    : now < activeUntil ? ACTIVE_DIGEST_INTERVAL_US : IDLE_DIGEST_INTERVAL_US;
            nextDigestAt = now + interval - random.nextLong(interval / 4);
        }
        for (int i = 0; i < SENDS_PER_TICK; i++) {
            if ((sendTurn++ & 1) == 0) {
                pushRumors(now, 1);
            } else {
                sendPendingReply(now);
            }
        }
    }

    // ---- received datagrams ----

    /** Whether a peer datagram is a gossip datagram, which only {@link #receive} understands. */
    public static boolean isGossipDatagram(byte[] bytes) {
        return GossipDatagram.isGossipDatagram(bytes);
    }

    /** Processes a datagram from a peer. */
    public void receive(long now, int peer, byte[] bytes) {
        bytesReceived += bytes.length;
        GossipDatagram datagram = GossipDatagram.read(bytes);
        if (peer == options.self()
                || !GossipDatagram.isGossipDatagram(bytes)
                || datagram.hasNewerVersion()
                || !datagram.isAuthentic(authenticator)
                || Math.abs(datagram.ageUs(now)) > MAX_DATAGRAM_AGE_US
                || datagram.kind() == null) {
            droppedDatagrams++;
            return;
        }
        lastReceivedAt = now;
        try {
            switch (datagram.kind()) {
                case CHANGES -> mergeChanges(now, datagram);
                case RANGES -> compareRanges(now, peer, datagram);
                case LEAVES -> compareLeaves(now, peer, datagram);
                case HELD -> compareHashes(now, peer, datagram, true);
                default -> compareHashes(now, peer, datagram, false);
            }
        } catch (IllegalArgumentException e) {
            // Authentic but malformed: a peer with a faulty program must not stop this one.
            droppedDatagrams++;
        }
    }

    private void mergeChanges(long now, GossipDatagram datagram) {
        List<SettingChange> received = new ArrayList<>();
        while (datagram.hasRemaining(1)) {
            received.add(datagram.takeChange());
        }
        List<SettingChange> applied = new ArrayList<>();
        for (SettingChange change : received) {
            LwwMap.MergeResult result = change == null ? LwwMap.MergeResult.REJECTED : map.merge(change, now);
            if (result == LwwMap.MergeResult.APPLIED) {
                applied.add(change);
                if (change.timestampUs() > now - ACTIVE_DURATION_US) {
                    addRumor(change, now);
                }
            } else if (result == LwwMap.MergeResult.REJECTED) {
                rejectedChanges++;
            }
        }
        catchUpUntil = applied.size() >= CATCH_UP_MIN_CHANGES ? now + CATCH_UP_DURATION_US : catchUpUntil;
        if (!applied.isEmpty()) {
            callbacks.changesApplied(applied);
            pushRumors(now, INITIAL_FANOUT);
        }
    }

    private void compareRanges(long now, int peer, GossipDatagram datagram) {
        datagram.takeInteger(2); // number of changes
        datagram.takeInteger(7); // newest timestamp
        BitSet differing = new BitSet();
        for (int i = 0; i < LwwMap.RANGES; i++) {
            differing.set(i, datagram.takeInteger(2) != map.rangeDigest(i, datagram.salt()));
        }
        if (differing.isEmpty()) {
            divergedSince = 0;
            caughtUp = true;
            return;
        }
        divergedSince = divergedSince == 0 ? now : divergedSince;
        markActive(now);
        sendRecentChanges(now, peer, leaf -> differing.get(leaf / LwwMap.LEAVES_PER_RANGE));
        send(peer, leafDigests(randomSubset(differing, MAX_RANGES_PER_DATAGRAM), now), now);
    }

    /** Sends the most recently learned changes in the given leaves: most often these are what the peer lacks. */
    private void sendRecentChanges(long now, int peer, IntPredicate leaves) {
        if (recentChanges.size() > BURST_THRESHOLD_CHANGES) {
            return;
        }
        GossipDatagram datagram = GossipDatagram.of(GossipDatagram.Kind.CHANGES, 0, now);
        Set<SettingKey> seen = new HashSet<>();
        for (Iterator<RecentChange> i = recentChanges.descendingIterator(); i.hasNext(); ) {
            SettingChange change = map.get(i.next().key());
            if (change != null && leaves.test(change.leaf()) && seen.add(change.key()) && !datagram.addChange(change)) {
                break;
            }
        }
        if (!datagram.isEmpty()) {
            send(peer, datagram, now);
        }
    }

    private void compareLeaves(long now, int peer, GossipDatagram datagram) {
        int ranges = (int) datagram.takeInteger(2);
        BitSet differing = new BitSet();
        for (int r = 0; r < LwwMap.RANGES; r++) {
            for (int i = r * LwwMap.LEAVES_PER_RANGE;
                    (ranges >> r & 1) == 1 && i < (r + 1) * LwwMap.LEAVES_PER_RANGE;
                    i++) {
                differing.set(i, datagram.takeInteger(1) != map.leafDigest(i, datagram.salt()));
            }
        }
        if (differing.isEmpty()) {
            return;
        }
        markActive(now);
        sendRecentChanges(now, peer, differing::get);
        sendHashes(now, peer, differing, GossipDatagram.Kind.HELD);
    }

    private void sendHashes(long now, int peer, BitSet leaves, GossipDatagram.Kind kind) {
        GossipDatagram datagram = GossipDatagram.of(kind, random.nextInt(1 << 16), now);
        int[] leafIndexes = leaves.stream().toArray();
        // With a random start, a dispatcher that asks several peers asks each of them about other leaves.
        int start = random.nextInt(leafIndexes.length);
        for (int i = 0;
                i < leafIndexes.length && addHashes(datagram, leafIndexes[(start + i) % leafIndexes.length]); ) {
            i++;
        }
        send(peer, datagram, now);
    }

    /** Appends the short hashes of the changes in a leaf; returns false if there is no room left for them. */
    private boolean addHashes(GossipDatagram datagram, int leaf) {
        int remaining = Math.min(255, map.countInLeaf(leaf));
        if (datagram.size() + 2 + 2 * remaining > GossipDatagram.MAX_BYTES) {
            return false;
        }
        datagram.putInteger(leaf, 1);
        datagram.putInteger(remaining, 1);
        for (SettingChange change : map.changesInLeaf(leaf)) {
            if (remaining-- > 0) {
                datagram.putInteger(change.shortHash(datagram.salt()), 2);
            }
        }
        return true;
    }

    /**
     * Compares the hashes of what a peer holds in some leaves: the peer is sent what it lacks, and, if {@code reply} is
     * set, the hashes of those leaves in which this dispatcher lacks something.
     */
    private void compareHashes(long now, int peer, GossipDatagram datagram, boolean reply) {
        ArrayDeque<SettingKey> missingAtPeer = new ArrayDeque<>();
        BitSet leavesWithMissing = new BitSet();
        while (datagram.hasRemaining(1)) {
            int leaf = (int) datagram.takeInteger(1);
            Set<Integer> peerHashes = new HashSet<>();
            for (int n = (int) datagram.takeInteger(1); n > 0; n--) {
                peerHashes.add((int) datagram.takeInteger(2));
            }
            for (SettingChange change : map.changesInLeaf(leaf)) {
                if (!peerHashes.remove(change.shortHash(datagram.salt()))) {
                    missingAtPeer.add(change.key());
                }
            }
            leavesWithMissing.set(leaf, !peerHashes.isEmpty());
        }
        if (reply && !leavesWithMissing.isEmpty()) {
            sendHashes(now, peer, leavesWithMissing, GossipDatagram.Kind.HELD_TOO);
        }
        // The limit bounds the memory when peers ask faster than replies can be sent; such peers will ask again.
        if (!missingAtPeer.isEmpty() && pendingReplies.size() < MAX_PENDING_REPLIES) {
            pendingReplies.addLast(new PendingReply(peer, now + PENDING_REPLY_TTL_US, missingAtPeer));
            sendPendingReply(now);
        }
    }

    // ---- sending ----

    /** After a change or a difference, sends digests at the shorter interval for some time. */
    private void markActive(long now) {
        activeUntil = now + ACTIVE_DURATION_US;
        nextDigestAt = Math.min(nextDigestAt, now + ACTIVE_DIGEST_INTERVAL_US);
    }

    private void addRumor(SettingChange change, long now) {
        if (options.peerCount() < 2) {
            return; // without peers the queue would only grow
        }
        Rumor rumor = new Rumor(change);
        Rumor previous = rumorByKey.put(change.key(), rumor);
        if (previous != null) {
            previous.superseded = true;
        }
        rumors.addFirst(rumor);
        recentChanges.addLast(new RecentChange(change.key(), now));
        if (recentChanges.size() > MAX_RECENT_CHANGES) {
            recentChanges.pollFirst();
        }
        markActive(now);
    }

    /**
     * How often each change is pushed. Less often in a burst: repairing by digests costs less than pushing changes that
     * most peers have already.
     */
    private int pushesPerChange() {
        int changes = Math.max(1, Math.max(recentChanges.size(), rumors.size()));
        double affordable = options.maxBytesPerSecond() * PUSH_BUDGET_SECONDS / TYPICAL_CHANGE_BYTES / changes;
        return (int) Math.max(1, Math.min(MAX_PUSHES_PER_CHANGE, affordable));
    }

    /** Sends the given number of datagrams to random peers, with the rumors from the head of the queue. */
    private void pushRumors(long now, int datagrams) {
        for (int i = 0; i < datagrams; i++) {
            GossipDatagram datagram = GossipDatagram.of(GossipDatagram.Kind.CHANGES, 0, now);
            List<Rumor> taken = new ArrayList<>();
            boolean hasRoom = true;
            int maxPushes = pushesPerChange();
            while (hasRoom && !rumors.isEmpty()) {
                Rumor rumor = rumors.peekFirst();
                boolean pushedInThisTick = rumor.lastPushedAt == now && datagrams == 1;
                hasRoom = !pushedInThisTick
                        && (rumor.pushes >= maxPushes || rumor.superseded || datagram.addChange(rumor.change));
                if (hasRoom) {
                    rumors.pollFirst();
                    taken.add(rumor);
                }
            }
            if (datagram.isEmpty()) {
                return;
            }
            if (!send(randomPeer(), datagram, now)) {
                for (int k = taken.size() - 1; k >= 0; k--) {
                    rumors.addFirst(taken.get(k));
                }
                return;
            }
            for (Rumor rumor : taken) {
                rumor.pushes++;
                rumor.lastPushedAt = now;
                if (rumor.pushes < maxPushes && !rumor.superseded) {
                    rumors.addLast(rumor);
                } else {
                    rumorByKey.remove(rumor.change.key(), rumor);
                }
            }
        }
    }

    /** Sends one datagram of the oldest pending reply. */
    private void sendPendingReply(long now) {
        // By the time a reply expires, the peer has probably received the changes from others.
        while (!pendingReplies.isEmpty()
                && (pendingReplies.peekFirst().expiresAt() < now
                        || pendingReplies.peekFirst().keys().isEmpty())) {
            pendingReplies.pollFirst();
        }
        if (pendingReplies.isEmpty()) {
            return;
        }
        PendingReply reply = pendingReplies.peekFirst();
        GossipDatagram datagram = GossipDatagram.of(GossipDatagram.Kind.CHANGES, 0, now);
        int processed = 0;
        for (SettingKey key : reply.keys()) {
            SettingChange change = map.get(key);
            if (change != null && !datagram.addChange(change)) {
                break;
            }
            processed++;
        }
        if (datagram.isEmpty() || send(reply.peer(), datagram, now)) {
            for (; processed > 0; processed--) {
                reply.keys().pollFirst();
            }
        }
    }

    private GossipDatagram rangeDigests(long now) {
        GossipDatagram datagram = GossipDatagram.of(GossipDatagram.Kind.RANGES, random.nextInt(1 << 16), now);
        datagram.putInteger(Math.min(0xFFFF, map.size()), 2);
        datagram.putInteger(map.newestTimestampUs(), 7);
        for (int i = 0; i < LwwMap.RANGES; i++) {
            datagram.putInteger(map.rangeDigest(i, datagram.salt()), 2);
        }
        return datagram;
    }

    private GossipDatagram leafDigests(BitSet ranges, long now) {
        GossipDatagram datagram = GossipDatagram.of(GossipDatagram.Kind.LEAVES, random.nextInt(1 << 16), now);
        datagram.putInteger(ranges.stream().map(r -> 1 << r).sum(), 2);
        ranges.stream().forEach(r -> {
            for (int i = r * LwwMap.LEAVES_PER_RANGE; i < (r + 1) * LwwMap.LEAVES_PER_RANGE; i++) {
                datagram.putInteger(map.leafDigest(i, datagram.salt()), 1);
            }
        });
        return datagram;
    }

    /** A uniformly drawn subset of at most the given size, so that different peers are asked about different ranges. */
    private BitSet randomSubset(BitSet all, int maxSize) {
        BitSet subset = (BitSet) all.clone();
        while (subset.cardinality() > maxSize) {
            int[] members = subset.stream().toArray();
            subset.clear(members[random.nextInt(members.length)]);
        }
        return subset;
    }

    /** A random other dispatcher; without peers, this one, to which nothing is sent. */
    private int randomPeer() {
        if (options.peerCount() < 2) {
            return options.self();
        }
        int peer = random.nextInt(options.peerCount() - 1);
        return peer >= options.self() ? peer + 1 : peer;
    }

    private void refillTokens(long now) {
        tokensBytes = Math.min(
                bucketCapacityBytes,
                tokensBytes + (now - tokensRefilledAt) / 1e6 * (options.maxBytesPerSecond() - bucketCapacityBytes));
        tokensRefilledAt = now;
    }

    /**
     * Sends a datagram if the rate limit allows it. The token bucket holds a quarter of the limit and refills at three
     * quarters of it per second, so that the bytes in any second never exceed the limit.
     *
     * @return whether the datagram was sent
     */
    private boolean send(int peer, GossipDatagram datagram, long now) {
        refillTokens(now);
        // Digests are smaller than changes and would otherwise always take the tokens first.
        boolean yieldsToChanges =
                datagram.kind() != GossipDatagram.Kind.CHANGES && !(rumors.isEmpty() && pendingReplies.isEmpty());
        if (peer == options.self()
                || tokensBytes
                        < Math.max(
                                datagram.size(), yieldsToChanges ? DIGEST_MIN_BUCKET_FILL * bucketCapacityBytes : 0)) {
            return false;
        }
        tokensBytes -= datagram.size();
        bytesSent += datagram.size();
        callbacks.send(peer, datagram.toBytes(authenticator));
        return true;
    }

    // ---- monitoring ----

    /** All changes held, tombstones included. */
    public Iterable<SettingChange> heldChanges() {
        return map.changes();
    }

    /** Returns the state of replication for monitoring. */
    public GossipStatus status(long now) {
        GossipStatus.State state = options.peerCount() > 1 && now - lastReceivedAt > ISOLATION_TIMEOUT_US
                ? GossipStatus.State.ISOLATED
                : caughtUp ? GossipStatus.State.CONNECTED : GossipStatus.State.CATCHING_UP;
        return new GossipStatus(
                state,
                map.size(),
                map.tombstoneCount(),
                map.digest(),
                map.newestTimestampUs(),
                divergedSince == 0 ? 0 : Math.max(1, now - divergedSince),
                bytesSent,
                bytesReceived,
                rejectedChanges,
                droppedDatagrams);
    }
}
