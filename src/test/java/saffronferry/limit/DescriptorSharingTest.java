package saffronferry.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import saffronferry.limit.DescriptorBudget.Purpose;
import saffronferry.limit.DescriptorSharing.Role;

/** How the processes of a dispatcher divide its descriptors while one replaces another. */
class DescriptorSharingTest {
    private static final int OWN = 21;

    /** A process that tells the others its claim, and hears theirs, at its own polls. */
    private static final class Process {
        final DescriptorBudget budget;
        final DescriptorSharing sharing;
        Role role = Role.STARTING;
        DescriptorClaim told;

        Process(int limit) {
            budget = new DescriptorBudget(limit, OWN);
            sharing = new DescriptorSharing(budget);
            told = sharing.claim();
        }

        /** Tells the claim in force and then applies what the others have told, like a poll of the shared folder. */
        void poll(Process... others) {
            told = sharing.claim();
            sharing.update(role, others.length, claimsOf(others));
        }

        static List<DescriptorClaim> claimsOf(Process... others) {
            List<DescriptorClaim> claims = new ArrayList<>();
            for (Process other : others) {
                claims.add(other.told);
            }
            return claims;
        }

        int take(Purpose purpose, int wanted) {
            int taken = 0;
            while (taken < wanted && budget.tryTake(purpose)) {
                taken++;
            }
            return taken;
        }

        int held() {
            int held = OWN;
            for (Purpose purpose : Purpose.values()) {
                held += budget.used(purpose);
            }
            return held;
        }
    }

    private static void pollAll(Process a, Process b) {
        for (int i = 0; i < 3; i++) {
            a.poll(b);
            b.poll(a);
        }
    }

    private static Process serving(int limit) {
        Process process = new Process(limit);
        process.role = Role.ACCEPTING;
        process.poll();
        return process;
    }

    /** A process alone may hold everything, before and after it had a sibling. */
    @Test
    void aProcessAloneHasAllDescriptors() {
        for (int limit : new int[] {256, 384, 1024}) {
            Process a = serving(limit);
            assertEquals(limit / 2, a.budget.maximum(Purpose.CLIENTS));
            Process b = new Process(limit);
            pollAll(a, b);
            assertTrue(a.budget.maximum(Purpose.CLIENTS) < limit / 2);
            a.poll();
            assertEquals(limit / 2, a.budget.maximum(Purpose.CLIENTS));
        }
    }

    /** Clients may hold a third. While the successor starts, the process that serves keeps room for them. */
    @Test
    void aStartingProcessLeavesRoomForAThirdAsClients() {
        for (int limit : new int[] {256, 384, 1024}) {
            Process a = serving(limit);
            pollAll(a, new Process(limit));
            assertEquals(limit / 3, a.take(Purpose.CLIENTS, limit / 3));
            assertEquals(limit / 4, a.take(Purpose.WORKERS, limit / 4));
        }
    }

    /**
     * Guards against a successor that has half of the descriptors while its idle predecessor keeps the other half: its
     * clients waited in the backlog beyond their time.
     */
    @Test
    void aSuccessorHasRoomForAThirdAsClientsEachWithAnAttempt() {
        for (int limit : new int[] {256, 384, 1024}) {
            Process a = serving(limit);
            Process b = new Process(limit);
            pollAll(a, b);
            b.role = Role.ACCEPTING;
            a.role = Role.REPLACED;
            pollAll(a, b);
            int clients = limit * 80 / 256;
            assertEquals(clients, b.take(Purpose.CLIENTS, clients), "clients of " + limit);
            assertEquals(clients, b.take(Purpose.WORKERS, clients), "attempts of " + limit);
            b.take(Purpose.WORKERS, limit);
            assertTrue(b.take(Purpose.CLIENTS, limit) >= limit / 3 - clients, "a third of " + limit);
            assertEquals(6, b.take(Purpose.CONSOLE, 6));
        }
    }

