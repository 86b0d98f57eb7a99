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
    public static final long LEASE_US = 1_000_000;
    /** Largest difference between two machines' clocks. */
    public static final long MAX_CLOCK_ERROR_US = 100_000;

    private final int self;
    private final BitSet[] grants;
    private final long[] grantedAt;
    /** Dispatchers known to be in other zones; a dispatcher never changes its zone. */
    private final BitSet otherZonePeers = new BitSet();
    /** Whether each dispatcher's last grant says that it hears this one; true without a grant. */
    private final boolean[] hearsSelf;
    /** When this dispatcher's grant last named each dispatcher. */
    private final long[] lastNamedAt;

    private BitSet zoneMembers = new BitSet();

    /** Creates the shares of dispatcher {@code self} in a fleet of {@code dispatchers}. */
    public ColdShares(int self, int dispatchers) {
        this.self = self;
        grants = new BitSet[dispatchers];
        grantedAt = new long[dispatchers];
        lastNamedAt = new long[dispatchers];
        hearsSelf = new boolean[dispatchers];
        Arrays.fill(hearsSelf, true);
        zoneMembers.set(self);
    }

    /** Sets the dispatchers of this zone that this one hears, itself included. They share the zone's workers. */
    public void setZoneMembers(int[] members) {
        zoneMembers = new BitSet();
        for (int member : members) {
            zoneMembers.set(member);
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
    public boolean canDelegateTo(int dispatcher, long now) {
        return hearsSelf[dispatcher]
                || now - grantedAt[dispatcher] > LEASE_US
                || now - lastNamedAt[dispatcher] <= LEASE_US;
    }

    /** The dispatchers known to be in other zones, to be sent to a peer that has just started. */
    public BitSet otherZonePeers() {
        return (BitSet) otherZonePeers.clone();
    }

    /**
     * The grant to send now, valid for a lease: the dispatchers among which each worker's guardian gets this
     * dispatcher's share. It omits dispatchers that do not hear this one and those that are not zone members.
     *
     * @param heard the dispatchers that this one hears, itself included, and will not forget for a lease
     */
    public BitSet grant(BitSet heard, long now) {
        BitSet grantees = new BitSet();
        for (int k = heard.nextSetBit(0); k >= 0; k = heard.nextSetBit(k + 1)) {
            if (k != self && zoneMembers.get(k) && hearsSelf[k]) {
                lastNamedAt[k] = now;
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
    public void receiveGrant(
            int dispatcher,
            boolean inOtherZone,
            BitSet grantees,
            BitSet heard,
            BitSet inOtherZones,
            long at,
            long now) {
        if (inOtherZones != null && !inOtherZone) {
            otherZonePeers.or(inOtherZones);
            otherZonePeers.clear(grants.length, Math.max(grants.length, otherZonePeers.length()));
            otherZonePeers.clear(self);
        }
        otherZonePeers.set(dispatcher, inOtherZone);
        if (grantees != null && at >= grantedAt[dispatcher] && at <= now + MAX_CLOCK_ERROR_US) {
            grants[dispatcher] = grantees;
            hearsSelf[dispatcher] = heard.get(self);
            grantedAt[dispatcher] = at;
        }
    }

    /** The guardian of a worker, which fills it while it is cold: this dispatcher or one of the zone members. */
    public int guardian(int worker) {
        return guardian(worker, zoneMembers);
    }

    /** The guardian by plain rendezvous hashing, so that it does not depend on the other workers of the list. */
    public static int guardian(int worker, BitSet among) {
        int best = -1;
        long bestScore = 0;
        for (int member = among.nextSetBit(0); member >= 0; member = among.nextSetBit(member + 1)) {
            long score = RendezvousOwners.score(worker, member);
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
    public double share(long now, int worker, boolean inOwnZone) {
        if (!inOwnZone) {
            return 0;
        }
        int heldShares = 1;
        BitSet previous = null;
        boolean delegated = false;
        for (int k = 0; k < grants.length; k++) {
            BitSet grantees = grants[k];
            if (k == self || otherZonePeers.get(k) || !isGrantValid(k, now)) {
                continue;
            }
            // Most grants name the same dispatchers, so the guardian is computed only if they differ.
            if (!grantees.equals(previous)) {
                delegated = grantees.get(k) && guardian(worker, grantees) == self;
                previous = grantees;
            }
            heldShares += delegated && grantees.get(k) ? 1 : 0;
        }
        return (double) heldShares / (grants.length - otherZonePeers.cardinality());
    }

    private boolean isGrantValid(int dispatcher, long now) {
        return grants[dispatcher] != null && now - grantedAt[dispatcher] < LEASE_US - MAX_CLOCK_ERROR_US;
    }

    /** Whether a dispatcher's share of a worker is delegated to this one now; {@link #share} counts these. */
    public boolean isDelegatedToSelf(int dispatcher, long now, int worker) {
        return dispatcher != self
                && !otherZonePeers.get(dispatcher)
                && isGrantValid(dispatcher, now)
                && grants[dispatcher].get(dispatcher)
                && guardian(worker, grants[dispatcher]) == self;
    }

    /** An independent copy, for the state-space explorer. */
    public ColdShares copy() {
        ColdShares other = new ColdShares(self, grants.length);
        System.arraycopy(grants, 0, other.grants, 0, grants.length); // the sets are never modified
        System.arraycopy(grantedAt, 0, other.grantedAt, 0, grantedAt.length);
        System.arraycopy(hearsSelf, 0, other.hearsSelf, 0, hearsSelf.length);
        System.arraycopy(lastNamedAt, 0, other.lastNamedAt, 0, lastNamedAt.length);
        other.otherZonePeers.or(otherZonePeers);
        other.zoneMembers = zoneMembers;
        return other;
    }

    /** Canonical form of the state at a time: equal for two objects that will always behave the same. */
    public String state(long now) {
        StringBuilder all = new StringBuilder().append(zoneMembers);
        for (int k = 0; k < grants.length; k++) {
            all.append(' ')
                    .append(now - grantedAt[k] > LEASE_US ? "-" : grants[k] + "," + (now - grantedAt[k]))
                    .append(hearsSelf[k] ? 'h' : '.')
                    .append(Math.min(now - lastNamedAt[k], LEASE_US + 1));
        }
        return all.append(otherZonePeers).toString();
    }

    /** Position of this dispatcher's bucket for a worker among the fleet's buckets, evenly spread over 0 to 1. */
    public double phase(int worker) {
        return (Math.floorMod(self + (long) worker, (long) grants.length) + 0.5) / grants.length;
    }
}
