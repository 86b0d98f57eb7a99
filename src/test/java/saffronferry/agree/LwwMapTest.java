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

/** The laws by which all dispatchers come to hold the same, whatever reaches them and in which order. */
class LwwMapTest {
    private static final long NOW = 100;
    private static final String SEED = "38";

    /** Few keys, stamps and origins, so that most changes meet others of their key, and ties are common. */
    @Provide
    Arbitrary<SettingChange> changes() {
        return Combinators.combine(
                        Arbitraries.of("a", "b", "c"),
                        Arbitraries.of("0", "7", "50.5").injectNull(0.3),
                        Arbitraries.longs().between(1, 6),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(0, 1))
                .as((name, value, stamp, origin, life) ->
                        new SettingChange(new SettingKey(DynamicSetting.ALLOWANCE, name), value, stamp, origin, life));
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

    private static void same(LwwMap a, LwwMap b) {
        assertEquals(held(a), held(b));
        assertEquals(a.digest(), b.digest());
        assertEquals(a.marks(), b.marks());
    }

    @Property(seed = SEED, tries = 500)
    void mergingIsCommutative(
            @ForAll @Size(max = 12) List<@net.jqwik.api.From("changes") SettingChange> a,
            @ForAll @Size(max = 12) List<@net.jqwik.api.From("changes") SettingChange> b) {
        same(join(map(a), map(b)), join(map(b), map(a)));
    }

    @Property(seed = SEED, tries = 500)
    void mergingIsAssociative(
            @ForAll @Size(max = 8) List<@net.jqwik.api.From("changes") SettingChange> a,
            @ForAll @Size(max = 8) List<@net.jqwik.api.From("changes") SettingChange> b,
            @ForAll @Size(max = 8) List<@net.jqwik.api.From("changes") SettingChange> c) {
        same(join(join(map(a), map(b)), map(c)), join(map(a), join(map(b), map(c))));
    }

    @Property(seed = SEED, tries = 500)
    void mergingIsIdempotent(@ForAll @Size(max = 12) List<@net.jqwik.api.From("changes") SettingChange> a) {
        same(map(a), join(map(a), map(a)));
        List<SettingChange> twice = new ArrayList<>(a);
        twice.addAll(a);
        same(map(a), map(twice));
    }

    @Property(seed = SEED, tries = 500)
    void anyOrderLeavesTheHighestStampAndThenTheHighestOrigin(
            @ForAll @Size(min = 1, max = 12) List<@net.jqwik.api.From("changes") SettingChange> all, @ForAll long order) {
        List<SettingChange> shuffled = new ArrayList<>(all);
        Collections.shuffle(shuffled, new Random(order));
        LwwMap map = map(shuffled);
        same(map(all), map);
        for (SettingChange c : all) {
            SettingChange holds = map.get(c.key());
            assertEquals(
                    all.stream()
                            .filter(o -> o.key().equals(c.key()))
                            .mapToLong(SettingChange::stamp)
                            .max()
                            .getAsLong(),
                    holds.stamp());
            assertEquals(
                    all.stream()
                            .filter(o -> o.key().equals(c.key()) && o.stamp() == holds.stamp())
                            .mapToInt(SettingChange::origin)
                            .max()
                            .getAsInt(),
                    holds.origin());
        }
    }

    @Property(seed = SEED, tries = 500)
    void equalDigestsMeanThatTheSameIsHeld(
            @ForAll @Size(max = 6) List<@net.jqwik.api.From("changes") SettingChange> a,
            @ForAll @Size(max = 6) List<@net.jqwik.api.From("changes") SettingChange> b) {
        assertEquals(held(map(a)).equals(held(map(b))), map(a).digest() == map(b).digest());
    }

    @Property(seed = SEED, tries = 300)
    void whatIsWrittenIsRead(@ForAll @Size(min = 1, max = 8) List<@net.jqwik.api.From("changes") SettingChange> all) {
        Frame f = Frame.of(Frame.Kind.CHANGES, 3, NOW);
        List<SettingChange> fitted = all.stream().filter(f::add).toList();
        Seal seal = new Seal(HollowFleet.SECRET);
        byte[] bytes = f.bytes(seal);
        assertEquals(f.size(), bytes.length);
        assertNull(saffronferry.MessageProbe.read(bytes), "what knows only jobs drops it");
        Frame read = Frame.read(bytes);
        assertEquals(true, read.sealed(seal));
        List<SettingChange> got = new ArrayList<>();
        while (read.has(1)) {
            got.add(read.next());
        }
        assertEquals(fitted, got);
    }

    private static SettingChange change(int i, String value, long stamp) {
        return new SettingChange(HollowFleet.key(i), value, stamp, 0, 0);
    }

    /** Neither too many marks nor old ones are kept, and what they removed does not come back by an old copy. */
    @Example
    void marksAreBoundedAndAnOldCopyBringsNothingBack() {
        LwwMap map = new LwwMap();
        long now = 2 * LwwMap.MARK_AGE;
        for (int i = 0; i < LwwMap.MOST_MARKS + 100; i++) {
            map.merge(change(i, "5", now + i), now + i);
            map.merge(change(i, null, now + i + 1), now + i);
        }
        assertEquals(LwwMap.MOST_MARKS, map.marks());
        assertEquals(LwwMap.Merged.REFUSED, map.merge(change(3, "5", now + 3), now));
        assertEquals(LwwMap.Merged.OLDER, map.merge(change(2000, "5", now + 2000), now));
        long later = now + LwwMap.MARK_AGE + LwwMap.MOST_MARKS + 200;
        map.expire(later);
        assertEquals(0, map.marks());
        assertEquals(0, map.digest());
        assertEquals(LwwMap.Merged.REFUSED, map.merge(change(2000, "5", now + 2000), later));
        assertEquals(LwwMap.Merged.TAKEN, map.merge(change(2000, "6", later), later));
    }

    @Example
    void whatIsFaultyOrFarAheadOfTheClockIsRefused() {
        LwwMap map = new LwwMap();
        for (String bad : List.of("-1", "NaN", "1e999", "Infinity", "", "1E999", "5;", "9".repeat(25))) {
            assertEquals(LwwMap.Merged.REFUSED, map.merge(change(1, bad, NOW), NOW), bad);
        }
        assertEquals(LwwMap.Merged.REFUSED, map.merge(change(1, "5", NOW + LwwMap.MOST_AHEAD + 1), NOW));
        assertEquals(
                LwwMap.Merged.REFUSED,
                map.merge(new SettingChange(new SettingKey(DynamicSetting.ALLOWANCE, "a b"), "5", NOW, 0, 0), NOW));
        assertEquals(LwwMap.Merged.TAKEN, map.merge(change(1, "5", NOW + 100_000), NOW));
        for (int i = 0; i < LwwMap.MOST_KEYS + 5; i++) {
            map.merge(change(i, "5", NOW), NOW);
        }
        assertEquals(LwwMap.MOST_KEYS, map.size());
    }
}
