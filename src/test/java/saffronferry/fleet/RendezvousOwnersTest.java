package saffronferry.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RendezvousOwnersTest {
    private static int[] hashes(SplittableRandom random, int n) {
        return random.ints(0, 1 << 24).distinct().limit(n).sorted().toArray();
    }

    private static int[] without(int[] all, int at) {
        return IntStream.range(0, all.length)
                .filter(i -> i != at)
                .map(i -> all[i])
                .toArray();
    }

    private static int moved(int[] workers, int[] before, int[] left, int[] after) {
        int moved = 0;
        for (int i = 0; i < left.length; i++) {
            moved += before[Arrays.binarySearch(workers, left[i])] != after[i] ? 1 : 0;
        }
        return moved;
    }

    /** The limits are for the mean number of workers that change their owner when a member or a worker is removed. */
    @ParameterizedTest
    @CsvSource({"1,1,0,0", "4,4,3,1", "7,2,4,1", "3,8,2,1", "50,25,10,3", "33,16,7,5", "500,250,60,12"})
    void ownersAreEvenIndependentOfOrderAndMostlyStable(int n, int m, double mostByMember, double mostByWorker) {
        SplittableRandom random = new SplittableRandom(n * 1000 + m);
        int byMember = 0;
        int byWorker = 0;
        for (int day = 0; day < 20; day++) {
            int[] workers = hashes(random, n);
            int[] members = IntStream.range(0, m).toArray();
            int[] owners = RendezvousOwners.assign(workers, members);
            int[] backwards = IntStream.range(0, m).map(i -> m - 1 - i).toArray();
            assertArrayEquals(
                    owners,
                    RendezvousOwners.assign(workers, backwards),
                    "the result depends on the order of the members");
            for (int member : members) {
                long owned = Arrays.stream(owners).filter(o -> o == member).count();
                assertTrue(owned == n / m || owned == (n + m - 1) / m, owned + " of " + n + " owned by one of " + m);
            }
            if (m > 1) {
                int[] left = without(members, random.nextInt(m));
                byMember += moved(workers, owners, workers, RendezvousOwners.assign(workers, left));
            }
            int[] fewer = without(workers, random.nextInt(n));
            byWorker += moved(workers, owners, fewer, RendezvousOwners.assign(fewer, members));
        }
        assertTrue(
                byMember <= 20 * mostByMember && byWorker <= 20 * mostByWorker,
                byMember / 20.0 + " moved with a member, " + byWorker / 20.0 + " with a worker");
    }
}
