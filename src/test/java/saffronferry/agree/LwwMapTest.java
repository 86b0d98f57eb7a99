package saffronferry.agree;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;

/** Properties that let all dispatchers converge, whichever changes they receive and in whichever order. */
class LwwMapTest {
    private static final long NOW = 100;
    private static final String SEED = "38";

    /** Few keys, timestamps and origins, so that conflicting changes and ties are common. */
    @Provide
    Arbitrary<SettingChange> changes() {
        return Combinators.combine(
                        Arbitraries.of("a", "b", "c"),
                        Arbitraries.of("0", "7", "50.5").injectNull(0.3),
                        Arbitraries.longs().between(1, 6),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(0, 1))
                .as((name, value, timestampUs, origin, incarnation) -> new SettingChange(
                        new SettingKey(DynamicSetting.ALLOWANCE, name), value, timestampUs, origin, incarnation));
    }

    private static LwwMap map(Iterable<SettingChange> changes) {
        LwwMap map = new LwwMap();
        changes.forEach(c -> map.merge(c, NOW));
        return map;
    }

    private static LwwMap join(LwwMap a, LwwMap b) {
        LwwMap joined = map(a.changes());
        b.changes().forEach(c -> joined.merge(c, NOW));
        return joined;
    }

    private static Set<SettingChange> held(LwwMap map) {
        Set<SettingChange> all = new HashSet<>();
        map.changes().forEach(all::add);
        return all;
    }

    private static void assertSameState(LwwMap a, LwwMap b) {
        assertEquals(held(a), held(b));
        assertEquals(a.digest(), b.digest());
        assertEquals(a.tombstoneCount(), b.tombstoneCount());
    }

    @Property(seed = SEED, tries = 500)
    void mergingIsCommutative(
            @ForAll @Size(max = 12) List<@net.jqwik.api.From("changes") SettingChange> a,
            @ForAll @Size(max = 12) List<@net.jqwik.api.From("changes") SettingChange> b) {
        assertSameState(join(map(a), map(b)), join(map(b), map(a)));
    }

    @Property(seed = SEED, tries = 500)
    void mergingIsAssociative(
            @ForAll @Size(max = 8) List<@net.jqwik.api.From("changes") SettingChange> a,
            @ForAll @Size(max = 8) List<@net.jqwik.api.From("changes") SettingChange> b,
            @ForAll @Size(max = 8) List<@net.jqwik.api.From("changes") SettingChange> c) {
        assertSameState(join(join(map(a), map(b)), map(c)), join(map(a), join(map(b), map(c))));
    }

    @Property(seed = SEED, tries = 500)
    void mergingIsIdempotent(@ForAll @Size(max = 12) List<@net.jqwik.api.From("changes") SettingChange> a) {
        assertSameState(map(a), join(map(a), map(a)));
        List<SettingChange> twice = new ArrayList<>(a);
        twice.addAll(a);
        assertSameState(map(a), map(twice));
    }

    @Property(seed = SEED, tries = 500)
    void theHighestTimestampThenTheHighestOriginWinsInAnyOrder(
            @ForAll @Size(min = 1, max = 12) List<@net.jqwik.api.From("changes") SettingChange> all,
            @ForAll long order) {
        List<SettingChange> shuffled = new ArrayList<>(all);
        Collections.shuffle(shuffled, new Random(order));
        LwwMap map = map(shuffled);
        assertSameState(map(all), map);
        for (SettingChange c : all) {
            SettingChange winner = map.get(c.key());
            assertEquals(
                    all.stream()
                            .filter(other -> other.key().equals(c.key()))
                            .mapToLong(SettingChange::timestampUs)
                            .max()
                            .getAsLong(),
                    winner.timestampUs());
            assertEquals(
                    all.stream()
                            .filter(other -> other.key().equals(c.key()) && other.timestampUs() == winner.timestampUs())
                            .mapToInt(SettingChange::origin)
                            .max()
                            .getAsInt(),
                    winner.origin());
        }
    }