    /** A replaced process keeps what it uses and can still start an attempt for each of its clients. */
    @Test
    void aReplacedProcessCanServeItsClientsToTheEnd() {
        Process a = serving(256);
        Process b = new Process(256);
        pollAll(a, b);
        assertEquals(40, a.take(Purpose.CLIENTS, 40));
        assertEquals(10, a.take(Purpose.WORKERS, 10));
        b.role = Role.ACCEPTING;
        a.role = Role.REPLACED;
        pollAll(a, b);
        assertEquals(30, a.take(Purpose.WORKERS, 30));
        int left = b.budget.maximum(Purpose.CLIENTS);
        for (int i = 0; i < 40; i++) {
            a.budget.release(Purpose.CLIENTS);
            a.budget.release(Purpose.WORKERS);
        }
        pollAll(a, b);
        assertTrue(b.budget.maximum(Purpose.CLIENTS) > left, "what the replaced process frees goes to the successor");
    }

    /** Guards against a process with few descriptors that closes each operator's call to make room for the next. */
    @Test
    void anOperatorsCallIsNeverClosedForWantOfDescriptorsWhenItIsTheOnlyOne() {
        for (int limit : new int[] {256, 384, 1024}) {
            Process a = serving(limit);
            Process b = new Process(limit);
            pollAll(a, b);
            assertOneCallLeavesRoom(b);
            b.role = Role.ACCEPTING;
            a.role = Role.REPLACED;
            pollAll(a, b);
            assertOneCallLeavesRoom(a);
            assertOneCallLeavesRoom(b);
        }
    }

    private static void assertOneCallLeavesRoom(Process process) {
        for (Purpose purpose : new Purpose[] {Purpose.CLIENTS, Purpose.WORKERS, Purpose.PROBES}) {
            process.take(purpose, Integer.MAX_VALUE);
        }
        AcceptGate gate = new AcceptGate(process.budget, Purpose.CONSOLE, DescriptorBudget.LOW_CONSOLE);
        assertTrue(gate.tryAcquire(0));
        gate.accepted();
        assertFalse(gate.isLow());
    }

    /** A sibling of a version that tells no claim is taken to hold an equal part. */
    @Test
    void aSiblingWithoutAClaimHasAnEqualPart() {
        DescriptorBudget budget = new DescriptorBudget(256, OWN);
        DescriptorSharing sharing = new DescriptorSharing(budget);
        sharing.update(Role.ACCEPTING, 1, List.of());
        assertEquals((256 - DescriptorBudget.RESERVED) / 2, sharing.claim().maximum());
    }

    /** Two processes together never hold more than the limit, whatever the order of polls, takes and role changes. */
    @Test
    void processesTogetherStayWithinTheLimitAtAnyMoment() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            int limit = new int[] {256, 384, 1024}[random.nextInt(3)];
            Process a = serving(limit);
            Process b = new Process(limit);
            a.poll(b);
            a.poll(b);
            for (int i = 0; i < 4_000; i++) {
                step(random, i, a, b);
                assertTrue(a.held() + b.held() <= limit - DescriptorBudget.RESERVED, "seed " + seed + " step " + i);
            }
        }
    }

    private static void step(Random random, int step, Process a, Process b) {
        Process process = random.nextBoolean() ? a : b;
        switch (random.nextInt(12)) {
            case 0 -> process.poll(process == a ? b : a);
            case 1 -> {
                // the successor announces itself first, and the predecessor leaves the address to it later
                b.role = step > 1_000 ? Role.ACCEPTING : b.role;
                a.role = step > 1_500 && b.role == Role.ACCEPTING ? Role.REPLACED : a.role;
            }
            case 2, 3, 4, 5 -> {
                Purpose used = Purpose.values()[random.nextInt(Purpose.values().length)];
                if (process.budget.used(used) > 0) {
                    process.budget.release(used);
                }
            }
            default -> process.budget.tryTake(Purpose.values()[random.nextInt(Purpose.values().length)]);
        }
    }
}
