package saffronferry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saffronferry.DispatcherHarness.MS;
import static saffronferry.DispatcherHarness.S;
import static saffronferry.DispatcherHarness.jobClass;
import static saffronferry.DispatcherHarness.worker;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.Idempotency;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Tenant;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.fleet.RendezvousOwners;
import saffronferry.fleet.WatchEnd;

class DispatcherTest {
    private final DispatcherHarness.Options options = new DispatcherHarness.Options();

    @Test
    void acceptanceIsSlotsOverSlotsPlusHeldSlots() {
        assertEquals(1.0, Dispatcher.acceptanceProbability(0, 10));
        assertEquals(10.0 / 15, Dispatcher.acceptanceProbability(5, 10), 1e-12);
        assertEquals(0.25, Dispatcher.acceptanceProbability(30, 10), 1e-12);
    }

    @Test
    void spillWeightFollowsThePaperAndIsNeverNegative() {
        // P = 0.5, R_y = 0.8: 1 - 0.2 / 0.5 = 0.6
        assertEquals(0.6, Dispatcher.spillWeight(0.5, 0.8), 1e-12);
        assertEquals(0, Dispatcher.spillWeight(0.5, 0.3)); // 1 - 0.7 / 0.5 < 0
        assertEquals(0, Dispatcher.spillWeight(1, 1)); // P = 1: nothing is spilled
        assertEquals(1, Dispatcher.spillWeight(0.5, 1));
    }

    @Test
    void sendsToFreeSlotsThenHoldsAndSendsTheOldestFirst() {
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        for (long id = 1; id <= 4; id++) {
            harness.request(id);
        }
        assertEquals(2, harness.sends.size()); // a worker of unknown size counts as two slots
        harness.endAttempt(1, 0, Outcome.OK);
        assertEquals("a", harness.lastWorkerOf(3));
        assertNull(harness.lastWorkerOf(4));
    }

    @Test
    void learnsSlotsFromReportsUnderLoad() {
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        harness.report("a", 5);
        for (long id = 1; id <= 6; id++) {
            harness.request(id);
        }
        assertEquals(5, harness.sends.size());
        // under full load a report of no free slot must not lower the learned number of slots
        harness.advance(4 * S);
        for (int i = 0; i < 20; i++) {
            harness.advance(20 * MS);
            harness.report("a", 0);
        }
        harness.endAttempt(1, 0, Outcome.OK);
        harness.request(7);
        assertTrue(harness.sends.size() >= 6);
    }

    /** A first report that misses a job on its way gives too few slots; later reports must outweigh it soon. */
    @Test
    void reportsOfAnIdleWorkerCorrectOneOfABusyWorker() {
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        harness.request(1);
        harness.advance(100 * MS);
        harness.report("a", 4); // five slots, one of them in use; a slow average would learn 4.1
        harness.endAttempt(1, 0, Outcome.OK);
        for (int i = 0; i < 3; i++) {
            harness.advance(2 * S);
            harness.report("a", 5);
        }
        for (long id = 2; id <= 7; id++) {
            harness.request(id);
        }
        assertEquals(1 + 5, harness.sends.size());
    }

    /** A class that runs longer than the initial estimate must not keep its healthy workers out of service. */
    @Test
    void workersAreNotSuspectedForLongJobsOnceTheirRunningTimeIsLearned() {
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        harness.report("a", 4);
        for (long id = 1; id <= 6; id++) {
            harness.request(id, 0, -1, 60 * S, false);
            harness.advance(4 * S);
            harness.endAttempt(id, 0, Outcome.OK);
        }
        long before = harness.sends.size();
        for (long id = 7; id <= 9; id++) {
            harness.request(id, 0, -1, 60 * S, false);
        }
        harness.advance(5 * S);
        harness.request(10, 0, -1, 60 * S, false);
        assertEquals(before + 4, harness.sends.size()); // a suspect worker would get no more
    }

    /** One broken connection must not take a healthy worker out of service and move its jobs. */
    @Test
    void aWorkerIsSuspectedAfterTwoResetsInARowNotAfterOne() {
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        harness.report("a", 4);
        harness.request(1);
        harness.request(2);
        harness.endAttempt(1, 0, Outcome.RESET);
        assertEquals(3, harness.sends.size()); // sent again at once
        harness.request(3);
        assertEquals(4, harness.sends.size());
        harness.endAttempt(2, 0, Outcome.RESET); // without a sign of life in between
        harness.request(4);
        assertEquals(4, harness.sends.size());
    }

