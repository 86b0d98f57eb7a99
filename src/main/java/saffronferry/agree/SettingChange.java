package saffronferry.agree;

/**
 * One write to a replicated setting.
 *
 * @param value the new value, or null for a removal
 * @param timestampUs when the write was made, in microseconds of the shared clock
 * @param origin index of the dispatcher that made the write
 * @param incarnation identifies the process of that dispatcher that made the write
 */
public record SettingChange(SettingKey key, String value, long timestampUs, int origin, int incarnation) {
    /**
     * Whether this change wins over another change of the same key: the later timestamp wins, then the higher origin.
     * Changes that are equal in both can only come from a fault or a forgery. They are ordered too, because without
     * a total order two dispatchers could keep different values for good.
     */
    boolean supersedes(SettingChange other) {
        if (timestampUs != other.timestampUs) {
            return timestampUs > other.timestampUs;
        }
        if (origin != other.origin) {
            return origin > other.origin;
        }
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return value != null && (other.value == null || value.compareTo(other.value) > 0);
    }

    boolean isRemoval() {
        return value == null;
    }

    /** Index of the leaf of the digest tree that the key belongs to. */
    int leaf() {
        return (int) (mix(hashText(key.name(), key.setting().number())) & LwwMap.LEAVES - 1);
    }

    /** A 64-bit hash over all components. */
    long hash() {
        long h = hashText(key.name(), key.setting().number());
        h = mix(h ^ timestampUs);
        h = mix(h ^ (long) origin << 32 ^ incarnation);
        return mix(value == null ? h : hashText(value, h));
    }

    /** A 16-bit hash. Each datagram has another salt, so two changes that collide once do not collide again. */
    int shortHash(int salt) {
        return (int) (mix(hash() ^ (long) salt << 48) >>> 48);
    }

    private static long hashText(String text, long seed) {
        long h = seed;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(h ^ text.length());
    }

    /** The finalizer of MurmurHash3. */
    static long mix(long x) {
        long h = x ^ 0x9E3779B97F4A7C15L;
        h = (h ^ h >>> 33) * 0xff51afd7ed558ccdL;
        h = (h ^ h >>> 33) * 0xc4ceb9fe1a85ec53L;
        return h ^ h >>> 33;
    }
}
