package saffronferry.fleet;

import java.util.Arrays;
import java.util.BitSet;

/**
 * Who of a fleet may spend what a cold worker can take, so that all together never spend much more than the
 * whole, whatever they hear of each other. Each dispatcher of the fleet, heard or not, has an even part; so
 * who hears nobody has its own part and nothing more. Whoever hears others leaves its part at a worker to
 * the guardian among them: it tells whom it hears, and that word counts for a lease. Worked out in
 * docs/design/fleet-faults.md.
 * Pure; times in microseconds.
 */
public final class ColdShares {
    /** How long a word counts. Who has said it must go on hearing whom it named for as long. */
    public static final long LEASE = 1_000_000;
    /** How far two machines' readings of the one clock may lie apart. */
    public static final long CLOCK_ERROR = 100_000;

    private final int self;
    private final BitSet[] words;
    private final long[] saidAt;
    private final BitSet elsewhere = new BitSet(); // of other zones, as far as known; that never changes
    private final boolean[] hearsUs; // by its last word; true where it has said none
    private final long[] namedAt; // when our word last named it
    private BitSet near = new BitSet();

    /** For one of so many dispatchers. */
    public ColdShares(int self, int dispatchers) {
        this.self = self;
        words = new BitSet[dispatchers];
        saidAt = new long[dispatchers];
        namedAt = new long[dispatchers];
        hearsUs = new boolean[dispatchers];
        Arrays.fill(hearsUs, true);
        near.set(self);
    }

    /** Whom of our zone we hear, ourselves included: they share its workers with us. */
    public void near(int[] members) {
        near = new BitSet();
        for (int m : members) {
            near.set(m);
        }
    }

    /** Whether this is our own number. */
    public boolean isSelf(int dispatcher) {
        return dispatcher == self;
    }

    /**
     * Whether one that we hear can be left our part. One whose own word does not name us hears nothing of
     * us, and would leave it unused; but what we have told stands for a lease.
     */
    public boolean counts(int dispatcher, long now) {
        return hearsUs[dispatcher] || now - saidAt[dispatcher] > LEASE || now - namedAt[dispatcher] <= LEASE;
    }

    /** Who is known to be of another zone: who has just started learns it from its neighbours at once. */
    public BitSet elsewhere() {
        return (BitSet) elsewhere.clone();
    }

    /**
     * What we are about to tell: to whom we leave our part, out of those we hear; it stands for a lease.
     * Left out is who has said that it hears nothing of us, and whom we do not count.
     *
     * @param hears whom we hear, ourselves included, and shall not forget for a lease
     */
    public BitSet word(BitSet hears, long now) {
        BitSet word = new BitSet();
        for (int k = hears.nextSetBit(0); k >= 0; k = hears.nextSetBit(k + 1)) {
            if (k != self && near.get(k) && hearsUs[k]) {
                namedAt[k] = now;
                word.set(k);
            }
        }
        word.set(self);
        return word;
    }

    /**
     * A dispatcher speaks. {@code word}: to whom it leaves its part, itself included, or null where it does
     * not say. Older words than the last one, and words from the future, change nothing.
     *
     * @param hears whom it hears, those included whom it does not count yet
     * @param other whether it is of another zone, and so sends nothing to workers of ours
     * @param elsewhere who it says is of another zone than its own, or null
     * @param at when it has said so, by the one clock
     */
    public void says(int dispatcher, boolean other, BitSet word, BitSet hears, BitSet elsewhere, long at, long now) {
        if (elsewhere != null && !other) {
            this.elsewhere.or(elsewhere);
            this.elsewhere.clear(words.length, Math.max(words.length, this.elsewhere.length()));
            this.elsewhere.clear(self);
        }
        this.elsewhere.set(dispatcher, other);
        if (word != null && at >= saidAt[dispatcher] && at <= now + CLOCK_ERROR) {
            words[dispatcher] = word;
            hearsUs[dispatcher] = hears.get(self);
            saidAt[dispatcher] = at;
        }
    }

    /** Who of ourselves and those we hear fills a worker as long as it is cold. */
    public int guardian(int worker) {
        return guardian(worker, near);
    }

    /** By rendezvous hashing, plain: who wins does not hang on which other workers a list names already. */
    public static int guardian(int worker, BitSet among) {
        int best = -1;
        long bestScore = 0;
        for (int m = among.nextSetBit(0); m >= 0; m = among.nextSetBit(m + 1)) {
            long score = Owners.score(worker, m);
            if (best < 0 || score > bestScore) {
                best = m;
                bestScore = score;
            }
        }
        return best;
    }

    /**
     * The part of what all together may send to a worker that we guard which is ours: our own, and those left
     * to us. To be asked anew while time passes: a dispatcher that was stopped finds its leases run out.
     * Who is known to be of another zone has no part in workers of ours. For all others one is set aside: who
     * knows less takes less, and all together never more than the whole.
     *
     * @param home whether the worker is of our zone. One adopted from a zone without dispatchers may have
     *     some there after all, whom we do not hear, and they share all of it: we have none until it is warm
     * @return 0 to 1
     */
    public double part(long now, int worker, boolean home) {
        if (!home) {
            return 0;
        }
        int held = 1;
        BitSet before = null;
        boolean leftToUs = false;
        for (int k = 0; k < words.length; k++) {
            BitSet word = words[k];
            if (k == self || elsewhere.get(k) || !stands(k, now)) {
                continue;
            }
            if (!word.equals(before)) { // as most are
                leftToUs = word.get(k) && guardian(worker, word) == self;
                before = word;
            }
            held += leftToUs && word.get(k) ? 1 : 0;
        }
        return (double) held / (words.length - elsewhere.cardinality());
    }

    private boolean stands(int k, long now) {
        return words[k] != null && now - saidAt[k] < LEASE - CLOCK_ERROR;
    }

    /** Whether another's part at a worker is left to us now; {@link #part} sums these up. */
    public boolean leftToUs(int k, long now, int worker) {
        return k != self
                && !elsewhere.get(k)
                && stands(k, now)
                && words[k].get(k)
                && guardian(worker, words[k]) == self;
    }

    /** The same, to be tried further from here. */
    public ColdShares copy() {
        ColdShares other = new ColdShares(self, words.length);
        System.arraycopy(words, 0, other.words, 0, words.length); // words never change
        System.arraycopy(saidAt, 0, other.saidAt, 0, saidAt.length);
        System.arraycopy(hearsUs, 0, other.hearsUs, 0, hearsUs.length);
        System.arraycopy(namedAt, 0, other.namedAt, 0, namedAt.length);
        other.elsewhere.or(elsewhere);
        other.near = near;
        return other;
    }

    /** All that decides what it does from a time on: equal for two that will always do the same. */
    public String state(long now) {
        StringBuilder all = new StringBuilder().append(near);
        for (int k = 0; k < words.length; k++) {
            all.append(' ')
                    .append(now - saidAt[k] > LEASE ? "-" : words[k] + "," + (now - saidAt[k]))
                    .append(hearsUs[k] ? 'h' : '.')
                    .append(Math.min(now - namedAt[k], LEASE + 1));
        }
        return all.append(elsewhere).toString();
    }

    /** Where our bucket at a worker stands among the fleet's: evenly spread over 0 to 1, another at each. */
    public double phase(int worker) {
        return (Math.floorMod(self + (long) worker, (long) words.length) + 0.5) / words.length;
    }
}