    /** A worker that fails its jobs at once always has free slots, and would attract all jobs. */
    @Test
    void aWorkerThatFailsJobsGetsNeitherTheirRetriesNorFurtherJobs() {
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"), worker("b"));
        harness.report("a", 5);
        harness.request(1);
        String failing = harness.lastWorkerOf(1);
        harness.endAttempt(1, 0, Outcome.ERROR);
        assertNotEquals(failing, harness.lastWorkerOf(1));
        long before = harness.sendCount(failing);
        long id = 2;
        while (harness.sendCount(failing) == before) {
            harness.request(id++);
        }
        harness.endAttempt(id - 1, 0, Outcome.ERROR);
        before = harness.sendCount(failing);
        for (int i = 0; i < 12; i++) {
            harness.request(id++);
        }
        assertEquals(before, harness.sendCount(failing));
    }

    @Test
    void aDrainingWorkerGetsNoJobs() {
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"), worker("b"));
        harness.change(worker("a", 0, WorkerState.DRAINING, 0));
        for (long id = 1; id <= 4; id++) {
            harness.request(id);
        }
        assertEquals(0, harness.sendCount("a"));
        assertEquals(2, harness.sendCount("b"));
    }

    @Test
    void aWorkerMissingFromAWholeListGetsNoJobs() {
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"), worker("b"));
        harness.list(worker("b"));
        for (long id = 1; id <= 4; id++) {
            harness.request(id);
        }
        assertEquals(0, harness.sendCount("a"));
    }

    @Test
    void aRequestThatArrivesWithNoTimeLeftIsRefusedAtOnce() {
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list();
        harness.request(1, 0, -1, 10 * MS, false);
        assertEquals("refused", harness.finals.get(1L));
    }

    @Test
    void aHeldRequestIsRefusedBeforeItsDeadline() {
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list();
        harness.request(1, 0, -1, 5 * S, false);
        harness.advance(5 * S - 1);
        assertEquals("refused", harness.finals.get(1L));
    }

    @Test
    void retryAfterIsLimitedByTheSettings() {
        options.maxRetryAfter = 100 * MS;
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        for (long id = 1; id <= 40; id++) {
            harness.request(id);
        }
        harness.request(41, 0, -1, 10 * MS, false);
        assertEquals(100 * MS, harness.retryAfters.get(41L));
        options.maxRetryAfter = 0;
        DispatcherHarness withoutAdvice = new DispatcherHarness(options.settings()).list();
        withoutAdvice.request(1, 0, -1, 10 * MS, false);
        assertEquals(0, withoutAdvice.retryAfters.get(1L));
    }

    /** With no worker left that may take it, a request is answered at once instead of near its deadline. */
    @Test
    void aRequestThatNoWorkerMayTakeEndsAtOnce() {
        options.classes = List.of(jobClass(Idempotency.KEYED, DedupScope.CELL));
        options.zones = 2;
        DispatcherHarness harness =
                new DispatcherHarness(options.settings()).list(worker("a"), worker("b", 1, WorkerState.IN_SERVICE, 0));
        harness.request(1);
        harness.change(worker("a", 0, WorkerState.GONE, 0));
        harness.endAttempt(1, 0, Outcome.RESET);
        harness.advance(100 * MS);
        assertEquals("failed", harness.finals.get(1L));
    }

    @Test
    void anUnsafeRequestThatMayHaveRunFailsAndIsNotRepeated() {
        options.classes = List.of(jobClass(Idempotency.UNSAFE, DedupScope.ALL));
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"), worker("b"));
        harness.request(1);
        harness.endAttempt(1, 0, Outcome.ERROR);
        assertEquals("failed", harness.finals.get(1L));
        harness.request(2);
        harness.endAttempt(2, 0, Outcome.FULL); // proof that it did not run
        assertEquals(3, harness.sends.size());
    }

