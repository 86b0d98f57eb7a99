package saffronferry;

import java.util.Arrays;

/** The bytes that dispatchers exchange. Form only: Dispatcher decides what is sent and what it means. */
final class Message {
    /** Largest message. */
    static final int MOST_BYTES = 256;
    private static final int HEADER = 7;
    private static final int ENTRY = 4;
    private static final long PERIOD_UNIT = 10_000;
    private static final double RATE_UNIT = 16;

    /** Free slots at the sender's workers; or the slots that its jobs take at the receiver's workers. */
    enum Type { OFFERS, BORROWS }

    final Type type;
    final int zone;
    final double p;
    final double r;
    final double rate;
    final long period;
    int entries;
    int[] hash = new int[8];
    int[] count = new int[8];

    Message(Type type, int zone, double p, double r, double rate, long period) {
        this.type = type;
        this.zone = zone;
        this.p = p;
        this.r = r;
        this.rate = rate;
        this.period = period;
    }

    /** Slots at a worker; what no longer fits is left out. */
    void add(int worker, int slots) {
        if (HEADER + ENTRY * (entries + 1) > MOST_BYTES) {
            return;
        }
        if (entries == hash.length) {
            hash = Arrays.copyOf(hash, 2 * entries);
            count = Arrays.copyOf(count, 2 * entries);
        }
        hash[entries] = worker;
        count[entries++] = Math.max(0, Math.min(255, slots));
    }

    int size() {
        return HEADER + ENTRY * entries;
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
        b[6] = (byte) type.ordinal();
        int at = HEADER;
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

    /** The message in these bytes, or null if they are none. */
    static Message read(byte[] b) {
        if (b.length < HEADER || b[6] < 0 || b[6] >= Type.values().length) {
            return null;
        }
        if ((b.length - HEADER) % ENTRY != 0) {
            return null;
        }
        Message m = new Message(Type.values()[b[6]], b[0] & 0xFF, (b[1] & 0xFF) / 255.0,
                (b[2] & 0xFF) / 255.0, ((b[3] & 0xFF) << 8 | b[4] & 0xFF) / RATE_UNIT,
                (b[5] & 0xFF) * PERIOD_UNIT);
        for (int at = HEADER; at < b.length; at += ENTRY) {
            m.add(worker(b, at), b[at + 3] & 0xFF);
        }
        return m;
    }
}
