package saffronferry;

import java.util.Arrays;
import java.util.BitSet;
import saffronferry.DispatcherState.Worker;
import saffronferry.fleet.ColdShares;
import saffronferry.fleet.Owners;

/** Which zone's dispatchers fill a worker, and which one of ours, as far as heard. */
final class WorkerOwnership {
    private final int zone;
    private final int zones;
    private final ColdShares shares;
    private int[] near = new int[0];
    private int[] counted = new int[0];
    private BitSet served = new BitSet();

    /** Of so many zones, as one of that zone knows them. */
    WorkerOwnership(int zones, int zone, ColdShares shares) {
        this.zones = zones;
        this.zone = zone;
        this.shares = shares;
    }

    /**
     * Takes in what is heard now.
     *
     * @param near dispatchers of our zone, ourselves included
     * @param counted of these those that can be left our part of cold workers
     * @param served zones whose workers stay there
     * @return whether it differs from before: then any worker may change hands
     */
    boolean hear(int[] near, int[] counted, BitSet served) {
        boolean same =
                Arrays.equals(near, this.near) && Arrays.equals(counted, this.counted) && served.equals(this.served);
        this.near = near;
        this.counted = counted;
        this.served = served;
        shares.near(counted);
        return !same;
    }

    /** Danger: nobody serves the workers of a zone without dispatchers. Another zone adopts each. */
    int zoneOf(Worker w) {
        if (w.zone < 0 || served.get(w.zone)) {
            return w.zone;
        }
        int best = zone;
        for (int z = 0; z < zones; z++) {
            best = served.get(z) && DispatcherState.mix(w.hash, z) > DispatcherState.mix(w.hash, best) ? z : best;
        }
        return best;
    }

    /** Whether a worker's owner hangs on the others of its zone. */
    boolean dealt() {
        return near.length > 1;
    }

    /** The one that fills the zone's workers where {@link #dealt} is false. */
    int only() {
        return near[0];
    }

    /** Who fills which of our zone's workers, as long as it is warm. */
    int[] deal(Worker[] ring) {
        return Owners.share(Arrays.stream(ring).mapToInt(w -> w.hash).toArray(), near);
    }

    /** Who fills a worker of our zone now. */
    int owner(Worker w) {
        return w.coldSince == 0 ? w.warmOwner : shares.guardian(w.hash);
    }

    /** Whether we do. */
    boolean ours(Worker w) {
        return shares.isSelf(owner(w));
    }
}
