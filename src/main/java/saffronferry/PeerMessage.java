package saffronferry;

import java.util.Arrays;
import java.util.BitSet;

/** A datagram between dispatchers, with its encoding. */
final class PeerMessage {
    /** Maximum size of a message. */
    static final int MOST_BYTES = 256;

    private static final int HEADER_BYTES = 7;
    private static final int ENTRY_BYTES = 4;
    private static final long PERIOD_UNIT_US = 10_000;
    private static final double RATE_UNITS_PER_REQUEST = 16;
    /** Flag in the type byte: a timestamp and the sender's grant follow the header. */
    private static final int GRANT_FLAG = 0x40;
    /** Flag in the type byte: the sender knows a cold worker of its zone. Grants are also sent without it. */
    private static final int COLD_FLAG = 0x20;
    /** Flag in the type byte: the set of dispatchers in other zones follows the grant. */
    private static final int OTHER_ZONES_FLAG = 0x10;

    private static final int FLAGS = GRANT_FLAG | COLD_FLAG | OTHER_ZONES_FLAG;
    /** Two bytes of timestamp and one for the length of the grant's sets. */
    private static final int GRANT_HEADER_BYTES = 3;

    private static final int RETURN_STAMP_BYTES = 2;
    private static final int MAX_SET_BYTES = 112;
    /** Flag in the length byte: a second set of that length follows, with the dispatchers that the sender hears. */
    private static final int HEARD_SET_FLAG = 0x80;
    /** Timestamps are encoded in units of 2^12 microseconds, about four milliseconds. */
    private static final int STAMP_SHIFT = 12;
    /** Entry values of an offer from this one on transfer budget of a cold worker; lower ones are free slots. */
    private static final int TRANSFER_BASE = 128;
    /** Slot time of one transferred unit of a cold worker's budget. */
    static final double LENT_UNIT = 50_000;

    /** What the entries of a message state. Versions without RETURNS and HOLDS ignore messages of these types. */
    enum Type {
        /** Free slots of workers that the sender fills, or transfers of budget of its cold workers. */
        OFFERS,
        /** Slots that the sender's jobs occupy at some of the workers that the receiver fills. */
        BORROWS,
        /** Unused budget that the receiver had transferred, with the timestamp of the transfer. */
        RETURNS,
        /** All slots that the sender's jobs occupy at workers that the receiver fills. */
        HOLDS
    }

    final Type type;
    final int zone;
    /** Acceptance probability P of the sender. */
    final double p;
    /** R: the probability that the sender or one of its neighbours accepts. */
    final double r;
    /** Requests per second at the sender. */
    final double rate;
    /** Time between the sender's messages to a peer, in microseconds. */
    final long period;

    int entries;
    int[] hash = new int[8];
    int[] count = new int[8];
    /**
     * Time of sending in microseconds, by the clock that all dispatchers share; valid if {@link #word} is not null. In
     * a return it is the timestamp of the transfer that is returned.
     */
    long at;
    /**
     * The dispatchers, sender included, among which the sender leaves its share of cold workers to the guardian; null
     * if there is no cold worker.
     */
    BitSet word;
    /** The dispatchers that the sender hears, itself included; null if {@link #word} is. */
    BitSet hears;
    /** The dispatchers known to be in another zone than the sender, or null; only with {@link #word}. */
    BitSet elsewhere;
    /** Whether the sender knows a cold worker of its zone. */
    boolean cold;

    PeerMessage(Type type, int zone, double p, double r, double rate, long period) {
        this.type = type;
        this.zone = zone;
        this.p = p;
        this.r = r;
        this.rate = rate;
        this.period = period;
    }

    /** Adds a number of slots at a worker, unless the message is full. */
    void add(int worker, int slots) {
        put(worker, Math.max(0, Math.min(type == Type.OFFERS ? TRANSFER_BASE - 1 : 255, slots)));
    }

    /** Adds a transfer of a cold worker's budget, in units of {@link #LENT_UNIT}, unless the message is full. */
    void lend(int worker, int units) {
        put(worker, TRANSFER_BASE + Math.max(0, Math.min(255 - TRANSFER_BASE, units)));
    }