    @Property(seed = SEED, tries = 500)
    void digestsAreEqualExactlyIfTheHeldChangesAre(
            @ForAll @Size(max = 6) List<@net.jqwik.api.From("changes") SettingChange> a,
            @ForAll @Size(max = 6) List<@net.jqwik.api.From("changes") SettingChange> b) {
        assertEquals(held(map(a)).equals(held(map(b))), map(a).digest() == map(b).digest());
    }

    @Property(seed = SEED, tries = 300)
    void datagramsAreReadAsWritten(
            @ForAll @Size(min = 1, max = 8) List<@net.jqwik.api.From("changes") SettingChange> all) {
        GossipDatagram datagram = GossipDatagram.of(GossipDatagram.Kind.CHANGES, 3, NOW);
        List<SettingChange> fitted = all.stream().filter(datagram::addChange).toList();
        DatagramAuthenticator authenticator = new DatagramAuthenticator(SimulatedFleet.SECRET);
        byte[] bytes = datagram.toBytes(authenticator);
        assertEquals(datagram.size(), bytes.length);
        assertNull(saffronferry.PeerMessageProbe.read(bytes), "a dispatcher that knows only request messages drops it");
        GossipDatagram read = GossipDatagram.read(bytes);
        assertEquals(true, read.isAuthentic(authenticator));
        List<SettingChange> readChanges = new ArrayList<>();
        while (read.hasRemaining(1)) {
            readChanges.add(read.takeChange());
        }
        assertEquals(fitted, readChanges);
    }

    private static SettingChange change(int i, String value, long timestampUs) {
        return new SettingChange(SimulatedFleet.key(i), value, timestampUs, 0, 0);
    }

    /** Excess and expired tombstones are dropped, but an outdated copy cannot bring back what they had removed. */
    @Example
    void tombstonesAreBoundedAndOutdatedCopiesStayRejected() {
        LwwMap map = new LwwMap();
        long now = 2 * LwwMap.TOMBSTONE_TTL_US;
        for (int i = 0; i < LwwMap.MAX_TOMBSTONES + 100; i++) {
            map.merge(change(i, "5", now + i), now + i);
            map.merge(change(i, null, now + i + 1), now + i);
        }
        assertEquals(LwwMap.MAX_TOMBSTONES, map.tombstoneCount());
        assertEquals(LwwMap.MergeResult.REJECTED, map.merge(change(3, "5", now + 3), now));
        assertEquals(LwwMap.MergeResult.STALE, map.merge(change(2000, "5", now + 2000), now));
        long later = now + LwwMap.TOMBSTONE_TTL_US + LwwMap.MAX_TOMBSTONES + 200;
        map.expireTombstones(later);
        assertEquals(0, map.tombstoneCount());
        assertEquals(0, map.digest());
        assertEquals(LwwMap.MergeResult.REJECTED, map.merge(change(2000, "5", now + 2000), later));
        assertEquals(LwwMap.MergeResult.APPLIED, map.merge(change(2000, "6", later), later));
    }

    @Example
    void invalidChangesAndThoseAheadOfTheClockAreRejected() {
        LwwMap map = new LwwMap();
        for (String invalid : List.of("-1", "NaN", "1e999", "Infinity", "", "1E999", "5;", "9".repeat(25))) {
            assertEquals(LwwMap.MergeResult.REJECTED, map.merge(change(1, invalid, NOW), NOW), invalid);
        }
        assertEquals(LwwMap.MergeResult.REJECTED, map.merge(change(1, "5", NOW + LwwMap.MAX_CLOCK_LEAD_US + 1), NOW));
        assertEquals(
                LwwMap.MergeResult.REJECTED,
                map.merge(new SettingChange(new SettingKey(DynamicSetting.ALLOWANCE, "a b"), "5", NOW, 0, 0), NOW));
        assertEquals(LwwMap.MergeResult.APPLIED, map.merge(change(1, "5", NOW + 100_000), NOW));
        for (int i = 0; i < LwwMap.MAX_KEYS + 5; i++) {
            map.merge(change(i, "5", NOW), NOW);
        }
        assertEquals(LwwMap.MAX_KEYS, map.size());
    }
}
