package saffronferry.fleet;

import java.util.Arrays;

/**
 * Assigns each worker of a zone to an owner, the dispatcher that fills it first: rendezvous hashing with even load.
 *
 * <p>Plain rendezvous hashing leaves a member without any worker with a probability of about e^(-workers/members): with
 * four dispatchers and four workers, one or two would depend on slots offered by others. Here the numbers of workers
 * of two members differ by at most one. Dispatchers that know the same workers and members compute the same owners,
 * and few workers change their owner when a worker or member is added or removed.
 */
public final class RendezvousOwners {
    private RendezvousOwners() {}

    /**
     * Assigns workers to members.
     *
     * @param workers the workers' hashes, in the same order at all dispatchers
     * @param members the numbers of the dispatchers, at least one, without duplicates, in any order
     * @return the number of the owner of each worker
     */
    public static int[] assign(int[] workers, int[] members) {
        int[] sorted = members.clone();
        // Sorted, so that the lower number wins a tie at every dispatcher.
        Arrays.sort(sorted);
        int[] ownedCount = new int[sorted.length];
        int[] owner = new int[workers.length];
        int evenCount = workers.length / sorted.length;
        int remainder = workers.length % sorted.length;
        for (int w = 0; w < workers.length; w++) {
            int best = -1;
            long bestScore = 0;
            for (int m = 0; m < sorted.length; m++) {
                long score = score(workers[w], sorted[m]);
                boolean hasRoom = ownedCount[m] < evenCount || ownedCount[m] == evenCount && remainder > 0;
                if (hasRoom && (best < 0 || score > bestScore)) {
                    best = m;
                    bestScore = score;
                }
            }
            remainder -= ownedCount[best] == evenCount ? 1 : 0;
            ownedCount[best]++;
            owner[w] = sorted[best];
        }
        return owner;
    }

    /** Pseudo-random score of a pair, the same at all dispatchers; the mixing steps are those of SplitMix64. */
    static long score(int worker, int member) {
        long x = worker * 0x9E3779B97F4A7C15L + member * 0xC2B2AE3D27D4EB4FL;
        x = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        x = (x ^ x >>> 27) * 0x94D049BB133111EBL;
        return x ^ x >>> 31;
    }
}
