package saffronferry.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import saffronferry.limit.DescriptorBudget.Purpose;

/** The descriptor budget, the accept gate, the attempt capacity and the event loop monitor, with a simulated clock. */
class LimitsTest {
    private static final int OWN = 20;

    private static int takeAll(DescriptorBudget d, Purpose p) {
        int n = 0;
        while (d.tryTake(p)) {
            n++;
        }
        return n;
    }

    /** In any order of requests, each purpose gets its guaranteed number, and the sum stays below the limit. */
    @Test
    void eachPurposeGetsItsGuaranteedNumberInAnyOrder() {
        for (int limit : new int[] {128, 256, 384, 1024}) {
            for (Purpose greedy : Purpose.values()) {
                DescriptorBudget d = new DescriptorBudget(limit, OWN);
                int sum = OWN + takeAll(d, greedy);
                assertTrue(sum - OWN <= d.maximum(greedy));
                for (Purpose p : Purpose.values()) {
                    sum += takeAll(d, p);
                }
                assertTrue(d.used(Purpose.CLIENTS) >= limit / 3, limit + " after " + greedy);
                assertTrue(d.used(Purpose.WORKERS) >= limit / 4, limit + " after " + greedy);
                assertTrue(d.used(Purpose.PROBES) >= 8 && d.used(Purpose.DISCOVERY) == 4);
                assertTrue(sum <= limit - DescriptorBudget.RESERVED, sum + " of " + limit);
            }
        }
    }

    /** Any order of takes and releases keeps the bounds, and released descriptors can be taken again. */
    @Test
    void takesAndReleasesInAnyOrderKeepTheBounds() {
        Random random = new Random(7);
        DescriptorBudget d = new DescriptorBudget(256, OWN);
        Map<Purpose, Integer> held = new EnumMap<>(Purpose.class);
        for (int i = 0; i < 200_000; i++) {
            Purpose p = Purpose.values()[random.nextInt(4)];
            int heldNow = held.getOrDefault(p, 0);
            if (random.nextInt(5) < (i / 1000 % 2 == 0 ? 3 : 2)) {
                int left = d.available(p);
                boolean got = d.tryTake(p);
                assertEquals(left > 0, got);
                held.merge(p, got ? 1 : 0, Integer::sum);
            } else if (heldNow > 0) {
                d.release(p);
                held.put(p, heldNow - 1);
            }
            int sum = held.values().stream().mapToInt(Integer::intValue).sum();
            assertTrue(sum <= 256 - OWN - DescriptorBudget.RESERVED);
            assertTrue(held.getOrDefault(Purpose.WORKERS, 0) >= 64 || d.available(Purpose.WORKERS) > 0);
            assertTrue(held.getOrDefault(Purpose.CLIENTS, 0) >= 85 || d.available(Purpose.CLIENTS) > 0);
        }
        held.forEach((p, n) -> {
            for (int i = 0; i < n; i++) {
                d.release(p);
            }
            assertThrows(IllegalStateException.class, () -> d.release(p));
        });
        assertEquals(128, takeAll(d, Purpose.CLIENTS));
    }

    @Test
    void anInsufficientLimitIsReportedWithItsNumbers() {
        Exception e = assertThrows(IllegalArgumentException.class, () -> new DescriptorBudget(64, OWN));
        assertTrue(e.getMessage().contains("64") && e.getMessage().contains("20"), e.getMessage());
    }

    /** The pause doubles with each failed accept, and the first success resets it. */
    @Test
    void theGateBacksOffWhileAcceptingFails() {
        AcceptGate gate = new AcceptGate(new DescriptorBudget(256, OWN));
        long now = 0;
        long[] pauses = {10, 20, 40, 80, 160, 320, 500, 500};
        for (long pause : pauses) {
            assertTrue(gate.tryAcquire(now));
            assertEquals(pause, gate.acceptFailed(now));
            assertFalse(gate.tryAcquire(now + pause - 1));
            assertFalse(gate.canResume(now + pause - 1));
            now += pause;
            assertTrue(gate.canResume(now));
        }
        assertTrue(gate.tryAcquire(now));
        gate.accepted();
        assertTrue(gate.tryAcquire(now));
        assertEquals(10, gate.acceptFailed(now));
    }

    /** After a start connections are accepted one by one, then more per turn up to a limit. */
    @Test
    void acceptsPerTurnGrowAfterAStart() {
        AcceptGate gate = new AcceptGate(new DescriptorBudget(1024, OWN));
        int[] atTurn = {1, 1, 1, 1, 1, 1, 1, 1, 2, 2};
        for (int expected : atTurn) {
            assertEquals(expected, gate.acceptsPerTurn());
            gate.tryAcquire(0);
            gate.accepted();
        }
        for (int i = 0; i < 200; i++) {
            gate.tryAcquire(0);
            gate.accepted();
        }
        assertEquals(AcceptGate.MAX_ACCEPTS_PER_TURN, gate.acceptsPerTurn());
    }

