package saffronferry.agree;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Last-writer-wins map: holds the winning change of each key, and digests over ranges of keys (a two-level hash tree).
 * A removal is held as a tombstone. Merging is commutative, associative and idempotent as long as no tombstone is
 * dropped.
 */
public final class LwwMap {
    static final int LEAVES = 256;
    static final int RANGES = 16;
    static final int LEAVES_PER_RANGE = LEAVES / RANGES;

    /** A change takes some 200 bytes, so a full map stays below a megabyte. */
    static final int MAX_KEYS = 4096;

    static final int MAX_TOMBSTONES = 2048;

    /** Longer than an operator takes to correct the outdated configuration file of a dispatcher. */
    static final long TOMBSTONE_TTL_US = 7L * 86_400 * 1_000_000;

    /** A change from a clock further ahead would win over every other change for that long. */
    static final long MAX_CLOCK_LEAD_US = 1_000_000;

    /** Outcome of merging a change. */
    enum MergeResult {
        /** The change is held now. */
        APPLIED,
        /** The same change was held already. */
        DUPLICATE,
        /** A newer change of the key is held. */
        STALE,
        /** The change is invalid, too far ahead of the clock, too old, or over the capacity. */
        REJECTED
    }

    private final Map<SettingKey, SettingChange> changes = new HashMap<>();
    private final TreeSet<SettingChange> tombstones = new TreeSet<>(Comparator.comparingLong(SettingChange::timestampUs)
            .thenComparing(c -> c.key().setting())
            .thenComparing(c -> c.key().name()));
    private final long[] leafDigests = new long[LEAVES];
    private final List<Map<SettingKey, SettingChange>> changesByLeaf = new ArrayList<>();

    /**
     * The newest timestamp of a dropped tombstone. A change of an unknown key that is not newer may be one that the
     * tombstone had removed.
     */
    private long newestDroppedTombstoneUs;

    private long newestTimestampUs;

    LwwMap() {
        for (int i = 0; i < LEAVES; i++) {
            changesByLeaf.add(new HashMap<>());
        }
    }

    MergeResult merge(SettingChange change, long now) {
        SettingChange current = changes.get(change.key());
        if (current != null && !change.supersedes(current)) {
            return current.equals(change) ? MergeResult.DUPLICATE : MergeResult.STALE;
        }
        if (change.timestampUs() > now + MAX_CLOCK_LEAD_US
                || DynamicSetting.validationError(change.key().name(), change.value()) != null) {
            return MergeResult.REJECTED;
        }
        if (current == null
                && (change.timestampUs() <= newestDroppedTombstoneUs
                        || changes.size() - tombstones.size() >= MAX_KEYS
                        || change.isRemoval() && change.timestampUs() <= now - TOMBSTONE_TTL_US)) {
            // An outdated copy must not bring back a removed key, and a flood of keys must not exhaust the memory.
            return MergeResult.REJECTED;
        }
        if (current != null) {
            remove(current);
        }
        changes.put(change.key(), change);
        changesByLeaf.get(change.leaf()).put(change.key(), change);
        leafDigests[change.leaf()] ^= change.hash();
        newestTimestampUs = Math.max(newestTimestampUs, change.timestampUs());
        if (change.isRemoval()) {
            tombstones.add(change);
        }
        while (tombstones.size() > MAX_TOMBSTONES) {
            dropTombstone(tombstones.first());
        }
        return MergeResult.APPLIED;
    }

    /** Drops the tombstones that are older than {@link #TOMBSTONE_TTL_US}. */
    void expireTombstones(long now) {
        while (!tombstones.isEmpty() && tombstones.first().timestampUs() <= now - TOMBSTONE_TTL_US) {
            dropTombstone(tombstones.first());
        }
    }

    private void dropTombstone(SettingChange tombstone) {
        remove(tombstone);
        newestDroppedTombstoneUs = Math.max(newestDroppedTombstoneUs, tombstone.timestampUs());
    }

    private void remove(SettingChange change) {
        changes.remove(change.key());
        changesByLeaf.get(change.leaf()).remove(change.key());
        leafDigests[change.leaf()] ^= change.hash();
        if (change.isRemoval()) {
            tombstones.remove(change);
        }
    }

    SettingChange get(SettingKey key) {
        return changes.get(key);
    }

    /** All changes held, tombstones included. */
    public Iterable<SettingChange> changes() {
        return changes.values();
    }

    Iterable<SettingChange> changesInLeaf(int leaf) {
        return changesByLeaf.get(leaf).values();
    }

    int countInLeaf(int leaf) {
        return changesByLeaf.get(leaf).size();
    }

    int size() {
        return changes.size();
    }

    int tombstoneCount() {
        return tombstones.size();
    }

    long newestTimestampUs() {
        return newestTimestampUs;
    }

    /** Digest over all changes held; equal on maps that hold the same changes. */
    long digest() {
        long digest = 0;
        for (int i = 0; i < LEAVES; i++) {
            digest ^= leafDigests[i];
        }
        return digest;
    }

    /**
     * An 8-bit digest of a leaf. Each datagram has another salt, so two leaves that collide once do not collide again.
     */
    int leafDigest(int leaf, int salt) {
        return truncate(leafDigests[leaf], salt) >>> 8;
    }

    /** A 16-bit digest of a range of leaves, salted likewise. */
    int rangeDigest(int range, int salt) {
        long digest = 0;
        for (int i = 0; i < LEAVES_PER_RANGE; i++) {
            digest ^= leafDigests[range * LEAVES_PER_RANGE + i];
        }
        return truncate(digest, salt);
    }

    private static int truncate(long digest, int salt) {
        return (int) (SettingChange.mix(digest ^ (long) salt << 48) >>> 48);
    }
}
