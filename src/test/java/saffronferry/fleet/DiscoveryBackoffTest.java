package saffronferry.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates many callers and one discovery service that handles calls in turn. A call that waits longer than 2.2 s
 * times out, and costs discovery its work all the same.
 */
class DiscoveryBackoffTest {
    private static final long PATIENCE = 2_200_000;
    private static final long LONGEST = 40_000_000;

    /** A scheduled call. */
    private record Due(long at, int caller) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return Long.compare(at, other.at);
        }
    }

    /**
     * Simulates until all callers are served, for four minutes at most. Returns the time at which the last caller was
     * served and the largest number of calls by one caller.
     */
    private static long[] simulate(int callers, double perSecond, long longest, boolean together, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DiscoveryBackoff[] backoffs = new DiscoveryBackoff[callers];
        int[] calls = new int[callers];
        PriorityQueue<Due> queue = new PriorityQueue<>();
        for (int c = 0; c < callers; c++) {
            backoffs[c] = new DiscoveryBackoff(callers, longest);
            queue.add(new Due(together ? 0 : backoffs[c].firstDelay(random), c));
        }
        long freeAt = 0;
        long last = 0;
        while (!queue.isEmpty() && queue.peek().at < 240_000_000) {
            Due call = queue.poll();
            calls[call.caller]++;
            freeAt = Math.max(freeAt, call.at) + Math.round(1e6 / perSecond);
            if (freeAt - call.at > PATIENCE) {
                queue.add(new Due(
                        call.at + PATIENCE + backoffs[call.caller].retryDelay(random, WatchEnd.LATE), call.caller));
            } else {
                backoffs[call.caller].listReceived();
                last = Math.max(last, freeAt);
            }
        }
        return new long[] {
            queue.isEmpty() ? last : Long.MAX_VALUE,
            java.util.Arrays.stream(calls).max().getAsInt()
        };
    }

    /** {@code most}: seconds until the last caller is served; {@code calls}: largest number of calls by one caller. */
    @ParameterizedTest
    @CsvSource({"4, 3, 2, 1", "8, 5, 5, 2", "24, 5, 25, 6", "40, 5, 45, 6", "70, 7, 75, 6", "100, 5, 150, 12"})
    void allAreServedThoughAllStartAtOnce(int callers, double perSecond, long most, long calls) {
        for (long seed = 1; seed <= 20; seed++) {
            for (boolean together : new boolean[] {false, true}) {
                long[] served = simulate(callers, perSecond, LONGEST, together, seed);
                assertTrue(
                        served[0] <= most * 1_000_000,
                        (together ? "together" : "spread") + " seed " + seed + ": last after " + served[0] / 1e6
                                + " s");
                assertTrue(served[1] <= calls, served[1] + " calls of one");
            }
        }
    }

    /** Without the spread, forty callers keep the queue so long that no call is ever served. */
    @Test
    void callersThatRetryAtOnceAreNeverServed() {
        assertEquals(Long.MAX_VALUE, simulate(40, 5, 600_000, true, 1)[0]);
    }

    /**
     * A list change must take effect within 6 s after discovery has it and can be reached, and sends must stop 2 s
     * later. An earlier version took up to 9 s with 103 callers after a start, and up to 40 s after an outage that had
     * cost discovery nothing.
     */
    @Test
    void callersWithAnOldListCallBeforeAChangeMustTakeEffect() {
        for (int callers : new int[] {1, 8, 20, 103, 300}) {
            for (long seed = 1; seed <= 200; seed++) {
                SplittableRandom random = new SplittableRandom(seed);
                DiscoveryBackoff backoff = new DiscoveryBackoff(callers, LONGEST);
                assertTrue(backoff.firstDelay(random) <= 4_000_000, "after a start");
                backoff.retryDelay(random, WatchEnd.LATE);
                for (int i = 0; i < 20; i++) {
                    assertTrue(
                            backoff.retryDelay(random, WatchEnd.DOWN) <= 5_000_000, "during an outage of any length");
                }
                backoff.listReceived();
                assertTrue(
                        backoff.retryDelay(random, WatchEnd.ENDED) <= 4_600_000,
                        "after a watch that had delivered the list");
                backoff.listReceived();
                long silent = backoff.retryDelay(random, WatchEnd.SILENT);
                assertTrue(silent <= 2_000_000, "after 3 s of silence");
                assertTrue(silent >= 150_000, "not at once");
            }
        }
    }

    /**
     * A hundred callers that poll discovery while it is down do not overload it at its return: all are served within
     * 6 s if it can serve that many, and soon after if the queue is slightly too long. An earlier version took up to
     * 45 s.
     */
    @ParameterizedTest
    @CsvSource({"6, 4, 6", "20, 5, 8", "30, 7, 8", "100, 40, 6", "100, 16, 14"})
    void allAreServedSoonAfterAnOutage(int callers, double perSecond, long most) {
        for (long seed = 1; seed <= 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            PriorityQueue<Due> queue = new PriorityQueue<>();
            DiscoveryBackoff[] backoffs = new DiscoveryBackoff[callers];
            for (int c = 0; c < callers; c++) {
                backoffs[c] = new DiscoveryBackoff(callers, LONGEST);
                backoffs[c].listReceived();
                queue.add(new Due(backoffs[c].retryDelay(random, WatchEnd.ENDED), c));
            }
            long back = 8_000_000;
            long freeAt = back;
            long last = 0;
            while (!queue.isEmpty() && queue.peek().at < 60_000_000) {
                Due call = queue.poll();
                if (call.at < back) {
                    queue.add(new Due(call.at + backoffs[call.caller].retryDelay(random, WatchEnd.DOWN), call.caller));
                    continue;
                }
                freeAt = Math.max(freeAt, call.at) + Math.round(1e6 / perSecond);
                if (freeAt - call.at > PATIENCE) {
                    queue.add(new Due(
                            call.at + PATIENCE + backoffs[call.caller].retryDelay(random, WatchEnd.LATE), call.caller));
                } else {
                    last = Math.max(last, freeAt);
                }
            }
            assertTrue(
                    queue.isEmpty() && last <= back + most * 1_000_000,
                    "seed " + seed + ": " + (last - back) / 1e6 + " s");
        }
    }

    /** If several timers are set, only the last one leads to a call, and only once. */
    @Test
    void onlyTheLastOfSeveralTimersIsDueAndOnlyOnce() {
        DiscoveryBackoff backoff = new DiscoveryBackoff(4, LONGEST);
        backoff.schedule(300_000, 1_000_000);
        backoff.schedule(500_000, 1_100_000);
        assertEquals(false, backoff.isDue(1_300_000));
        assertEquals(true, backoff.isDue(1_599_000), "a timer may fire a little early");
        assertEquals(false, backoff.isDue(1_600_000));
    }

    /** A growing number of failures must not overflow the delay, and a few callers always retry soon. */
    @ParameterizedTest
    @CsvSource({"1000, 40000000", "4, 900000"})
    void theDelayStaysWithinItsLimitsAfterAnyNumberOfFailures(int callers, long most) {
        SplittableRandom random = new SplittableRandom(1);
        DiscoveryBackoff backoff = new DiscoveryBackoff(callers, LONGEST);
        assertEquals(callers > 8, backoff.firstDelay(random) > 0);
        for (int i = 0; i < 10_000; i++) {
            long wait = backoff.retryDelay(random, WatchEnd.LATE);
            assertTrue(wait >= 150_000 && wait <= most, wait + " us after " + i);
        }
    }
}