    @Test
    void aKeyedRequestIsRepeatedOnlyInItsGroupAndWindow() {
        options.zones = 2;
        options.classes = List.of(jobClass(Idempotency.KEYED, DedupScope.CELL));
        DispatcherHarness harness = new DispatcherHarness(options.settings())
                .list(worker("a"), new Contract.WorkerInfo("b", WorkerState.IN_SERVICE, 0, 0, 0, 9));
        harness.request(1);
        String first = harness.lastWorkerOf(1);
        harness.endAttempt(1, 0, Outcome.ERROR);
        harness.advance(S);
        assertEquals(first, harness.lastWorkerOf(1)); // the other worker is of another cell
        assertEquals(2, harness.sends.size());
    }

    @Test
    void aSilentWorkerIsSuspectedAndItsJobsAreHedged() {
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"), worker("b"));
        for (int round = 0; round < 200; round++) {
            harness.request(1000 + round);
            harness.advance(50 * MS);
            harness.endAttempt(1000 + round, 0, Outcome.OK);
        }
        harness.request(1);
        String silent = harness.lastWorkerOf(1);
        harness.advance(4 * S);
        assertNotEquals(silent, harness.lastWorkerOf(1), "the job was not hedged");
        long before = harness.sendCount(silent);
        harness.endAttempt(1, 1, Outcome.OK);
        for (long id = 3; id < 8; id++) {
            harness.request(id);
        }
        assertEquals(before, harness.sendCount(silent));
    }

    @Test
    void theBackoffGrowsWhileAWorkerAnswersFull() {
        options.maxAttempts = 100;
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        harness.request(1);
        for (int i = 0; i < 400; i++) {
            DispatcherHarness.Send last = harness.sends.get(harness.sends.size() - 1);
            if (last.at() == harness.now || harness.sends.size() > 1 && i == 0) {
                harness.endAttempt(1, last.attempt(), Outcome.FULL);
            }
            harness.advance(10 * MS);
            DispatcherHarness.Send next = harness.sends.get(harness.sends.size() - 1);
            if (next != last) {
                harness.endAttempt(1, next.attempt(), Outcome.FULL);
            }
        }
        assertTrue(
                harness.sends.size() <= 7,
                "a worker that answers full was tried " + harness.sends.size() + " times in 4 s");
        assertTrue(harness.sends.size() >= 2);
    }

    @Test
    void workersOfAZoneWithoutDispatchersAreAdopted() {
        options.zones = 2;
        DispatcherHarness harness = new DispatcherHarness(options.settings())
                .list(worker("a"), worker("far", 1, WorkerState.IN_SERVICE, 0));
        for (long id = 1; id <= 4; id++) {
            harness.request(id);
        }
        assertEquals(2, harness.sendCount("a"));
        assertEquals(2, harness.sendCount("far"));
        assertTrue(
                harness.sends.get(0).worker().equals("a")
                        && harness.sends.get(1).worker().equals("a"),
                "own zone first");
    }

    @Test
    void everyWorkerHasOneOwnerAmongTheDispatchersOfAZone() {
        options.peers = 2;
        Contract.WorkerInfo[] workers = new Contract.WorkerInfo[40];
        for (int i = 0; i < workers.length; i++) {
            workers[i] = worker("10.0.0." + i);
        }
        DispatcherHarness one = new DispatcherHarness(options.settings()).list(workers);
        options.self = 1;
        DispatcherHarness two = new DispatcherHarness(options.settings()).list(workers);
        one.dispatcher.peerMessage(one.now, 1, two.sentMessages.get(0));
        two.dispatcher.peerMessage(two.now, 0, one.sentMessages.get(0));
        one.advance(100 * MS);
        two.advance(100 * MS);
        for (long id = 1; id <= 200; id++) {
            one.request(id);
            two.request(id);
        }
        assertTrue(one.sends.size() > 20 && two.sends.size() > 20);
        for (DispatcherHarness.Send s : one.sends) {
            assertEquals(0, two.sendCount(s.worker()), s.worker() + " gets jobs from both");
        }
    }

