package saffronferry;

import java.util.Arrays;
import java.util.BitSet;

/** A datagram between dispatchers, with its encoding. */
final class PeerMessage {
    /** Maximum size of a message. */
    static final int MAX_BYTES = 256;

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
    static final double TRANSFER_UNIT_US = 50_000;

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
    final double acceptance;
    /** R: the probability that the sender or one of its neighbours accepts. */
    final double combinedAcceptance;
    /** Requests per second at the sender. */
    final double requestRate;
    /** Time between the sender's messages to a peer, in microseconds. */
    final long exchangePeriod;

    int entryCount;
    int[] workerHashes = new int[8];
    int[] entryValues = new int[8];
    /**
     * Time of sending in microseconds, by the clock that all dispatchers share; valid if {@link #grantees} is not null.
     * In a return it is the timestamp of the transfer that is returned.
     */
    long timestamp;
    /**
     * The dispatchers, sender included, among which the sender leaves its share of cold workers to the guardian; null
     * if there is no cold worker.
     */
    BitSet grantees;
    /** The dispatchers that the sender hears, itself included; null if {@link #grantees} is. */
    BitSet heardPeers;
    /** The dispatchers known to be in another zone than the sender, or null; only with {@link #grantees}. */
    BitSet otherZonePeers;
    /** Whether the sender knows a cold worker of its zone. */
    boolean knowsColdWorker;

    PeerMessage(
            Type type,
            int zone,
            double acceptance,
            double combinedAcceptance,
            double requestRate,
            long exchangePeriod) {
        this.type = type;
        this.zone = zone;
        this.acceptance = acceptance;
        this.combinedAcceptance = combinedAcceptance;
        this.requestRate = requestRate;
        this.exchangePeriod = exchangePeriod;
    }

    /** Adds a number of slots at a worker, unless the message is full. */
    void addSlots(int worker, int slots) {
        put(worker, Math.max(0, Math.min(type == Type.OFFERS ? TRANSFER_BASE - 1 : 255, slots)));
    }

    /** Adds a transfer of a cold worker's budget, in units of {@link #TRANSFER_UNIT_US}, unless the message is full. */
    void addTransfer(int worker, int units) {
        put(worker, TRANSFER_BASE + Math.max(0, Math.min(255 - TRANSFER_BASE, units)));
    }

    /** Adds a return of transferred budget, unless the message is full. */
    void addReturn(int worker, int units) {
        put(worker, units);
    }

    /** Whether an entry transfers budget of a cold worker. */
    boolean isTransfer(int entry) {
        return type == Type.OFFERS && entryValues[entry] >= TRANSFER_BASE;
    }

    /** The units of a transfer, or the slots of another entry. */
    int amount(int entry) {
        return isTransfer(entry) ? entryValues[entry] - TRANSFER_BASE : entryValues[entry];
    }

    private void put(int worker, int value) {
        if (size() + ENTRY_BYTES > MAX_BYTES) {
            return;
        }
        if (entryCount == workerHashes.length) {
            workerHashes = Arrays.copyOf(workerHashes, 2 * entryCount);
            entryValues = Arrays.copyOf(entryValues, 2 * entryCount);
        }
        workerHashes[entryCount] = worker;
        entryValues[entryCount++] = value;
    }

    /** Removes timestamp and grant, which are of no use to another zone. */
    PeerMessage withoutGrant() {
        grantees = null;
        return this;
    }

    int size() {
        return HEADER_BYTES + grantBytes() + ENTRY_BYTES * entryCount;
    }

    private int grantBytes() {
        if (type == Type.RETURNS) {
            return RETURN_STAMP_BYTES;
        }
        return grantees == null
                ? 0
                : GRANT_HEADER_BYTES + setBytes() * (heardPeers.equals(grantees) ? 1 : 2) + otherZoneBytes();
    }

    private int setBytes() {
        return (heardPeers.length() + 7) / 8;
    }

    /** One byte of length and the set. */
    private int otherZoneBytes() {
        return otherZonePeers == null ? 0 : 1 + (otherZonePeers.length() + 7) / 8;
    }

