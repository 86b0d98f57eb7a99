package saffronferry.agree;

/**
 * A setting's new value, null for its removal.
 *
 * @param stamp when it was made, in microseconds of the one clock
 * @param origin the number of the dispatcher at which it was made
 * @param incarnation which of that dispatcher's processes made it
 */
public record SettingChange(SettingKey key, String value, long stamp, int origin, int incarnation) {
    /**
     * Whether it wins over another change of the same key: the higher stamp, then the higher origin. What
     * is left decides between those that only a fault or a forger can make; the order must be total, or two
     * dispatchers would hold different ones for good.
     */
    boolean beats(SettingChange other) {
        if (stamp != other.stamp) {
            return stamp > other.stamp;
        }
        if (origin != other.origin) {
            return origin > other.origin;
        }
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return value != null && (other.value == null || value.compareTo(other.value) > 0);
    }

    boolean removes() {
        return value == null;
    }

    /** The leaf of the digests to which its key belongs. */
    int leaf() {
        return (int) (mix(text(key.name(), key.setting().number())) & LwwMap.LEAVES - 1);
    }

    /** Differs, but for chance, from that of any other change. */
    long hash() {
        long h = text(key.name(), key.setting().number());
        h = mix(h ^ stamp);
        h = mix(h ^ (long) origin << 32 ^ incarnation);
        return mix(value == null ? h : text(value, h));
    }

    /** Two bytes of it; with another salt, two that differ are not mistaken for equal again. */
    int shortHash(int salt) {
        return (int) (mix(hash() ^ (long) salt << 48) >>> 48);
    }

    private static long text(String s, long seed) {
        long h = seed;
        for (int i = 0; i < s.length(); i++) {
            h = (h ^ s.charAt(i)) * 0x100000001b3L;
        }
        return mix(h ^ s.length());
    }

    /** The finalizer of MurmurHash3. */
    static long mix(long x) {
        long h = x ^ 0x9E3779B97F4A7C15L;
        h = (h ^ h >>> 33) * 0xff51afd7ed558ccdL;
        h = (h ^ h >>> 33) * 0xc4ceb9fe1a85ec53L;
        return h ^ h >>> 33;
    }
}
