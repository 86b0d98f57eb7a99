package saffronferry;

import java.util.Arrays;
import java.util.BitSet;
import saffronferry.DispatcherState.Worker;
import saffronferry.fleet.ColdShares;
import saffronferry.fleet.RendezvousOwners;

/**
 * Decides to which zone a worker is assigned and which dispatcher of that zone owns it, from the dispatchers that are
 * heard. Only the owner sends to a worker on its own account; others use slots that it offers.
 */
final class WorkerOwnership {
    private final int zone;
    private final int zones;
    private final ColdShares shares;
    private int[] zoneMembers = new int[0];
    private int[] countedMembers = new int[0];
    private BitSet servedZones = new BitSet();

    /** Ownership as seen by a dispatcher of the given zone. */
    WorkerOwnership(int zones, int zone, ColdShares shares) {
        this.zones = zones;
        this.zone = zone;
        this.shares = shares;
    }

    /**
     * Takes the dispatchers that are heard now.
     *
     * @param zoneMembers dispatchers of this zone, this one included
     * @param countedMembers of these, the ones that this one can leave its share of cold workers to
     * @param servedZones zones that have dispatchers, or may have, and so keep their workers
     * @return whether anything differs from before: then any worker may change its owner
     */
    boolean update(int[] zoneMembers, int[] countedMembers, BitSet servedZones) {
        boolean same = Arrays.equals(zoneMembers, this.zoneMembers)
                && Arrays.equals(countedMembers, this.countedMembers)
                && servedZones.equals(this.servedZones);
        this.zoneMembers = zoneMembers;
        this.countedMembers = countedMembers;
        this.servedZones = servedZones;
        shares.setZoneMembers(countedMembers);
        return !same;
    }

    /**
     * The zone to which a worker is assigned. The workers of a zone without dispatchers would get no jobs: rendezvous
     * hashing assigns each to one of the other zones.
     */
    int zoneOf(Worker worker) {
        if (worker.zone < 0 || servedZones.get(worker.zone)) {
            return worker.zone;
        }
        int best = zone;
        for (int z = 0; z < zones; z++) {
            best = servedZones.get(z) && DispatcherState.mix(worker.hash, z) > DispatcherState.mix(worker.hash, best)
                    ? z
                    : best;
        }
        return best;
    }

    /** Whether the zone has several dispatchers, which share its workers. */
    boolean isShared() {
        return zoneMembers.length > 1;
    }

    /** The owner of all workers of the zone where {@link #isShared} is false. */
    int soleOwner() {
        return zoneMembers[0];
    }

    /** The owners of the zone's workers while they are warm, in the order of the given array. */
    int[] assignWarmOwners(Worker[] sorted) {
        return RendezvousOwners.assign(
                Arrays.stream(sorted).mapToInt(worker -> worker.hash).toArray(), zoneMembers);
    }

    /** The present owner of a worker of this zone: while the worker is cold, its guardian. */
    int owner(Worker worker) {
        return worker.coldSince == 0 ? worker.warmOwner : shares.guardian(worker.hash);
    }

    /** Whether this dispatcher owns a worker of its zone. */
    boolean isOwnedLocally(Worker worker) {
        return shares.isSelf(owner(worker));
    }
}
