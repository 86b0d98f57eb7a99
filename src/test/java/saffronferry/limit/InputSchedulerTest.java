package saffronferry.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which connections are read in a turn of the event loop, with a simulated clock. */
class InputSchedulerTest {
    private final InputScheduler<String> scheduler = new InputScheduler<>();
    private long now = 1_000;

    /** Runs a turn in which each read takes a time; the connections stay deferred. Returns those that were read. */
    private List<String> turn(long readNanos) {
        List<String> read = new ArrayList<>();
        scheduler.startTurn(now);
        for (String next = scheduler.next(now); next != null; next = scheduler.next(now)) {
            read.add(next);
            now += readNanos;
            assertFalse(scheduler.defer(next), "a turn is at work");
        }
        assertTrue(scheduler.endTurn());
        return read;
    }

    @Test
    void aConnectionIsReadOnUntilItsQuantumIsUsed() {
        assertTrue(scheduler.mayReadOn(now, now));
        assertTrue(scheduler.mayReadOn(now, now + InputScheduler.READ_QUANTUM_NANOS - 1));
        assertFalse(scheduler.mayReadOn(now, now + InputScheduler.READ_QUANTUM_NANOS));
    }

    /** Guards against turns that take the longer the more connections have input. */
    @Test
    void aTurnIsAsLongWithManyConnectionsAsWithFew() {
        long readNanos = InputScheduler.READ_QUANTUM_NANOS;
        for (int connections : new int[] {1, 30, 500}) {
            while (scheduler.size() < connections) {
                scheduler.defer("c" + scheduler.size());
            }
            long start = now;
            turn(readNanos);
            assertTrue(now - start >= InputScheduler.TURN_BUDGET_NANOS, connections + " connections");
            assertTrue(now - start < InputScheduler.TURN_BUDGET_NANOS + readNanos, connections + " connections");
        }
    }

    /** Guards against connections that are never read, because others always come first. */
    @Test
    void allConnectionsAreReadEquallyOften() {
        for (int i = 0; i < 100; i++) {
            scheduler.defer("c" + i);
        }
        Map<String, Integer> reads = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            turn(InputScheduler.TURN_BUDGET_NANOS / 10).forEach(c -> reads.merge(c, 1, Integer::sum));
        }
        assertEquals(100, reads.size());
        assertTrue(reads.values().stream().allMatch(n -> n == 4), reads.toString());
    }

    @Test
    void aReadThatTakesLongerThanATurnEndsIt() {
        scheduler.defer("a");
        scheduler.defer("b");
        assertEquals(List.of("a"), turn(2 * InputScheduler.TURN_BUDGET_NANOS));
        assertEquals(List.of("b"), turn(2 * InputScheduler.TURN_BUDGET_NANOS));
    }

    /** A turn is scheduled once, whoever joins, and again only while connections wait. */
    @Test
    void aTurnIsScheduledWhileConnectionsWait() {
        assertTrue(scheduler.defer("a"));
        assertFalse(scheduler.defer("b"));
        scheduler.startTurn(now);
        assertEquals("a", scheduler.next(now));
        assertEquals("b", scheduler.next(now));
        assertNull(scheduler.next(now));
        assertFalse(scheduler.endTurn());
        assertTrue(scheduler.defer("a"));
    }

    @Test
    void aClosedConnectionIsNotRead() {
        scheduler.defer("a");
        scheduler.defer("b");
        scheduler.remove("a");
        scheduler.remove("never deferred");
        assertEquals(1, scheduler.size());
        scheduler.startTurn(now);
        assertEquals("b", scheduler.next(now));
    }
}