    @Test
    void aSlotOfAnotherOwnerIsUsedOnlyWhenOfferedAndTheOwnerIsTold() {
        options.peers = 2;
        DispatcherHarness harness =
                new DispatcherHarness(options.settings()).list(worker("a"), worker("b"), worker("c"), worker("d"));
        PeerMessage hello = new PeerMessage(PeerMessage.Type.OFFERS, 0, 1, 1, 1, 50 * MS);
        harness.dispatcher.peerMessage(harness.now, 1, hello.encode());
        harness.advance(60 * MS);
        for (long id = 1; id <= 20; id++) {
            harness.request(id);
        }
        int sentToOwned = harness.sends.size();
        assertTrue(sentToOwned < 8, "some workers belong to the other dispatcher");
        String foreign = List.of("a", "b", "c", "d").stream()
                .filter(w -> harness.sendCount(w) == 0)
                .findFirst()
                .orElseThrow();
        PeerMessage offer = new PeerMessage(PeerMessage.Type.OFFERS, 0, 1, 1, 1, 50 * MS);
        offer.addSlots(new DispatcherState.Worker(foreign, 0).hash, 1);
        harness.sentMessages.clear();
        harness.dispatcher.peerMessage(harness.now, 1, offer.encode());
        assertEquals(1, harness.sendCount(foreign));
        assertTrue(harness.sentMessages.stream()
                .map(b -> PeerMessage.decode(b, 0))
                .anyMatch(m -> m.type == PeerMessage.Type.BORROWS));
    }

    /**
     * A dispatcher that does not own a worker must time its warm-up too, or it never uses a slot offered there again.
     */
    @Test
    void anOfferedSlotOfAColdWorkerIsUsedOnceTheWorkerIsWarm() {
        options.peers = 2;
        options.zones = 2;
        DispatcherHarness harness = new DispatcherHarness(options.settings());
        harness.list(worker("a"), worker("far", 1, WorkerState.IN_SERVICE, harness.now));
        PeerMessage offer = new PeerMessage(PeerMessage.Type.OFFERS, 1, 1, 1, 1, 50 * MS);
        offer.addSlots(new DispatcherState.Worker("far", 0).hash, 1);
        for (int after : new int[] {1, 6, 11}) { // often enough for the peer not to count as silent
            harness.advance((after == 1 ? 1 : 5) * S);
            harness.dispatcher.peerMessage(harness.now, 1, offer.encode());
            for (long id = 100 * after; id < 100 * after + 20; id++) {
                harness.request(id);
            }
            assertEquals(after > 10 ? 1 : 0, harness.sendCount("far"), "after " + after + " s");
        }
    }

    @Test
    void spillsOnlyToASlotThatANeighbourOffers() {
        options.peers = 2;
        options.zones = 2;
        DispatcherHarness harness = new DispatcherHarness(options.settings())
                .list(worker("a"), worker("far", 1, WorkerState.IN_SERVICE, 0));
        PeerMessage offer = new PeerMessage(PeerMessage.Type.OFFERS, 1, 1, 1, 1, 50 * MS);
        offer.addSlots(new DispatcherState.Worker("far", 0).hash, 3);
        harness.dispatcher.peerMessage(harness.now, 1, offer.encode());
        for (long id = 1; id <= 60; id++) {
            harness.request(id);
        }
        assertEquals(2, harness.sendCount("a"));
        assertEquals(3, harness.sendCount("far")); // three were offered, each is used once
        // the lender must be told, or it uses the slots too
        int last = harness.messageReceivers.lastIndexOf(1);
        assertTrue(harness.sentMessages.stream()
                .map(b -> PeerMessage.decode(b, 0))
                .anyMatch(m -> m.type == PeerMessage.Type.BORROWS && m.entryValues[0] == 3));
        assertEquals(1, harness.messageReceivers.get(last));
    }

    /** A zone that lost its workers must not hold and refuse jobs while a neighbour's workers stand idle. */
    @Test
    void heldJobsAreSpilledWhenANeighbourOffersSlots() {
        options.peers = 2;
        options.zones = 2;
        DispatcherHarness harness =
                new DispatcherHarness(options.settings()).list(worker("far", 1, WorkerState.IN_SERVICE, 0));
        harness.dispatcher.peerMessage(
                harness.now, 1, new PeerMessage(PeerMessage.Type.OFFERS, 1, 1, 1, 1, 50 * MS).encode());
        harness.advance(S);
        for (long id = 1; id <= 8; id++) {
            harness.request(id);
        }
        assertEquals(0, harness.sends.size());
        for (int i = 0; i < 5; i++) {
            PeerMessage offer = new PeerMessage(PeerMessage.Type.OFFERS, 1, 1, 1, 1, 50 * MS);
            offer.addSlots(new DispatcherState.Worker("far", 0).hash, 4);
            harness.dispatcher.peerMessage(harness.now, 1, offer.encode());
        }
        assertTrue(harness.sends.size() >= 4, harness.sends.size() + " sent"); // P is 1/9 at first
    }

