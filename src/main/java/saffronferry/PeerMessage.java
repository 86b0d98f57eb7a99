package saffronferry;

import java.util.Arrays;
import java.util.BitSet;

/** The bytes that dispatchers exchange. Form only: Dispatcher decides what is sent and what it means. */
final class PeerMessage {
    /** Largest message. */
    static final int MOST_BYTES = 256;

    private static final int HEADER = 7;
    private static final int ENTRY = 4;
    private static final long PERIOD_UNIT = 10_000;
    private static final double RATE_UNIT = 16;
    /** Stands in the type's byte where stamp and word follow the header. */
    private static final int DATED = 0x40;
    /** And here whether its sender knows a cold worker: who does not yet gives its word all the same. */
    private static final int COLD = 0x20;
    /** And here whether after the words it says who is of another zone than its own. */
    private static final int ELSEWHERE = 0x10;

    private static final int FLAGS = DATED | COLD | ELSEWHERE;
    private static final int STAMP = 3; // two bytes of time, one of the word's length
    private static final int RETURN_STAMP = 2;
    private static final int MOST_WORD = 112;
    private static final int BOTH = 0x80; // in the length: after the word as many bytes say who is heard
    private static final int CLOCK_BITS = 12; // a stamp counts some four milliseconds
    /** From this count on an offer is a part of a cold worker's budget, not a number of slots. */
    private static final int LENT = 128;
    /** What one unit of a lent part is, in microseconds of slot time. */
    static final double LENT_UNIT = 50_000;

    /**
     * Free slots at the sender's workers; or slots that its jobs take at some of the receiver's workers; or
     * parts of cold workers' budgets that the receiver has lent and the sender has no job for, with the stamp
     * with which they were lent; or all slots that its jobs take at the receiver's workers. Versions before
     * do not know the last two, and leave them out.
     */
    enum Type {
        OFFERS,
        BORROWS,
        RETURNS,
        HOLDS
    }

    final Type type;
    final int zone;
    final double p;
    final double r;
    final double rate;
    final long period;
    int entries;
    int[] hash = new int[8];
    int[] count = new int[8];
    /**
     * When it was sent, by the one clock, in microseconds; of use where {@link #word} is not null. In what
     * is returned: when that was lent.
     */
    long at;
    /** Whom its sender counts, itself included, or null: nothing is cold, and nobody needs to know. */
    BitSet word;
    /** Whom it hears: they are told so, and count it in turn. Null where {@link #word} is. */
    BitSet hears;
    /** Who is of another zone than its sender, as far as that knows, or null; only beside {@link #word}. */
    BitSet elsewhere;
    /** Whether its sender knows a cold worker of its zone. */
    boolean cold;

    PeerMessage(Type type, int zone, double p, double r, double rate, long period) {
        this.type = type;
        this.zone = zone;
        this.p = p;
        this.r = r;
        this.rate = rate;
        this.period = period;
    }

    /** Slots at a worker; what no longer fits is left out. */
    void add(int worker, int slots) {
        put(worker, Math.max(0, Math.min(type == Type.OFFERS ? LENT - 1 : 255, slots)));
    }

    /** A part of a cold worker's budget, in {@link #LENT_UNIT}s. */
    void lend(int worker, int units) {
        put(worker, LENT + Math.max(0, Math.min(255 - LENT, units)));
    }

    /** Units of a part that go back. */
    void giveBack(int worker, int units) {
        put(worker, units);
    }

    /** Whether an entry is a part of a cold worker's budget. */
    boolean lent(int entry) {
        return type == Type.OFFERS && count[entry] >= LENT;
    }

    /** The units of a lent part, or the slots of another entry. */
    int amount(int entry) {
        return lent(entry) ? count[entry] - LENT : count[entry];
    }

    private void put(int worker, int value) {
        if (size() + ENTRY > MOST_BYTES) {
            return;
        }
        if (entries == hash.length) {
            hash = Arrays.copyOf(hash, 2 * entries);
            count = Arrays.copyOf(count, 2 * entries);
        }
        hash[entries] = worker;
        count[entries++] = value;
    }

    /** Without stamp and words: of no use to another zone. */
    PeerMessage undated() {
        word = null;
        return this;
    }

    int size() {
        return HEADER + dated() + ENTRY * entries;
    }

    private int dated() {
        if (type == Type.RETURNS) {
            return RETURN_STAMP;
        }
        return word == null ? 0 : STAMP + wordBytes() * (hears.equals(word) ? 1 : 2) + otherBytes();
    }

    private int wordBytes() {
        return (hears.length() + 7) / 8;
    }

    /** One byte of length, and as many as it says. */
    private int otherBytes() {
        return elsewhere == null ? 0 : 1 + (elsewhere.length() + 7) / 8;
    }

