package saffronferry.agree;

import java.util.Arrays;

/**
 * The binary form of a gossip datagram: a header, the payload and an authentication tag. The seventh byte, {@link
 * #GOSSIP_MARKER}, tells gossip from the peer messages about requests: there this byte is the type, which is never
 * negative, so versions that do not know gossip drop the datagram.
 */
final class GossipDatagram {
    static final int MAX_BYTES = 256;
    static final int VERSION = 1;
    private static final byte GOSSIP_MARKER = (byte) 0xA7;
    private static final int MARKER_OFFSET = 6;
    private static final int HEADER_BYTES = 7;

    /** Timestamp, origin, incarnation, number of entries. */
    private static final int GROUP_HEADER_BYTES = 14;

    /** Value length that stands for a removal. */
    private static final int REMOVAL_LENGTH = 255;

    /** The time in the header is in units of 2^16 microseconds, some 66 ms. */
    private static final int TIME_SHIFT_BITS = 16;

    /** What the payload holds. The ordinal is written to the datagram. */
    enum Kind {
        /** Setting changes. */
        CHANGES,
        /** Digests of all ranges. */
        RANGES,
        /** Digests of the leaves of some ranges. */
        LEAVES,
        /** Hashes of the changes held in some leaves. */
        HELD,
        /** Hashes of the changes that the receiver of {@link #HELD} holds in those leaves. */
        HELD_TOO
    }

    private byte[] buffer = new byte[MAX_BYTES];
    private int position = HEADER_BYTES;

    /** The change whose timestamp, origin and incarnation the current group of entries shares. */
    private SettingChange group;

    /** When writing: offset of the current group's entry count. When reading: entries left in the group. */
    private int groupCount;

    private GossipDatagram() {}

    /** Creates a datagram with an empty payload. */
    static GossipDatagram of(Kind kind, int salt, long now) {
        GossipDatagram datagram = new GossipDatagram();
        datagram.buffer[0] = VERSION;
        datagram.buffer[1] = (byte) kind.ordinal();
        datagram.buffer[2] = (byte) (salt >> 8);
        datagram.buffer[3] = (byte) salt;
        datagram.buffer[4] = (byte) (now >> TIME_SHIFT_BITS + 8);
        datagram.buffer[5] = (byte) (now >> TIME_SHIFT_BITS);
        datagram.buffer[MARKER_OFFSET] = GOSSIP_MARKER;
        return datagram;
    }

    /** Wraps a received datagram. It is not verified yet: see {@link #isAuthentic}. */
    static GossipDatagram read(byte[] bytes) {
        GossipDatagram datagram = new GossipDatagram();
        datagram.buffer = bytes;
        return datagram;
    }

    static boolean isGossipDatagram(byte[] bytes) {
        return bytes.length > MARKER_OFFSET && bytes[MARKER_OFFSET] == GOSSIP_MARKER;
    }

    boolean hasNewerVersion() {
        return (buffer[0] & 0xFF) > VERSION;
    }

    /** Returns the kind, or null if it is unknown. */
    Kind kind() {
        return buffer[0] == VERSION && buffer[1] >= 0 && buffer[1] < Kind.values().length
                ? Kind.values()[buffer[1]]
                : null;
    }

    int salt() {
        return (buffer[2] & 0xFF) << 8 | buffer[3] & 0xFF;
    }

    /** Age in microseconds. The time in the header wraps around; the moment nearest to {@code now} is assumed. */
    long ageUs(long now) {
        int sentAt = (buffer[4] & 0xFF) << 8 | buffer[5] & 0xFF;
        return (long) (short) ((now >> TIME_SHIFT_BITS) - sentAt) << TIME_SHIFT_BITS;
    }

    boolean isAuthentic(DatagramAuthenticator authenticator) {
        return buffer.length >= HEADER_BYTES + DatagramAuthenticator.TAG_BYTES && authenticator.verify(buffer);
    }

    /** Returns the signed datagram. */
    byte[] toBytes(DatagramAuthenticator authenticator) {
        byte[] bytes = Arrays.copyOf(buffer, position + DatagramAuthenticator.TAG_BYTES);
        authenticator.sign(bytes);
        return bytes;
    }

    /** Size in bytes with the authentication tag. */
    int size() {
        return position + DatagramAuthenticator.TAG_BYTES;
    }

    boolean isEmpty() {
        return position == HEADER_BYTES;
    }

    /** Whether at least this many bytes of payload are left to read. */
    boolean hasRemaining(int bytes) {
        return position + bytes <= buffer.length - DatagramAuthenticator.TAG_BYTES;
    }

    /** Writes the low bytes of a value in network byte order. */
    void putInteger(long value, int bytes) {
        for (int i = bytes - 1; i >= 0; i--) {
            buffer[position++] = (byte) (value >> 8 * i);
        }
    }

    /** Reads an unsigned integer in network byte order. */
    long takeInteger(int bytes) {
        if (!hasRemaining(bytes)) {
            throw new IllegalArgumentException("datagram is truncated");
        }
        long value = 0;
        for (int i = 0; i < bytes; i++) {
            value = value << 8 | buffer[position++] & 0xFF;
        }
        return value;
    }

    /**
     * Appends a change. Consecutive changes of the same timestamp, origin and incarnation share a group header.
     *
     * @return false if there is no room left for it
     */
    boolean addChange(SettingChange change) {
        boolean sameGroup = group != null
                && group.timestampUs() == change.timestampUs()
                && group.origin() == change.origin()
                && group.incarnation() == change.incarnation()
                && (buffer[groupCount] & 0xFF) < 255;
        int length = 3
                + change.key().name().length()
                + (change.isRemoval() ? 0 : change.value().length())
                + (sameGroup ? 0 : GROUP_HEADER_BYTES);
        if (size() + length > MAX_BYTES) {
            return false;
        }
        if (!sameGroup) {
            putInteger(change.timestampUs(), 7);
            putInteger(change.origin(), 2);
            putInteger(change.incarnation(), 4);
            groupCount = position;
            putInteger(0, 1);
            group = change;
        }
        buffer[groupCount]++;
        putInteger(change.key().setting().number(), 1);
        putInteger(change.key().name().length(), 1);
        putText(change.key().name());
        putInteger(change.isRemoval() ? REMOVAL_LENGTH : change.value().length(), 1);
        putText(change.isRemoval() ? "" : change.value());
        return true;
    }

    /** Reads the next change; null if it is of a setting that this version does not know. */
    SettingChange takeChange() {
        if (group == null || groupCount == 0) {
            long timestampUs = takeInteger(7);
            int origin = (int) takeInteger(2);
            group = new SettingChange(null, null, timestampUs, origin, (int) takeInteger(4));
            groupCount = (int) takeInteger(1);
            if (groupCount == 0) {
                throw new IllegalArgumentException("group of changes is empty");
            }
        }
        groupCount--;
        DynamicSetting setting = DynamicSetting.fromNumber((int) takeInteger(1));
        String name = takeText((int) takeInteger(1));
        int length = (int) takeInteger(1);
        String value = length == REMOVAL_LENGTH ? null : takeText(length);
        return setting == null
                ? null
                : new SettingChange(
                        new SettingKey(setting, name), value, group.timestampUs(), group.origin(), group.incarnation());
    }

    private void putText(String text) {
        for (int i = 0; i < text.length(); i++) {
            buffer[position++] = (byte) text.charAt(i);
        }
    }

    private String takeText(int length) {
        StringBuilder text = new StringBuilder(length);
        for (int i = 0; i < length; i++) {
            text.append((char) takeInteger(1));
        }
        return text.toString();
    }
}
