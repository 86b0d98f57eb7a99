package saffronferry.agree;

import java.util.Arrays;

/**
 * The bytes of a datagram that speaks of settings. The seventh byte tells it from what dispatchers say of
 * jobs: there it is the type, which is never negative, and versions that know nothing of settings drop it.
 */
final class Frame {
    static final int MOST_BYTES = 256;
    static final int VERSION = 1;
    private static final byte MARK = (byte) 0xA7;
    private static final int MARK_AT = 6;
    private static final int HEADER = 7;
    private static final int GROUP = 14; // stamp, origin, incarnation, number of entries
    private static final int REMOVAL = 255;
    private static final int TIME_BITS = 16; // a datagram's time counts some 66 ms

    /**
     * Changes; digests of all ranges; of the leaves of some ranges; hashes of what some leaves hold, and
     * in answer to these what the other holds there. */
    enum Kind {
        CHANGES,
        RANGES,
        LEAVES,
        HELD,
        HELD_TOO
    }

    private byte[] b = new byte[MOST_BYTES];
    private int at = HEADER;
    private SettingChange group;
    private int countAt;

    private Frame() {}

    /** A datagram to be filled. */
    static Frame of(Kind kind, int salt, long now) {
        Frame f = new Frame();
        f.b[0] = VERSION;
        f.b[1] = (byte) kind.ordinal();
        f.b[2] = (byte) (salt >> 8);
        f.b[3] = (byte) salt;
        f.b[4] = (byte) (now >> TIME_BITS + 8);
        f.b[5] = (byte) (now >> TIME_BITS);
        f.b[MARK_AT] = MARK;
        return f;
    }

    /** A datagram that was heard, its seal yet to be looked at. */
    static Frame read(byte[] bytes) {
        Frame f = new Frame();
        f.b = bytes;
        return f;
    }

    static boolean isGossipDatagram(byte[] bytes) {
        return bytes.length > MARK_AT && bytes[MARK_AT] == MARK;
    }

    boolean isLater() {
        return (b[0] & 0xFF) > VERSION;
    }

    /** Null where there is no such kind. */
    Kind kind() {
        return b[0] == VERSION && b[1] >= 0 && b[1] < Kind.values().length ? Kind.values()[b[1]] : null;
    }

    int salt() {
        return (b[2] & 0xFF) << 8 | b[3] & 0xFF;
    }

    /** How old it is, in microseconds, by the nearest time with its stamp. */
    long age(long now) {
        int stamp = (b[4] & 0xFF) << 8 | b[5] & 0xFF;
        return (long) (short) ((now >> TIME_BITS) - stamp) << TIME_BITS;
    }

    boolean sealed(Seal seal) {
        return b.length >= HEADER + Seal.BYTES && seal.holds(b);
    }

    byte[] bytes(Seal seal) {
        byte[] whole = Arrays.copyOf(b, at + Seal.BYTES);
        seal.seal(whole);
        return whole;
    }

    int size() {
        return at + Seal.BYTES;
    }

    boolean isEmpty() {
        return at == HEADER;
    }

    /** Whether that many bytes more are there to be read. */
    boolean has(int n) {
        return at + n <= b.length - Seal.BYTES;
    }

    void put(long value, int bytes) {
        for (int i = bytes - 1; i >= 0; i--) {
            b[at++] = (byte) (value >> 8 * i);
        }
    }

    long take(int bytes) {
        if (!has(bytes)) {
            throw new IllegalArgumentException("ends early");
        }
        long value = 0;
        for (int i = 0; i < bytes; i++) {
            value = value << 8 | b[at++] & 0xFF;
        }
        return value;
    }

    /** False where there is no room for it. Changes of one stamp, origin and incarnation share these. */
    boolean add(SettingChange c) {
        boolean same = group != null
                && group.stamp() == c.stamp()
                && group.origin() == c.origin()
                && group.incarnation() == c.incarnation()
                && (b[countAt] & 0xFF) < 255;
        int length = 3 + c.key().name().length() + (c.removes() ? 0 : c.value().length()) + (same ? 0 : GROUP);
        if (size() + length > MOST_BYTES) {
            return false;
        }
        if (!same) {
            put(c.stamp(), 7);
            put(c.origin(), 2);
            put(c.incarnation(), 4);
            countAt = at;
            put(0, 1);
            group = c;
        }
        b[countAt]++;
        put(c.key().setting().number(), 1);
        put(c.key().name().length(), 1);
        text(c.key().name());
        put(c.removes() ? REMOVAL : c.value().length(), 1);
        text(c.removes() ? "" : c.value());
        return true;
    }

    /** Reads the next change of a datagram, null for one of a key that this version does not know. */
    SettingChange next() {
        if (group == null || countAt == 0) {
            long stamp = take(7);
            int origin = (int) take(2);
            group = new SettingChange(null, null, stamp, origin, (int) take(4));
            countAt = (int) take(1);
            if (countAt == 0) {
                throw new IllegalArgumentException("an empty group");
            }
        }
        countAt--;
        DynamicSetting what = DynamicSetting.fromNumber((int) take(1));
        String name = text((int) take(1));
        int length = (int) take(1);
        String value = length == REMOVAL ? null : text(length);
        return what == null
                ? null
                : new SettingChange(new SettingKey(what, name), value, group.stamp(), group.origin(), group.incarnation());
    }

    private void text(String s) {
        for (int i = 0; i < s.length(); i++) {
            b[at++] = (byte) s.charAt(i);
        }
    }

    private String text(int length) {
        StringBuilder s = new StringBuilder(length);
        for (int i = 0; i < length; i++) {
            s.append((char) take(1));
        }
        return s.toString();
    }
}