    /** Accepting pauses without descriptors and can resume as soon as one is released. */
    @Test
    void acceptingPausesWithoutDescriptorsAndResumes() {
        DescriptorBudget d = new DescriptorBudget(256, OWN);
        AcceptGate gate = new AcceptGate(d);
        int[] freed = {0};
        d.addReleaseListener(() -> freed[0]++);
        for (int i = 0; i < 128; i++) {
            assertEquals(i > 128 - DescriptorBudget.LOW_CLIENTS, gate.isLow(), "at " + i);
            assertTrue(gate.tryAcquire(0));
            gate.accepted();
        }
        assertFalse(gate.tryAcquire(0));
        assertFalse(gate.canResume(0));
        gate.connectionClosing();
        assertFalse(gate.tryAcquire(0));
        gate.connectionClosed();
        assertEquals(1, freed[0]);
        assertTrue(gate.canResume(0) && gate.tryAcquire(0));
        assertTrue(gate.isLow());
        gate.setListening(false);
        assertFalse(gate.isLow(), "nobody comes any more for whom room has to be made");
        gate.setListening(true);
        gate.nothingAccepted(0);
        assertEquals(127, d.used(Purpose.CLIENTS));
    }

    /** The time in which connections may wait runs from a pause until the backlog is known to be empty. */
    @Test
    void theGateCountsHowLongConnectionsMayHaveWaited() {
        AcceptGate gate = new AcceptGate(new DescriptorBudget(256, OWN));
        assertTrue(gate.tryAcquire(0));
        gate.accepted();
        assertFalse(gate.mayWait());
        assertEquals(0, gate.waitMs(500));
        for (int i = 1; i < 128; i++) {
            assertTrue(gate.tryAcquire(1_000));
            gate.accepted();
        }
        assertFalse(gate.tryAcquire(1_000));
        gate.connectionClosing();
        gate.connectionClosed();
        assertTrue(gate.tryAcquire(3_000));
        gate.accepted();
        assertEquals(2_000, gate.waitMs(3_000), "more connections may wait behind the accepted one");
        gate.connectionClosing();
        gate.connectionClosed();
        assertTrue(gate.tryAcquire(3_500));
        gate.nothingAccepted(3_500);
        assertEquals(0, gate.waitMs(4_000));
        assertTrue(gate.tryAcquire(4_000));
        gate.acceptFailed(4_000);
        assertEquals(100, gate.waitMs(4_100));
        assertEquals(2_600, gate.totalWaitMs(4_100));
        gate.backlogEmpty(4_100);
        assertEquals(2_600, gate.totalWaitMs(9_000));
    }

    /** Changes of capacity are reported: lost with the last descriptor or a refusal by the system, then regained. */
    @Test
    void attemptCapacityIsReportedOnChangesOnly() {
        DescriptorBudget d = new DescriptorBudget(256, OWN);
        java.util.List<Boolean> reported = new java.util.ArrayList<>();
        AttemptCapacity room = new AttemptCapacity(d, reported::add);
        room.update(0);
        assertTrue(reported.isEmpty());
        takeAll(d, Purpose.WORKERS);
        room.update(0);
        room.update(1);
        d.release(Purpose.WORKERS);
        room.update(2);
        room.openFailed(10);
        room.update(10 + AttemptCapacity.PAUSE_MS - 1);
        room.update(10 + AttemptCapacity.PAUSE_MS);
        assertEquals(java.util.List.of(false, true, false, true), reported);
    }

    /** Only consecutive checks of a stalled loop count. */
    @Test
    void aLoopIsHungOnlyAfterConsecutiveStalledChecks() {
        EventLoopMonitor watch = new EventLoopMonitor(3);
        boolean[] hung = new boolean[9];
        long[] turns = {0, 0, 0, 1, 1, 2, 2, 2, 2};
        for (int i = 0; i < turns.length; i++) {
            hung[i] = watch.isHung(turns[i]);
        }
        for (int i = 0; i < turns.length; i++) {
            assertEquals(i == 8, hung[i], "check " + i);
        }
    }

    /** Descriptors held before sharing stay in use, and no more are given out until enough are released. */
    @Test
    void aSharingProcessTakesNoMoreUntilEnoughAreReleased() {
        DescriptorBudget d = new DescriptorBudget(384, 30);
        while (d.tryTake(Purpose.CLIENTS)) {
            continue;
        }
        int held = d.used(Purpose.CLIENTS);
        d.limitTo(384 / 2);
        assertFalse(d.tryTake(Purpose.CLIENTS));
        while (d.used(Purpose.CLIENTS) > held / 2) {
            d.release(Purpose.CLIENTS);
        }
        assertTrue(d.tryTake(Purpose.WORKERS));
    }
}
