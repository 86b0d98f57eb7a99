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
 * Spreads changes of settings: new ones are pushed at once to a few others, which pass them on (rumour
 * mongering); what that misses is repaired by digests (anti-entropy). Whatever there is to say, a cap of
 * bytes a second holds. Times in microseconds. For one thread.
 */
public final class Gossip {
    /** How often {@link #tick} is to be called. */
    public static final long TICK_INTERVAL_US = 100_000;
    /** Least cap: below, no whole datagram would fit into what may be said at once. */
    public static final int MIN_BYTES_PER_SECOND = 1024;
    /** A dispatcher that has heard nobody for so long says so. */
    static final long SILENCE = 10_000_000;
    /** A new change is pushed to so many at once, and to one with each tick from then on. */
    private static final int AT_ONCE = 3;

    private static final int MOST_PUSHES = 10;
    /** So much of the cap goes into pushing what has come within {@link #HOT}; the rest is repair's. */
    private static final double PUSHED_SECONDS = 1.5;
    /** Where changes wait, digests leave the bucket filled to this part. */
    private static final double YIELDS = 0.75;

    private static final int TYPICAL_CHANGE = 22; // bytes, where many share a stamp
    private static final int PER_TICK = 6;
    /** More than so many lately learned are a burst: no datagram holds what is recent. */
    private static final int MANY = 32;
    /** Where much is to be had from others: after a start, and while a datagram brings several changes. */
    private static final long BULK_PERIOD = TICK_INTERVAL_US;

    private static final long BULK = 2_000_000;
    private static final int SEVERAL = 2;
    /** While something has changed lately, and else. */
    private static final long HOT_PERIOD = 500_000;

    private static final long QUIET_PERIOD = 2_000_000;
    /** For so long after a difference digests are sent at the shorter period. */
    private static final long HOT = 10_000_000;

    private static final int MOST_RECENT = 1024;
    private static final int RANGES_TOLD = 13;
    private static final int MOST_OWED = 16;
    private static final long STILL_OWED = 3_000_000;
    /** Later than so a datagram is a replay, or was kept for a process that was stopped. */
    private static final long LATEST = 30_000_000;

    /** What is to be done. */
    public interface Callbacks {
        void send(int peer, byte[] bytes);

        /** These hold from now on; none of them is the own dispatcher's. */
        void changesApplied(List<SettingChange> changes);
    }

    /**
     * @param self our number among the peers
     * @param peerCount of the fleet, itself included
     * @param maxBytesPerSecond what it may say of settings in any second
     */
    public record Options(int self, int peerCount, int maxBytesPerSecond, byte[] secret, long seed) {}

    private record Recent(SettingKey key, long at) {}

    /** What a peer is to be told: it asked, and lacks these. */
    private record Owed(int peer, long until, ArrayDeque<SettingKey> keys) {}

    /** A change that is being passed on. */
    private static final class Rumour {
        final SettingChange change;
        int pushed;
        boolean replaced;
        long lastPush;

        Rumour(SettingChange change) {
            this.change = change;
        }
    }

    private final Options options;
    private final Callbacks callbacks;
    private final Seal seal;
    private final SplittableRandom random;
    private final int incarnation;
    private final double depth;
    private final LwwMap map = new LwwMap();
    private final ArrayDeque<Rumour> rumours = new ArrayDeque<>();
    private final Map<SettingKey, Rumour> rumourOf = new HashMap<>();
    private final ArrayDeque<Recent> recent = new ArrayDeque<>();
    private final ArrayDeque<Owed> owed = new ArrayDeque<>();
    private double tokens;
    private long filledAt;
    private long nextDigest;
    private long hotUntil;
    private long bulkUntil;
    private long lastHeard;
    private long differsSince;
    private boolean caughtUp;
    private long bytesOut;
    private long bytesIn;
    private long refused;
    private long dropped;
    private int turn;

    /** {@code now}: of the one clock, which must never run backwards. */
    public Gossip(Options options, Callbacks callbacks, long now) {
        this.options = options;
        this.callbacks = callbacks;
        seal = new Seal(options.secret());
        random = new SplittableRandom(options.seed());
        incarnation = (int) (now / 1_000_000);
        depth = options.maxBytesPerSecond() / 4.0;
        tokens = depth;
        filledAt = now;
        lastHeard = now;
        hotUntil = now + HOT;
        nextDigest = now;
        caughtUp = options.peerCount() < 2;
    }

    // ---- what the own dispatcher says ----