    byte[] encode() {
        byte[] bytes = new byte[size()];
        int codedRate = (int) Math.max(0, Math.min(65535, Math.round(requestRate * RATE_UNITS_PER_REQUEST)));
        bytes[0] = (byte) zone;
        // P below one means that jobs are held and asks for offers; rounding must not turn it into one.
        bytes[1] = (byte) (acceptance < 1 ? Math.min(254, Math.round(acceptance * 255)) : 255);
        bytes[2] = (byte) Math.round(combinedAcceptance * 255);
        bytes[3] = (byte) (codedRate >> 8);
        bytes[4] = (byte) codedRate;
        bytes[5] = (byte) Math.min(255, exchangePeriod / PERIOD_UNIT_US);
        bytes[6] = (byte) (type.ordinal()
                | (grantees == null ? 0 : GRANT_FLAG)
                | (knowsColdWorker ? COLD_FLAG : 0)
                | (grantees == null || otherZonePeers == null ? 0 : OTHER_ZONES_FLAG));
        int offset = HEADER_BYTES;
        if (type == Type.RETURNS) {
            bytes[offset++] = (byte) (timestamp >> STAMP_SHIFT + 8);
            bytes[offset++] = (byte) (timestamp >> STAMP_SHIFT);
        } else if (grantees != null) {
            int length = setBytes();
            boolean heardSetFollows = !heardPeers.equals(grantees);
            bytes[offset] = (byte) (timestamp >> STAMP_SHIFT + 8);
            bytes[offset + 1] = (byte) (timestamp >> STAMP_SHIFT);
            bytes[offset + 2] = (byte) (length | (heardSetFollows ? HEARD_SET_FLAG : 0));
            byte[] granteeBits = grantees.toByteArray();
            System.arraycopy(granteeBits, 0, bytes, offset + GRANT_HEADER_BYTES, granteeBits.length);
            if (heardSetFollows) {
                System.arraycopy(heardPeers.toByteArray(), 0, bytes, offset + GRANT_HEADER_BYTES + length, length);
            }
            offset += grantBytes();
            if (otherZonePeers != null) {
                byte[] otherZoneBits = otherZonePeers.toByteArray();
                bytes[offset - otherZoneBytes()] = (byte) otherZoneBits.length;
                System.arraycopy(otherZoneBits, 0, bytes, offset - otherZoneBits.length, otherZoneBits.length);
            }
        }
        for (int i = 0; i < entryCount; i++) {
            bytes[offset] = (byte) (workerHashes[i] >> 16);
            bytes[offset + 1] = (byte) (workerHashes[i] >> 8);
            bytes[offset + 2] = (byte) workerHashes[i];
            bytes[offset + 3] = (byte) entryValues[i];
            offset += ENTRY_BYTES;
        }
        return bytes;
    }

    private static int worker(byte[] bytes, int offset) {
        return (bytes[offset] & 0xFF) << 16 | (bytes[offset + 1] & 0xFF) << 8 | bytes[offset + 2] & 0xFF;
    }

    /** Decodes a message that was received at {@code now} by the shared clock; null if it is malformed. */
    static PeerMessage decode(byte[] bytes, long now) {
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
        message.knowsColdWorker = (bytes[6] & COLD_FLAG) != 0;
        if (hasGrant) {
            message.grantees = BitSet.valueOf(Arrays.copyOfRange(
                    bytes, HEADER_BYTES + GRANT_HEADER_BYTES, HEADER_BYTES + GRANT_HEADER_BYTES + granteeBytes));
            int setsEnd = entriesStart - otherZoneBytes;
            message.heardPeers = heardBytes == 0
                    ? message.grantees
                    : BitSet.valueOf(Arrays.copyOfRange(bytes, setsEnd - heardBytes, setsEnd));
            message.otherZonePeers =
                    otherZoneBytes == 0 ? null : BitSet.valueOf(Arrays.copyOfRange(bytes, setsEnd + 1, entriesStart));
        }
        if (hasGrant || isReturn) {
            // The time nearest to now with this stamp: datagrams are delayed by less than two minutes.
            int stamp = (bytes[HEADER_BYTES] & 0xFF) << 8 | bytes[HEADER_BYTES + 1] & 0xFF;
            message.timestamp = (now >> STAMP_SHIFT) - (short) ((now >> STAMP_SHIFT) - stamp) << STAMP_SHIFT;
        }
        for (int offset = entriesStart; offset < bytes.length; offset += ENTRY_BYTES) {
            message.put(worker(bytes, offset), bytes[offset + 3] & 0xFF);
        }
        return message;
    }
}