    /** Adds a return of transferred budget, unless the message is full. */
    void giveBack(int worker, int units) {
        put(worker, units);
    }

    /** Whether an entry transfers budget of a cold worker. */
    boolean lent(int entry) {
        return type == Type.OFFERS && count[entry] >= TRANSFER_BASE;
    }

    /** The units of a transfer, or the slots of another entry. */
    int amount(int entry) {
        return lent(entry) ? count[entry] - TRANSFER_BASE : count[entry];
    }

    private void put(int worker, int value) {
        if (size() + ENTRY_BYTES > MOST_BYTES) {
            return;
        }
        if (entries == hash.length) {
            hash = Arrays.copyOf(hash, 2 * entries);
            count = Arrays.copyOf(count, 2 * entries);
        }
        hash[entries] = worker;
        count[entries++] = value;
    }

    /** Removes timestamp and grant, which are of no use to another zone. */
    PeerMessage undated() {
        word = null;
        return this;
    }

    int size() {
        return HEADER_BYTES + grantBytes() + ENTRY_BYTES * entries;
    }

    private int grantBytes() {
        if (type == Type.RETURNS) {
            return RETURN_STAMP_BYTES;
        }
        return word == null ? 0 : GRANT_HEADER_BYTES + setBytes() * (hears.equals(word) ? 1 : 2) + otherZoneBytes();
    }

    private int setBytes() {
        return (hears.length() + 7) / 8;
    }

    /** One byte of length and the set. */
    private int otherZoneBytes() {
        return elsewhere == null ? 0 : 1 + (elsewhere.length() + 7) / 8;
    }

    byte[] bytes() {
        byte[] bytes = new byte[size()];
        int codedRate = (int) Math.max(0, Math.min(65535, Math.round(rate * RATE_UNITS_PER_REQUEST)));
        bytes[0] = (byte) zone;
        // P below one means that jobs are held and asks for offers; rounding must not turn it into one.
        bytes[1] = (byte) (p < 1 ? Math.min(254, Math.round(p * 255)) : 255);
        bytes[2] = (byte) Math.round(r * 255);
        bytes[3] = (byte) (codedRate >> 8);
        bytes[4] = (byte) codedRate;
        bytes[5] = (byte) Math.min(255, period / PERIOD_UNIT_US);
        bytes[6] = (byte) (type.ordinal()
                | (word == null ? 0 : GRANT_FLAG)
                | (cold ? COLD_FLAG : 0)
                | (word == null || elsewhere == null ? 0 : OTHER_ZONES_FLAG));
        int offset = HEADER_BYTES;
        if (type == Type.RETURNS) {
            bytes[offset++] = (byte) (this.at >> STAMP_SHIFT + 8);
            bytes[offset++] = (byte) (this.at >> STAMP_SHIFT);
        } else if (word != null) {
            int length = setBytes();
            boolean heardSetFollows = !hears.equals(word);
            bytes[offset] = (byte) (this.at >> STAMP_SHIFT + 8);
            bytes[offset + 1] = (byte) (this.at >> STAMP_SHIFT);
            bytes[offset + 2] = (byte) (length | (heardSetFollows ? HEARD_SET_FLAG : 0));
            byte[] granteeBits = word.toByteArray();
            System.arraycopy(granteeBits, 0, bytes, offset + GRANT_HEADER_BYTES, granteeBits.length);
            if (heardSetFollows) {
                System.arraycopy(hears.toByteArray(), 0, bytes, offset + GRANT_HEADER_BYTES + length, length);
            }
            offset += grantBytes();
            if (elsewhere != null) {
                byte[] otherZoneBits = elsewhere.toByteArray();
                bytes[offset - otherZoneBytes()] = (byte) otherZoneBits.length;
                System.arraycopy(otherZoneBits, 0, bytes, offset - otherZoneBits.length, otherZoneBits.length);
            }
        }
        for (int i = 0; i < entries; i++) {
            bytes[offset] = (byte) (hash[i] >> 16);
            bytes[offset + 1] = (byte) (hash[i] >> 8);
            bytes[offset + 2] = (byte) hash[i];
            bytes[offset + 3] = (byte) count[i];
            offset += ENTRY_BYTES;
        }
        return bytes;
    }