    /** With lost datagrams, one missed end of a job kept a slot out of use for 25 s. */
    @Test
    void aSlotIsFreeAgainThoughTheMessageOfItsJobsEndIsLost() {
        options.peers = 2;
        for (boolean reportedAgain : new boolean[] {true, false}) {
            DispatcherHarness harness =
                    new DispatcherHarness(options.settings()).list(worker("a"), worker("b"), worker("c"), worker("d"));
            harness.dispatcher.peerMessage(
                    harness.now, 1, new PeerMessage(PeerMessage.Type.OFFERS, 0, 1, 1, 1, 50 * MS).encode());
            harness.advance(60 * MS);
            for (String own : List.of("a", "b", "c", "d")) {
                PeerMessage borrows = new PeerMessage(PeerMessage.Type.BORROWS, 0, 1, 1, 1, 50 * MS);
                borrows.addSlots(new DispatcherState.Worker(own, 0).hash, 2);
                harness.dispatcher.peerMessage(harness.now, 1, borrows.encode());
            }
            harness.request(1);
            assertEquals(0, harness.sends.size(), "all slots are in use by the peer's jobs");
            if (reportedAgain) {
                harness.dispatcher.peerMessage(
                        harness.now, 1, new PeerMessage(PeerMessage.Type.HOLDS, 0, 1, 1, 1, 50 * MS).encode());
            } else {
                harness.advance(1_900 * MS);
            }
            assertEquals(
                    1,
                    harness.sends.size(),
                    reportedAgain ? "the peer reports no jobs" : "the peer reports nothing more");
        }
    }

    /** Jobs on borrowed slots are reported again until there are none and that has been reported too. */
    @Test
    void jobsOnBorrowedSlotsAreReportedAgainUntilNoneIsReported() {
        options.peers = 2;
        options.zones = 2;
        DispatcherHarness harness =
                new DispatcherHarness(options.settings()).list(worker("far", 1, WorkerState.IN_SERVICE, 0));
        PeerMessage offer = new PeerMessage(PeerMessage.Type.OFFERS, 1, 1, 1, 1, 50 * MS);
        offer.addSlots(new DispatcherState.Worker("far", 0).hash, 4);
        harness.dispatcher.peerMessage(harness.now, 1, offer.encode());
        for (long id = 1; id <= 30; id++) {
            harness.request(id);
        }
        int borrowed = harness.sends.size();
        assertTrue(borrowed > 0);
        harness.advance(1_100 * MS);
        harness.sends.forEach(s -> harness.endAttempt(s.id(), 0, Outcome.OK));
        harness.advance(1_600 * MS);
        List<String> reports = harness.sentMessages.stream()
                .map(b -> PeerMessage.decode(b, 0))
                .filter(m -> m.type == PeerMessage.Type.HOLDS)
                .map(m -> m.entryCount == 0 ? "none" : Integer.toString(m.entryValues[0]))
                .toList();
        assertEquals(List.of(Integer.toString(borrowed), Integer.toString(borrowed), "none"), reports);
    }

    /** In the simulator one job of 14 s of work overloaded four cold workers, one after the other. */
    @Test
    void aJobThatEndedWithAResetIsNotSentToAColdWorker() {
        options.classes = List.of(new JobClass("c", 9 * S, 2, 30 * S, 1, 0.2, Idempotency.SAFE, DedupScope.ALL, 0, -1));
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        harness.request(1, 0, -1, 30 * S, false);
        harness.change(worker("a", 0, WorkerState.DRAINING, 0), worker("cold", 0, WorkerState.IN_SERVICE, harness.now));
        harness.endAttempt(1, 0, Outcome.RESET);
        harness.advance(S);
        assertEquals(0, harness.sendCount("cold"));
        harness.request(2);
        harness.advance(9 * S);
        assertEquals("cold", harness.lastWorkerOf(2), "other jobs are sent to the cold worker");
        harness.advance(2 * S);
        assertEquals("cold", harness.lastWorkerOf(1), "the reset job is sent there once the worker is warm");
    }

    private static List<String> reportedBorrows(DispatcherHarness harness) {
        return harness.sentMessages.stream()
                .map(b -> PeerMessage.decode(b, 0))
                .filter(m -> m.type == PeerMessage.Type.BORROWS)
                .map(m -> m.workerHashes[0] + " " + m.entryValues[0])
                .toList();
    }

