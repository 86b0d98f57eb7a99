package saffronferry.fleet;

import java.util.Arrays;

/**
 * Which of a zone's dispatchers fills which of its workers first: rendezvous hashing with an even load. Plain
 * rendezvous hashing leaves a member without any worker with a probability of about e^(-workers/members): of
 * four dispatchers beside four workers one or two live on what the others lend. Here no member has two
 * workers more than another. All that know the same workers and members reckon the same owners; when one
 * comes or goes a small part changes hands.
 */
public final class Owners {
    private Owners() {}

    /**
     * Shares workers out.
     *
     * @param workers the workers' hashes, in an order that is the same for all who reckon
     * @param members the numbers of the dispatchers, at least one, each once, in any order
     * @return for each worker the number of the member that owns it
     */
    public static int[] share(int[] workers, int[] members) {
        int[] sorted = members.clone();
        Arrays.sort(sorted); // of equal scores the lower number wins, whoever reckons
        int[] owned = new int[sorted.length];
        int[] owner = new int[workers.length];
        int even = workers.length / sorted.length;
        int beyond = workers.length % sorted.length; // so many members get one more
        for (int w = 0; w < workers.length; w++) {
            int best = -1;
            long bestScore = 0;
            for (int m = 0; m < sorted.length; m++) {
                long score = score(workers[w], sorted[m]);
                boolean hasRoom = owned[m] < even || owned[m] == even && beyond > 0;
                if (hasRoom && (best < 0 || score > bestScore)) {
                    best = m;
                    bestScore = score;
                }
            }
            beyond -= owned[best] == even ? 1 : 0;
            owned[best]++;
            owner[w] = sorted[best];
        }
        return owner;
    }

    /** A figure that looks random and is the same everywhere; the mixing steps are those of SplitMix64. */
    static long score(int worker, int member) {
        long x = worker * 0x9E3779B97F4A7C15L + member * 0xC2B2AE3D27D4EB4FL;
        x = (x ^ x >>> 30) * 0xBF58476D1CE4E5B9L;
        x = (x ^ x >>> 27) * 0x94D049BB133111EBL;
        return x ^ x >>> 31;
    }
}