    /** Takes the own dispatcher's changes in, null for a removal; returns what is refused, with why. */
    public List<String> applyLocalChanges(long now, Map<SettingKey, String> changes) {
        List<String> faults = new ArrayList<>();
        long stamp = now;
        for (SettingKey key : changes.keySet()) {
            SettingChange held = map.get(key);
            // guards against a change that loses to the one it replaces, made by a clock ahead of ours
            stamp = Math.max(stamp, held == null ? 0 : held.stamp() + 1);
        }
        for (Map.Entry<SettingKey, String> e : changes.entrySet()) {
            SettingChange c = new SettingChange(e.getKey(), e.getValue(), stamp, options.self(), incarnation);
            String fault = DynamicSetting.validationError(c.key().name(), c.value());
            if (fault == null && map.merge(c, now) == LwwMap.Merged.TAKEN) {
                spread(c, now);
            } else {
                faults.add(c.key() + ": " + (fault == null ? "too many keys are held" : fault));
            }
        }
        push(now, AT_ONCE);
        return faults;
    }

    /** To be called each {@link #TICK_INTERVAL_US}. */
    public void tick(long now) {
        fill(now);
        map.expire(now);
        while (!recent.isEmpty() && recent.peekFirst().at() < now - HOT) {
            recent.pollFirst();
        }
        if (now >= nextDigest && (now >= bulkUntil || tokens > depth / 2)) {
            tell(anyPeer(), ranges(now), now);
            long period = !caughtUp || now < bulkUntil ? BULK_PERIOD : now < hotUntil ? HOT_PERIOD : QUIET_PERIOD;
            nextDigest = now + period - random.nextLong(period / 4);
        }
        for (int i = 0; i < PER_TICK; i++) {
            if ((turn++ & 1) == 0) {
                push(now, 1);
            } else {
                answer(now);
            }
        }
    }

    // ---- what others say ----

    /** Whether a datagram is one of settings, which are for {@link #receive} alone. */
    public static boolean isGossipDatagram(byte[] bytes) {
        return Frame.isGossipDatagram(bytes);
    }

    /** Takes a peer's datagram in. */
    public void receive(long now, int peer, byte[] bytes) {
        bytesIn += bytes.length;
        Frame f = Frame.read(bytes);
        if (peer == options.self()
                || !Frame.isGossipDatagram(bytes)
                || f.isLater()
                || !f.sealed(seal)
                || Math.abs(f.age(now)) > LATEST
                || f.kind() == null) {
            dropped++;
            return;
        }
        lastHeard = now;
        try {
            switch (f.kind()) {
                case CHANGES -> changes(now, f);
                case RANGES -> compareRanges(now, peer, f);
                case LEAVES -> compareLeaves(now, peer, f);
                case HELD -> compareHeld(now, peer, f, true);
                default -> compareHeld(now, peer, f, false);
            }
        } catch (IllegalArgumentException e) {
            dropped++; // guards against a fault in another's program: the seal is right and the form is not
        }
    }

    private void changes(long now, Frame f) {
        List<SettingChange> all = new ArrayList<>();
        while (f.has(1)) {
            all.add(f.next());
        }
        List<SettingChange> taken = new ArrayList<>();
        for (SettingChange c : all) {
            LwwMap.Merged merged = c == null ? LwwMap.Merged.REFUSED : map.merge(c, now);
            if (merged == LwwMap.Merged.TAKEN) {
                taken.add(c);
                if (c.stamp() > now - HOT) {
                    spread(c, now);
                }
            } else if (merged == LwwMap.Merged.REFUSED) {
                refused++;
            }
        }
        bulkUntil = taken.size() >= SEVERAL ? now + BULK : bulkUntil;
        if (!taken.isEmpty()) {
            callbacks.changesApplied(taken);
            push(now, AT_ONCE);
        }
    }

    private void compareRanges(long now, int peer, Frame f) {
        f.take(2);
        f.take(7);
        BitSet differ = new BitSet();
        for (int i = 0; i < LwwMap.RANGES; i++) {
            differ.set(i, f.take(2) != map.rangeDigest(i, f.salt()));
        }
        if (differ.isEmpty()) {
            differsSince = 0;
            caughtUp = true;
            return;
        }
        differsSince = differsSince == 0 ? now : differsSince;
        heat(now);
        tellRecent(now, peer, leaf -> differ.get(leaf / LwwMap.RANGE));
        tell(peer, leaves(some(differ, RANGES_TOLD), now), now);
    }

