package saffronferry.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.ops.Bans;

/** The resolver result at the size of a large fleet: which ids are known, and what bans change. */
class ResolverResultTest {
    private static final int MANY = 21_000;

    private static ListUpdate.Entry entry(String id, WorkerState state) {
        return new ListUpdate.Entry(new WorkerInfo(id, state, 0, 0, 0, 0), "127.0.0.1:9");
    }

    private static ListUpdate whole(long revision, int from, int to) {
        return new ListUpdate(
                revision,
                true,
                IntStream.range(from, to)
                        .mapToObj(i -> entry("w" + i, WorkerState.IN_SERVICE))
                        .toList());
    }

    @Test
    void everyWorkerOfALongListIsKnown() {
        ResolverResult result = new ResolverResult();
        result.apply(whole(1, 0, MANY));
        for (int i = 0; i < MANY; i++) {
            assertTrue(result.isKnown("w" + i), "w" + i);
        }
        assertFalse(result.isKnown("w" + MANY));
        assertEquals(1, result.setBans(Bans.NONE.with("w0"), 5).size());
        assertEquals(1, result.bannedCount());
    }

    /** Ids removed by a complete list or by a change stay known, and so do ids that were never in service. */
    @Test
    void removedIdsStayKnownUpToALimit() {
        ResolverResult result = new ResolverResult();
        result.apply(whole(1, 0, 10));
        result.apply(whole(2, 2, 10));
        result.apply(
                new ListUpdate(3, false, List.of(entry("w2", WorkerState.GONE), entry("d", WorkerState.DRAINING))));
        for (String id : List.of("w0", "w1", "w2", "w9", "d")) {
            assertTrue(result.isKnown(id), id);
        }
        assertFalse(result.isKnown("x"));
        assertEquals(8, result.size());
        result.apply(new ListUpdate(4, false, List.of(entry("w0", WorkerState.IN_SERVICE))));
        // releases, each with new ids
        for (int round = 0; round < 10; round++) {
            result.apply(whole(5 + round, 1_000 * (round + 1), 1_000 * (round + 2)));
        }
        assertTrue(result.isKnown("w10999") && result.isKnown("w9999"), "the last list, and the one before");
        assertFalse(result.isKnown("w0") || result.isKnown("w1"), "memory is bounded");
    }
}
