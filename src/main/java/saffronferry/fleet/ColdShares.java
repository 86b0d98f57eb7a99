package saffronferry.fleet;

import java.util.Arrays;
import java.util.BitSet;

/**
 * Divides the budget of cold workers among the dispatchers of a fleet, so that all together never spend much more than
 * the whole, even without contact to each other.
 *
 * <p>Each dispatcher of the fleet, heard or not, has an even share; one that hears no other has its own share only. A
 * dispatcher that hears others delegates its share of a worker to that worker's guardian among them: it sends a grant
 * that names these dispatchers and is valid for a lease. Times are in microseconds. See docs/design/fleet-faults.md.
 */
public final class ColdShares {
    /** Time for which a grant is valid. Its sender must not forget the dispatchers that it names for as long. */
    public static final long LEASE = 1_000_000;
    /** Largest difference between two machines' clocks. */
    public static final long CLOCK_ERROR = 100_000;

    private final int self;
    private final BitSet[] words;
    private final long[] saidAt;
    /** Dispatchers known to be in other zones; a dispatcher never changes its zone. */
    private final BitSet elsewhere = new BitSet();
    /** Whether each dispatcher's last grant says that it hears this one; true without a grant. */
    private final boolean[] hearsUs;
    /** When this dispatcher's grant last named each dispatcher. */
    private final long[] namedAt;

    private BitSet near = new BitSet();

    /** Creates the shares of dispatcher {@code self} in a fleet of {@code dispatchers}. */
    public ColdShares(int self, int dispatchers) {
        this.self = self;
        words = new BitSet[dispatchers];
        saidAt = new long[dispatchers];
        namedAt = new long[dispatchers];
        hearsUs = new boolean[dispatchers];
        Arrays.fill(hearsUs, true);
        near.set(self);
    }

    /** Sets the dispatchers of this zone that this one hears, itself included. They share the zone's workers. */
    public void near(int[] members) {
        near = new BitSet();
        for (int member : members) {
            near.set(member);
        }
    }

    /** Whether that is this dispatcher's own number. */
    public boolean isSelf(int dispatcher) {
        return dispatcher == self;
    }

    /**
     * Whether this dispatcher's share may be delegated to another one that it hears. One whose last grant shows that it
     * does not hear this dispatcher would leave the share unused; but a grant that was sent is valid for a lease.
     */
    public boolean counts(int dispatcher, long now) {
        return hearsUs[dispatcher] || now - saidAt[dispatcher] > LEASE || now - namedAt[dispatcher] <= LEASE;
    }

    /** The dispatchers known to be in other zones, to be sent to a peer that has just started. */
    public BitSet elsewhere() {
        return (BitSet) elsewhere.clone();
    }

    /**
     * The grant to send now, valid for a lease: the dispatchers among which each worker's guardian gets this
     * dispatcher's share. It omits dispatchers that do not hear this one and those that are not zone members.
     *
     * @param heard the dispatchers that this one hears, itself included, and will not forget for a lease
     */
    public BitSet word(BitSet heard, long now) {
        BitSet grantees = new BitSet();
        for (int k = heard.nextSetBit(0); k >= 0; k = heard.nextSetBit(k + 1)) {
            if (k != self && near.get(k) && hearsUs[k]) {
                namedAt[k] = now;
                grantees.set(k);
            }
        }
        grantees.set(self);
        return grantees;
    }

    /**
     * Handles the grant in a peer's message. Grants that are older than the last one or from the future are ignored.
     *
     * @param inOtherZone whether the peer is in another zone, and so sends nothing to workers of this one
     * @param grantees the dispatchers among which the peer delegates its share, itself included, or null
     * @param heard the dispatchers that the peer hears, including those that it does not delegate to yet
     * @param inOtherZones the dispatchers that the peer knows to be in other zones than its own, or null
     * @param at when the message was sent, by the shared clock
     */
    public void says(
            int dispatcher,
            boolean inOtherZone,
            BitSet grantees,
            BitSet heard,
            BitSet inOtherZones,
            long at,
            long now) {
        if (inOtherZones != null && !inOtherZone) {
            elsewhere.or(inOtherZones);
            elsewhere.clear(words.length, Math.max(words.length, elsewhere.length()));
            elsewhere.clear(self);
        }
        elsewhere.set(dispatcher, inOtherZone);
        if (grantees != null && at >= saidAt[dispatcher] && at <= now + CLOCK_ERROR) {
            words[dispatcher] = grantees;
            hearsUs[dispatcher] = heard.get(self);
            saidAt[dispatcher] = at;
        }
    }