    /**
     * When eight dispatchers met, the new owners of workers counted slots as free that had jobs on them, or as in use
     * by jobs that had ended.
     */
    @Test
    void aNewOwnerIsToldOfTheJobsOnItsWorkerAndOfTheirEnds() {
        options.peers = 2;
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"), worker("b"));
        for (long id = 1; id <= 4; id++) {
            harness.request(id); // alone it owns both workers
        }
        byte[] hello = new PeerMessage(PeerMessage.Type.OFFERS, 0, 1, 1, 1, 50 * MS).encode();
        harness.dispatcher.peerMessage(harness.now, 1, hello);
        harness.advance(40 * MS);
        int a = new DispatcherState.Worker("a", 0).hash;
        int b = new DispatcherState.Worker("b", 0).hash;
        String moved = reportedBorrows(harness).contains(a + " 2") ? "a" : "b";
        int hash = moved.equals("a") ? a : b;
        assertEquals(List.of(hash + " 2"), reportedBorrows(harness)); // the peer owns one of the two now, with its jobs
        for (DispatcherHarness.Send send : List.copyOf(harness.sends)) {
            harness.endAttempt(send.id(), 0, Outcome.OK);
        }
        assertEquals(List.of(hash + " 2", hash + " 1", hash + " 0"), reportedBorrows(harness));
    }

    /** The end of a job is reported to its worker's present owner; the former owner must drop the job on its own. */
    @Test
    void jobsReportedForAWorkerThatChangedItsOwnerAreDropped() {
        options.peers = 3;
        // a deadline so long that no job counts as ended by its age
        options.classes =
                List.of(new JobClass("c", 300 * MS, 2, 90 * S, 1, 0.2, Idempotency.KEYED, DedupScope.ALL, 7 * S, -1));
        WorkerInfo[] all = {worker("a"), worker("b"), worker("c"), worker("d")};
        int[] hashes = Arrays.stream(all)
                .mapToInt(w -> new DispatcherState.Worker(w.address(), 0).hash)
                .sorted()
                .toArray();
        int[] ownersOfTwo = RendezvousOwners.assign(hashes, new int[] {0, 2});
        int[] ownersOfThree = RendezvousOwners.assign(hashes, new int[] {0, 1, 2});
        int moving = IntStream.range(0, 4)
                .filter(i -> ownersOfTwo[i] == 0 && ownersOfThree[i] != 0)
                .findFirst()
                .orElseThrow();
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(all);
        byte[] hello = new PeerMessage(PeerMessage.Type.OFFERS, 0, 1, 1, 1, 50 * MS).encode();
        PeerMessage borrows = new PeerMessage(PeerMessage.Type.BORROWS, 0, 1, 1, 1, 50 * MS);
        borrows.addSlots(hashes[moving], 2);
        harness.dispatcher.peerMessage(harness.now, 2, borrows.encode());
        harness.advance(40 * MS);
        harness.request(1);
        harness.request(2);
        harness.request(3); // two of its four slots are in use by the peer's jobs
        assertEquals(2, harness.sends.size());
        for (long id = 1; id <= 3; id++) {
            harness.endAttempt(id, 0, Outcome.OK);
        }
        harness.dispatcher.peerMessage(harness.now, 1, hello);
        for (int i = 0; i < 20; i++) { // peer 1 falls silent, peer 2 goes on
            harness.advance(S);
            harness.dispatcher.peerMessage(harness.now, 2, hello);
        }
        for (long id = 11; id <= 14; id++) {
            harness.request(id);
        }
        assertEquals(7, harness.sends.size());
    }

    /** With 24 dispatchers in six zones, one zone held 27 jobs while another had 17 free slots. */
    @Test
    void anOfferIsUsedThoughMostNeighboursOfferNothing() {
        options.peers = 41;
        options.zones = 2;
        DispatcherHarness harness =
                new DispatcherHarness(options.settings()).list(worker("far", 1, WorkerState.IN_SERVICE, 0));
        for (int peer = 2; peer <= 40; peer++) {
            harness.dispatcher.peerMessage(
                    harness.now, peer, new PeerMessage(PeerMessage.Type.OFFERS, 1, 1, 1, 1, 50 * MS).encode());
        }
        for (long id = 1; id <= 8; id++) {
            harness.request(id);
        }
        PeerMessage offer = new PeerMessage(PeerMessage.Type.OFFERS, 1, 1, 1, 1, 50 * MS);
        offer.addSlots(new DispatcherState.Worker("far", 0).hash, 4);
        for (int i = 0; i < 5; i++) {
            harness.dispatcher.peerMessage(harness.now, 1, offer.encode());
        }
        assertTrue(harness.sendCount("far") >= 4, harness.sendCount("far") + " sent");
    }