    /** Says the newest of what was learned lately, which is what a peer that differs mostly lacks. */
    private void tellRecent(long now, int peer, IntPredicate leaves) {
        if (recent.size() > MANY) {
            return; // in a burst there is more that is recent than a datagram holds
        }
        Frame f = Frame.of(Frame.Kind.CHANGES, 0, now);
        Set<SettingKey> seen = new HashSet<>();
        for (Iterator<Recent> i = recent.descendingIterator(); i.hasNext(); ) {
            SettingChange c = map.get(i.next().key());
            if (c != null && leaves.test(c.leaf()) && seen.add(c.key()) && !f.add(c)) {
                break;
            }
        }
        if (!f.isEmpty()) {
            tell(peer, f, now);
        }
    }

    private void compareLeaves(long now, int peer, Frame f) {
        int ranges = (int) f.take(2);
        BitSet differ = new BitSet();
        for (int r = 0; r < LwwMap.RANGES; r++) {
            for (int i = r * LwwMap.RANGE; (ranges >> r & 1) == 1 && i < (r + 1) * LwwMap.RANGE; i++) {
                differ.set(i, f.take(1) != map.leafDigest(i, f.salt()));
            }
        }
        if (differ.isEmpty()) {
            return;
        }
        heat(now);
        tellRecent(now, peer, differ::get);
        tellHeld(now, peer, differ, Frame.Kind.HELD);
    }

    private void tellHeld(long now, int peer, BitSet leaves, Frame.Kind kind) {
        Frame held = Frame.of(kind, random.nextInt(1 << 16), now);
        int[] each = leaves.stream().toArray();
        int from = random.nextInt(each.length); // who asks several peers asks each for other leaves
        for (int i = 0; i < each.length && addHeld(held, each[(from + i) % each.length]); ) {
            i++;
        }
        tell(peer, held, now);
    }

    /** Adds short hashes of what is held of a leaf; false where there is no room. */
    private boolean addHeld(Frame f, int leaf) {
        int n = Math.min(255, map.count(leaf));
        if (f.size() + 2 + 2 * n > Frame.MOST_BYTES) {
            return false;
        }
        f.put(leaf, 1);
        f.put(n, 1);
        for (SettingChange c : map.in(leaf)) {
            if (n-- > 0) {
                f.put(c.shortHash(f.salt()), 2);
            }
        }
        return true;
    }

    /** A peer says what it holds of some leaves: it is told what it lacks, and asked for what we lack. */
    private void compareHeld(long now, int peer, Frame f, boolean ask) {
        ArrayDeque<SettingKey> lacks = new ArrayDeque<>();
        BitSet weLack = new BitSet();
        while (f.has(1)) {
            int leaf = (int) f.take(1);
            Set<Integer> its = new HashSet<>();
            for (int n = (int) f.take(1); n > 0; n--) {
                its.add((int) f.take(2));
            }
            for (SettingChange c : map.in(leaf)) {
                if (!its.remove(c.shortHash(f.salt()))) {
                    lacks.add(c.key());
                }
            }
            weLack.set(leaf, !its.isEmpty());
        }
        if (ask && !weLack.isEmpty()) {
            tellHeld(now, peer, weLack, Frame.Kind.HELD_TOO);
        }
        // guards memory against peers that ask without end: they will ask again
        if (!lacks.isEmpty() && owed.size() < MOST_OWED) {
            owed.addLast(new Owed(peer, now + STILL_OWED, lacks));
            answer(now);
        }
    }

    // ---- saying it ----

    /** Something differs, or has changed: digests go at the shorter period from now on. */
    private void heat(long now) {
        hotUntil = now + HOT;
        nextDigest = Math.min(nextDigest, now + HOT_PERIOD);
    }

    private void spread(SettingChange c, long now) {
        if (options.peerCount() < 2) {
            return; // guards memory: nobody would ever take it off our hands
        }
        Rumour r = new Rumour(c);
        Rumour before = rumourOf.put(c.key(), r);
        if (before != null) {
            before.replaced = true; // nobody needs to hear what has been replaced
        }
        rumours.addFirst(r);
        recent.addLast(new Recent(c.key(), now));
        if (recent.size() > MOST_RECENT) {
            recent.pollFirst();
        }
        heat(now);
    }

    /** How often each change is pushed: in a burst less, since to repair costs less than to push in vain. */
    private int pushes() {
        int many = Math.max(1, Math.max(recent.size(), rumours.size()));
        double room = options.maxBytesPerSecond() * PUSHED_SECONDS / TYPICAL_CHANGE / many;
        return (int) Math.max(1, Math.min(MOST_PUSHES, room));
    }