    private static int worker(byte[] bytes, int offset) {
        return (bytes[offset] & 0xFF) << 16 | (bytes[offset + 1] & 0xFF) << 8 | bytes[offset + 2] & 0xFF;
    }

    /** Decodes a message that was received at {@code now} by the shared clock; null if it is malformed. */
    static PeerMessage read(byte[] bytes, long now) {
        if (bytes.length < HEADER_BYTES || (bytes[6] & ~FLAGS) < 0 || (bytes[6] & ~FLAGS) >= Type.values().length) {
            return null;
        }
        boolean isReturn = (bytes[6] & ~FLAGS) == Type.RETURNS.ordinal();
        boolean hasGrant = (bytes[6] & GRANT_FLAG) != 0 && !isReturn;
        int granteeBytes = hasGrant && bytes.length >= HEADER_BYTES + GRANT_HEADER_BYTES
                ? bytes[HEADER_BYTES + 2] & ~HEARD_SET_FLAG & 0xFF
                : 0;
        int heardBytes = hasGrant
                        && bytes.length >= HEADER_BYTES + GRANT_HEADER_BYTES
                        && (bytes[HEADER_BYTES + 2] & HEARD_SET_FLAG) != 0
                ? granteeBytes
                : 0;
        int entriesStart = HEADER_BYTES
                + (hasGrant ? GRANT_HEADER_BYTES + granteeBytes + heardBytes : isReturn ? RETURN_STAMP_BYTES : 0);
        int otherZoneBytes = hasGrant && (bytes[6] & OTHER_ZONES_FLAG) != 0 && bytes.length > entriesStart
                ? 1 + (bytes[entriesStart] & 0xFF)
                : 0;
        entriesStart += otherZoneBytes;
        if (bytes.length < entriesStart
                || granteeBytes > MAX_SET_BYTES
                || (bytes.length - entriesStart) % ENTRY_BYTES != 0) {
            return null;
        }
        PeerMessage message = new PeerMessage(
                Type.values()[bytes[6] & ~FLAGS],
                bytes[0] & 0xFF,
                (bytes[1] & 0xFF) / 255.0,
                (bytes[2] & 0xFF) / 255.0,
                ((bytes[3] & 0xFF) << 8 | bytes[4] & 0xFF) / RATE_UNITS_PER_REQUEST,
                (bytes[5] & 0xFF) * PERIOD_UNIT_US);
        message.cold = (bytes[6] & COLD_FLAG) != 0;
        if (hasGrant) {
            message.word = BitSet.valueOf(Arrays.copyOfRange(
                    bytes, HEADER_BYTES + GRANT_HEADER_BYTES, HEADER_BYTES + GRANT_HEADER_BYTES + granteeBytes));
            int setsEnd = entriesStart - otherZoneBytes;
            message.hears = heardBytes == 0
                    ? message.word
                    : BitSet.valueOf(Arrays.copyOfRange(bytes, setsEnd - heardBytes, setsEnd));
            message.elsewhere =
                    otherZoneBytes == 0 ? null : BitSet.valueOf(Arrays.copyOfRange(bytes, setsEnd + 1, entriesStart));
        }
        if (hasGrant || isReturn) {
            // The time nearest to now with this stamp: datagrams are delayed by less than two minutes.
            int stamp = (bytes[HEADER_BYTES] & 0xFF) << 8 | bytes[HEADER_BYTES + 1] & 0xFF;
            message.at = (now >> STAMP_SHIFT) - (short) ((now >> STAMP_SHIFT) - stamp) << STAMP_SHIFT;
        }
        for (int offset = entriesStart; offset < bytes.length; offset += ENTRY_BYTES) {
            message.put(worker(bytes, offset), bytes[offset + 3] & 0xFF);
        }
        return message;
    }
}