    @Test
    void aMessageWithPBelowOneIsAnsweredWithAnOfferAtOnce() {
        options.peers = 2;
        DispatcherHarness harness =
                new DispatcherHarness(options.settings()).list(worker("a"), worker("b"), worker("c"), worker("d"));
        harness.dispatcher.peerMessage(
                harness.now, 1, new PeerMessage(PeerMessage.Type.OFFERS, 0, 1, 1, 1, 50 * MS).encode());
        harness.advance(60 * MS);
        harness.sentMessages.clear();
        PeerMessage asking = new PeerMessage(PeerMessage.Type.OFFERS, 0, 0.5, 0.5, 1, 50 * MS);
        harness.dispatcher.peerMessage(harness.now, 1, asking.encode());
        assertEquals(1, harness.sentMessages.size());
        assertTrue(PeerMessage.decode(harness.sentMessages.get(0), 0).entryCount > 0);
        for (long id = 1; id <= 20; id++) {
            harness.request(id);
        }
        harness.advance(500 * MS);
        PeerMessage lastSent = PeerMessage.decode(harness.sentMessages.get(harness.sentMessages.size() - 1), 0);
        assertTrue(lastSent.entryCount == 0 && lastSent.acceptance < 1);
    }

    @Test
    void newRequestsAreSentBeforeMarkedRepeats() {
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        harness.request(1);
        harness.request(2);
        harness.request(3, 0, -1, 5 * S, true);
        harness.request(4);
        harness.endAttempt(1, 0, Outcome.OK);
        assertEquals("a", harness.lastWorkerOf(4));
        assertNull(harness.lastWorkerOf(3));
    }

    @Test
    void requestsOverATenantsShareAreSentLast() {
        options.tenants = List.of(new Tenant("big", 1), new Tenant("small", 100));
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        for (long id = 1; id <= 5; id++) {
            harness.request(id, 0, 0, 5 * S, false);
        }
        harness.request(6, 0, 1, 5 * S, false);
        harness.endAttempt(1, 0, Outcome.OK);
        assertEquals("a", harness.lastWorkerOf(6));
        assertNull(harness.lastWorkerOf(3));
    }

    @Test
    void subscribesOnDemandAndAgainAfterTheWatchEnds() {
        options.onDemand = true;
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        assertEquals(1, harness.subscriptions);
        harness.dispatcher.workerListFailed(harness.now, WatchEnd.ENDED);
        harness.advance(S);
        assertEquals(2, harness.subscriptions);
    }

    /** After several failures of discovery the list must not stay outdated for seconds. */
    @Test
    void subscribesAgainWithinASecondHoweverOftenDiscoveryFailed() {
        options.onDemand = true;
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        for (int i = 1; i <= 8; i++) {
            assertEquals(i, harness.subscriptions);
            harness.dispatcher.workerListFailed(harness.now, WatchEnd.ENDED);
            harness.advance(S);
        }
    }

    @Test
    void malformedMessagesAreIgnored() {
        options.peers = 2;
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        for (byte[] bytes : List.of(
                new byte[0], new byte[] {1, 2}, new byte[] {9, 0, 0, 0, 0, 0, 77}, new byte[] {0, 0, 0, 0, 0, 0, 1, 5
                })) {
            harness.dispatcher.peerMessage(harness.now, 1, bytes);
        }
        harness.dispatcher.peerMessage(
                harness.now, 99, new PeerMessage(PeerMessage.Type.OFFERS, 0, 1, 1, 1, 0).encode());
        harness.request(1);
        assertFalse(harness.sends.isEmpty());
    }

    @Test
    void anIllegalSettingIsNamed() {
        options.zone = 5;
        Exception e = assertThrows(IllegalArgumentException.class, options::settings);
        assertEquals("illegal setting zone: 5", e.getMessage());
    }
}
