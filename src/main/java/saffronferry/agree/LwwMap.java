package saffronferry.agree;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The changes held, the last writer's of each key, with digests over ranges of keys. Merging is commutative,
 * associative and idempotent as long as no mark of a removal is dropped.
 */
public final class LwwMap {
    static final int LEAVES = 256;
    static final int RANGES = 16;
    static final int RANGE = LEAVES / RANGES;
    /** Some 200 bytes each: all of them below a megabyte. */
    static final int MOST_KEYS = 4096;

    static final int MOST_MARKS = 2048;
    /** How long a removal is remembered: longer than an operator takes to mend a dispatcher's old file. */
    static final long MARK_AGE = 7L * 86_400 * 1_000_000;
    /** How far ahead of ours another's clock may be; more would win over each change for that long. */
    static final long MOST_AHEAD = 1_000_000;

    /** What became of a change. */
    enum Merged {
        TAKEN,
        KNOWN,
        OLDER,
        REFUSED
    }

    private final Map<SettingKey, SettingChange> held = new HashMap<>();
    private final TreeSet<SettingChange> marks = new TreeSet<>(Comparator.comparingLong(SettingChange::stamp)
            .thenComparing(c -> c.key().setting())
            .thenComparing(c -> c.key().name()));
    private final long[] leaves = new long[LEAVES];
    private final List<Map<SettingKey, SettingChange>> byLeaf = new ArrayList<>();
    /** The newest stamp of a mark dropped: what is older and unknown may be what that mark removed. */
    private long floor;

    private long newest;

    LwwMap() {
        for (int i = 0; i < LEAVES; i++) {
            byLeaf.add(new HashMap<>());
        }
    }

    Merged merge(SettingChange c, long now) {
        SettingChange mine = held.get(c.key());
        if (mine != null && !c.beats(mine)) {
            return mine.equals(c) ? Merged.KNOWN : Merged.OLDER;
        }
        if (c.stamp() > now + MOST_AHEAD || DynamicSetting.validationError(c.key().name(), c.value()) != null) {
            return Merged.REFUSED;
        }
        if (mine == null
                && (c.stamp() <= floor
                        || held.size() - marks.size() >= MOST_KEYS
                        || c.removes() && c.stamp() <= now - MARK_AGE)) {
            // guards against an old copy that brings back what was removed, and memory against a flood
            return Merged.REFUSED;
        }
        if (mine != null) {
            drop(mine);
        }
        held.put(c.key(), c);
        byLeaf.get(c.leaf()).put(c.key(), c);
        leaves[c.leaf()] ^= c.hash();
        newest = Math.max(newest, c.stamp());
        if (c.removes()) {
            marks.add(c);
        }
        while (marks.size() > MOST_MARKS) {
            forget(marks.first());
        }
        return Merged.TAKEN;
    }

    /** Drops the marks that are too old. */
    void expire(long now) {
        while (!marks.isEmpty() && marks.first().stamp() <= now - MARK_AGE) {
            forget(marks.first());
        }
    }

    private void forget(SettingChange mark) {
        drop(mark);
        floor = Math.max(floor, mark.stamp());
    }

    private void drop(SettingChange c) {
        held.remove(c.key());
        byLeaf.get(c.leaf()).remove(c.key());
        leaves[c.leaf()] ^= c.hash();
        if (c.removes()) {
            marks.remove(c);
        }
    }

    SettingChange get(SettingKey key) {
        return held.get(key);
    }

    /** All changes held, marks of removals among them. */
    public Iterable<SettingChange> changes() {
        return held.values();
    }

    Iterable<SettingChange> in(int leaf) {
        return byLeaf.get(leaf).values();
    }

    int count(int leaf) {
        return byLeaf.get(leaf).size();
    }

    int size() {
        return held.size();
    }

    int marks() {
        return marks.size();
    }

    long newest() {
        return newest;
    }

    /** Equal, but for chance, where the same is held. */
    long digest() {
        long all = 0;
        for (int i = 0; i < LEAVES; i++) {
            all ^= leaves[i];
        }
        return all;
    }

    /** One byte of a leaf's digest; with another salt, two that differ are not mistaken for equal again. */
    int leafDigest(int leaf, int salt) {
        return cut(leaves[leaf], salt) >>> 8;
    }

    /** Two bytes of a range's. */
    int rangeDigest(int range, int salt) {
        long all = 0;
        for (int i = 0; i < RANGE; i++) {
            all ^= leaves[range * RANGE + i];
        }
        return cut(all, salt);
    }

    private static int cut(long digest, int salt) {
        return (int) (SettingChange.mix(digest ^ (long) salt << 48) >>> 48);
    }
}