    /** The guardian of a worker, which fills it while it is cold: this dispatcher or one of the zone members. */
    public int guardian(int worker) {
        return guardian(worker, near);
    }

    /** The guardian by plain rendezvous hashing, so that it does not depend on the other workers of the list. */
    public static int guardian(int worker, BitSet among) {
        int best = -1;
        long bestScore = 0;
        for (int member = among.nextSetBit(0); member >= 0; member = among.nextSetBit(member + 1)) {
            long score = Owners.score(worker, member);
            if (best < 0 || score > bestScore) {
                best = member;
                bestScore = score;
            }
        }
        return best;
    }

    /**
     * This dispatcher's share of the budget of a worker that it guards: its own and those delegated to it. It has to be
     * computed again as time passes: leases may have expired while the process was stopped.
     *
     * <p>Dispatchers known to be in other zones have no share of this zone's workers. All others count, so that one
     * that knows less takes less and all together never more than the whole.
     *
     * @param inOwnZone whether the worker is in this zone. If not, it was adopted from a zone that seems to have no
     *     dispatchers; it may have some that this one does not hear, and they share the whole. The share is then 0
     * @return 0 to 1
     */
    public double part(long now, int worker, boolean inOwnZone) {
        if (!inOwnZone) {
            return 0;
        }
        int heldShares = 1;
        BitSet previous = null;
        boolean delegated = false;
        for (int k = 0; k < words.length; k++) {
            BitSet grantees = words[k];
            if (k == self || elsewhere.get(k) || !stands(k, now)) {
                continue;
            }
            // Most grants name the same dispatchers, so the guardian is computed only if they differ.
            if (!grantees.equals(previous)) {
                delegated = grantees.get(k) && guardian(worker, grantees) == self;
                previous = grantees;
            }
            heldShares += delegated && grantees.get(k) ? 1 : 0;
        }
        return (double) heldShares / (words.length - elsewhere.cardinality());
    }

    private boolean stands(int dispatcher, long now) {
        return words[dispatcher] != null && now - saidAt[dispatcher] < LEASE - CLOCK_ERROR;
    }

    /** Whether a dispatcher's share of a worker is delegated to this one now; {@link #part} counts these. */
    public boolean leftToUs(int dispatcher, long now, int worker) {
        return dispatcher != self
                && !elsewhere.get(dispatcher)
                && stands(dispatcher, now)
                && words[dispatcher].get(dispatcher)
                && guardian(worker, words[dispatcher]) == self;
    }

    /** An independent copy, for the state-space explorer. */
    public ColdShares copy() {
        ColdShares other = new ColdShares(self, words.length);
        System.arraycopy(words, 0, other.words, 0, words.length); // the sets are never modified
        System.arraycopy(saidAt, 0, other.saidAt, 0, saidAt.length);
        System.arraycopy(hearsUs, 0, other.hearsUs, 0, hearsUs.length);
        System.arraycopy(namedAt, 0, other.namedAt, 0, namedAt.length);
        other.elsewhere.or(elsewhere);
        other.near = near;
        return other;
    }

    /** Canonical form of the state at a time: equal for two objects that will always behave the same. */
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

    /** Position of this dispatcher's bucket for a worker among the fleet's buckets, evenly spread over 0 to 1. */
    public double phase(int worker) {
        return (Math.floorMod(self + (long) worker, (long) words.length) + 0.5) / words.length;
    }
}