    byte[] bytes() {
        byte[] b = new byte[size()];
        int coded = (int) Math.max(0, Math.min(65535, Math.round(rate * RATE_UNIT)));
        b[0] = (byte) zone;
        // below one says that jobs wait, and asks: however few they are, that must not be rounded away
        b[1] = (byte) (p < 1 ? Math.min(254, Math.round(p * 255)) : 255);
        b[2] = (byte) Math.round(r * 255);
        b[3] = (byte) (coded >> 8);
        b[4] = (byte) coded;
        b[5] = (byte) Math.min(255, period / PERIOD_UNIT);
        b[6] = (byte) (type.ordinal()
                | (word == null ? 0 : DATED)
                | (cold ? COLD : 0)
                | (word == null || elsewhere == null ? 0 : ELSEWHERE));
        int at = HEADER;
        if (type == Type.RETURNS) {
            b[at++] = (byte) (this.at >> CLOCK_BITS + 8);
            b[at++] = (byte) (this.at >> CLOCK_BITS);
        } else if (word != null) {
            int length = wordBytes();
            boolean both = !hears.equals(word);
            b[at] = (byte) (this.at >> CLOCK_BITS + 8);
            b[at + 1] = (byte) (this.at >> CLOCK_BITS);
            b[at + 2] = (byte) (length | (both ? BOTH : 0));
            byte[] bits = word.toByteArray();
            System.arraycopy(bits, 0, b, at + STAMP, bits.length);
            if (both) {
                System.arraycopy(hears.toByteArray(), 0, b, at + STAMP + length, length);
            }
            at += dated();
            if (elsewhere != null) {
                byte[] others = elsewhere.toByteArray();
                b[at - otherBytes()] = (byte) others.length;
                System.arraycopy(others, 0, b, at - others.length, others.length);
            }
        }
        for (int i = 0; i < entries; i++) {
            b[at] = (byte) (hash[i] >> 16);
            b[at + 1] = (byte) (hash[i] >> 8);
            b[at + 2] = (byte) hash[i];
            b[at + 3] = (byte) count[i];
            at += ENTRY;
        }
        return b;
    }

    private static int worker(byte[] b, int at) {
        return (b[at] & 0xFF) << 16 | (b[at + 1] & 0xFF) << 8 | b[at + 2] & 0xFF;
    }

    /** The message in these bytes, read about now by the one clock, or null if they are none. */
    static PeerMessage read(byte[] b, long now) {
        if (b.length < HEADER || (b[6] & ~FLAGS) < 0 || (b[6] & ~FLAGS) >= Type.values().length) {
            return null;
        }
        boolean returns = (b[6] & ~FLAGS) == Type.RETURNS.ordinal();
        boolean dated = (b[6] & DATED) != 0 && !returns;
        int word = dated && b.length >= HEADER + STAMP ? b[HEADER + 2] & ~BOTH & 0xFF : 0;
        int second = dated && b.length >= HEADER + STAMP && (b[HEADER + 2] & BOTH) != 0 ? word : 0;
        int from = HEADER + (dated ? STAMP + word + second : returns ? RETURN_STAMP : 0);
        int others = dated && (b[6] & ELSEWHERE) != 0 && b.length > from ? 1 + (b[from] & 0xFF) : 0;
        from += others;
        if (b.length < from || word > MOST_WORD || (b.length - from) % ENTRY != 0) {
            return null;
        }
        PeerMessage m = new PeerMessage(
                Type.values()[b[6] & ~FLAGS],
                b[0] & 0xFF,
                (b[1] & 0xFF) / 255.0,
                (b[2] & 0xFF) / 255.0,
                ((b[3] & 0xFF) << 8 | b[4] & 0xFF) / RATE_UNIT,
                (b[5] & 0xFF) * PERIOD_UNIT);
        m.cold = (b[6] & COLD) != 0;
        if (dated) {
            m.word = BitSet.valueOf(Arrays.copyOfRange(b, HEADER + STAMP, HEADER + STAMP + word));
            int end = from - others;
            m.hears = second == 0 ? m.word : BitSet.valueOf(Arrays.copyOfRange(b, end - second, end));
            m.elsewhere = others == 0 ? null : BitSet.valueOf(Arrays.copyOfRange(b, end + 1, from));
        }
        if (dated || returns) {
            // the nearest time that has this stamp: a datagram is late by less than two minutes
            int stamp = (b[HEADER] & 0xFF) << 8 | b[HEADER + 1] & 0xFF;
            m.at = (now >> CLOCK_BITS) - (short) ((now >> CLOCK_BITS) - stamp) << CLOCK_BITS;
        }
        for (int at = from; at < b.length; at += ENTRY) {
            m.put(worker(b, at), b[at + 3] & 0xFF);
        }
        return m;
    }
}