    /** Pushes what has been pushed least, to so many others. */
    private void push(long now, int times) {
        for (int i = 0; i < times; i++) {
            Frame f = Frame.of(Frame.Kind.CHANGES, 0, now);
            List<Rumour> told = new ArrayList<>();
            boolean room = true;
            int most = pushes();
            while (room && !rumours.isEmpty()) {
                Rumour r = rumours.peekFirst();
                boolean again = r.lastPush == now && times == 1;
                room = !again && (r.pushed >= most || r.replaced || f.add(r.change));
                if (room) {
                    rumours.pollFirst();
                    told.add(r);
                }
            }
            if (f.isEmpty()) {
                return;
            }
            if (!tell(anyPeer(), f, now)) {
                for (int k = told.size() - 1; k >= 0; k--) {
                    rumours.addFirst(told.get(k));
                }
                return;
            }
            for (Rumour r : told) {
                r.pushed++;
                r.lastPush = now;
                if (r.pushed < most && !r.replaced) {
                    rumours.addLast(r);
                } else {
                    rumourOf.remove(r.change.key(), r);
                }
            }
        }
    }

    /** Says what one peer is owed, as much as a datagram holds. */
    private void answer(long now) {
        // guards against telling what the peer has had from others by now
        while (!owed.isEmpty()
                && (owed.peekFirst().until() < now || owed.peekFirst().keys().isEmpty())) {
            owed.pollFirst();
        }
        if (owed.isEmpty()) {
            return;
        }
        Owed o = owed.peekFirst();
        Frame f = Frame.of(Frame.Kind.CHANGES, 0, now);
        int told = 0;
        for (SettingKey key : o.keys()) {
            SettingChange c = map.get(key);
            if (c != null && !f.add(c)) {
                break;
            }
            told++;
        }
        if (f.isEmpty() || tell(o.peer(), f, now)) {
            for (; told > 0; told--) {
                o.keys().pollFirst();
            }
        }
    }

    private Frame ranges(long now) {
        Frame f = Frame.of(Frame.Kind.RANGES, random.nextInt(1 << 16), now);
        f.put(Math.min(0xFFFF, map.size()), 2);
        f.put(map.newest(), 7);
        for (int i = 0; i < LwwMap.RANGES; i++) {
            f.put(map.rangeDigest(i, f.salt()), 2);
        }
        return f;
    }

    private Frame leaves(BitSet ranges, long now) {
        Frame f = Frame.of(Frame.Kind.LEAVES, random.nextInt(1 << 16), now);
        f.put(ranges.stream().map(r -> 1 << r).sum(), 2);
        ranges.stream().forEach(r -> {
            for (int i = r * LwwMap.RANGE; i < (r + 1) * LwwMap.RANGE; i++) {
                f.put(map.leafDigest(i, f.salt()), 1);
            }
        });
        return f;
    }

    /** At most so many of them, drawn evenly: who asks several peers is told different things. */
    private BitSet some(BitSet all, int most) {
        BitSet left = (BitSet) all.clone();
        while (left.cardinality() > most) {
            int[] each = left.stream().toArray();
            left.clear(each[random.nextInt(each.length)]);
        }
        return left;
    }

    private int anyPeer() {
        if (options.peerCount() < 2) {
            return options.self();
        }
        int peer = random.nextInt(options.peerCount() - 1);
        return peer >= options.self() ? peer + 1 : peer;
    }

    private void fill(long now) {
        tokens = Math.min(depth, tokens + (now - filledAt) / 1e6 * (options.maxBytesPerSecond() - depth));
        filledAt = now;
    }

    /** Bytes in any second are at most the cap: a quarter of it at once, and three quarters in its course. */
    private boolean tell(int peer, Frame f, long now) {
        fill(now);
        // guards changes that wait against digests, which are smaller and would always find room first
        boolean yields = f.kind() != Frame.Kind.CHANGES && !(rumours.isEmpty() && owed.isEmpty());
        if (peer == options.self() || tokens < Math.max(f.size(), yields ? YIELDS * depth : 0)) {
            return false;
        }
        tokens -= f.size();
        bytesOut += f.size();
        callbacks.send(peer, f.bytes(seal));
        return true;
    }

    // ---- for operators ----

    /** All changes held, marks of removals among them. */
    public Iterable<SettingChange> heldChanges() {
        return map.changes();
    }

    public GossipStatus status(long now) {
        GossipStatus.State state = options.peerCount() > 1 && now - lastHeard > SILENCE
                ? GossipStatus.State.ISOLATED
                : caughtUp ? GossipStatus.State.CONNECTED : GossipStatus.State.CATCHING_UP;
        return new GossipStatus(
                state,
                map.size(),
                map.marks(),
                map.digest(),
                map.newest(),
                differsSince == 0 ? 0 : Math.max(1, now - differsSince),
                bytesOut,
                bytesIn,
                refused,
                dropped);
    }
}
