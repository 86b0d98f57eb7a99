package saffronferry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import saffronferry.Contract.Effect;
import saffronferry.Contract.Group;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Tenant;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.fleet.Owners;
import saffronferry.fleet.WatchEnd;

class DispatcherTest {
    private final Rig.Plan plan = new Rig.Plan();

    @Test
    void acceptanceIsSlotsOverSlotsAndHeld() {
        assertEquals(1.0, Dispatcher.accept(0, 10));
        assertEquals(10.0 / 15, Dispatcher.accept(5, 10), 1e-12);
        assertEquals(0.25, Dispatcher.accept(30, 10), 1e-12);
    }

    @Test
    void drawWeightIsThePapersAndNeverNegative() {
        // P = 0.5, R_y = 0.8: 1 - 0.2 / 0.5 = 0.6
        assertEquals(0.6, Dispatcher.drawWeight(0.5, 0.8), 1e-12);
        assertEquals(0, Dispatcher.drawWeight(0.5, 0.3)); // 1 - 0.7 / 0.5 < 0
        assertEquals(0, Dispatcher.drawWeight(1, 1)); // nothing to give away
        assertEquals(1, Dispatcher.drawWeight(0.5, 1));
    }

    @Test
    void placesAtOnceThenHoldsAndLetsTheOldestLeaveFirst() {
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        for (long id = 1; id <= 4; id++) {
            rig.ask(id);
        }
        assertEquals(2, rig.sends.size()); // an unknown worker counts two slots
        rig.answer(1, 0, Outcome.OK);
        assertEquals("a", rig.workerOf(3));
        assertNull(rig.workerOf(4));
    }

    @Test
    void learnsSlotsFromReportsUnderLoad() {
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        rig.report("a", 5);
        for (long id = 1; id <= 6; id++) {
            rig.ask(id);
        }
        assertEquals(5, rig.sends.size());
        // under full load a report of no free slot must not shrink what was learned
        rig.run(4 * Rig.S);
        for (int i = 0; i < 20; i++) {
            rig.run(20 * Rig.MS);
            rig.report("a", 0);
        }
        rig.answer(1, 0, Outcome.OK);
        rig.ask(7);
        assertTrue(rig.sends.size() >= 6);
    }

    /** Guards against slots left idle: a first report that missed jobs on their way must not weigh long. */
    @Test
    void aReportFromAWorkerAtRestCorrectsOneFromABusyMoment() {
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        rig.ask(1);
        rig.run(100 * Rig.MS);
        rig.report("a", 4); // five slots, of which one is taken; the old average would make it 4.1
        rig.answer(1, 0, Outcome.OK);
        for (int i = 0; i < 3; i++) {
            rig.run(2 * Rig.S);
            rig.report("a", 5);
        }
        for (long id = 2; id <= 7; id++) {
            rig.ask(id);
        }
        assertEquals(1 + 5, rig.sends.size());
    }

    /** Guards against healthy workers left out because a class runs longer than was guessed at first. */
    @Test
    void workersThatRunLongJobsAreNoSuspectsOnceSomeHaveEnded() {
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        rig.report("a", 4);
        for (long id = 1; id <= 6; id++) {
            rig.ask(id, 0, -1, 60 * Rig.S, false);
            rig.run(4 * Rig.S);
            rig.answer(id, 0, Outcome.OK);
        }
        long before = rig.sends.size();
        for (long id = 7; id <= 9; id++) {
            rig.ask(id, 0, -1, 60 * Rig.S, false);
        }
        rig.run(5 * Rig.S);
        rig.ask(10, 0, -1, 60 * Rig.S, false);
        assertEquals(before + 4, rig.sends.size()); // a suspect would get no more
    }

    /** Guards against healthy workers left out, and their jobs moved, for one connection that broke. */
    @Test
    void oneBrokenConnectionIsNoBrokenWorkerButSeveralAre() {
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        rig.report("a", 4);
        rig.ask(1);
        rig.ask(2);
        rig.answer(1, 0, Outcome.RESET);
        assertEquals(3, rig.sends.size()); // sent again at once
        rig.ask(3);
        assertEquals(4, rig.sends.size());
        rig.answer(2, 0, Outcome.RESET); // and the worker gave no sign in between
        rig.ask(4);
        assertEquals(4, rig.sends.size());
    }

    /** Guards against a worker that fails its jobs at once, is therefore always free, and draws them all. */
    @Test
    void aWorkerThatFailsJobsGetsNeitherTheSameNorAllOthers() {
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("b"));
        rig.report("a", 5);
        rig.ask(1);
        String bad = rig.workerOf(1);
        rig.answer(1, 0, Outcome.ERROR);
        assertNotEquals(bad, rig.workerOf(1));
        long before = rig.sentTo(bad);
        long id = 2;
        while (rig.sentTo(bad) == before) {
            rig.ask(id++);
        }
        rig.answer(id - 1, 0, Outcome.ERROR);
        before = rig.sentTo(bad);
        for (int i = 0; i < 12; i++) {
            rig.ask(id++);
        }
        assertEquals(before, rig.sentTo(bad));
    }

    @Test
    void aDrainingWorkerGetsNothingMore() {
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("b"));
        rig.change(Rig.worker("a", 0, WorkerState.DRAINING, 0));
        for (long id = 1; id <= 4; id++) {
            rig.ask(id);
        }
        assertEquals(0, rig.sentTo("a"));
        assertEquals(2, rig.sentTo("b"));
    }

    @Test
    void aWorkerMissingFromAWholeListIsGone() {
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("b"));
        rig.list(Rig.worker("b"));
        for (long id = 1; id <= 4; id++) {
            rig.ask(id);
        }
        assertEquals(0, rig.sentTo("a"));
    }

    @Test
    void aRequestThatArrivesWithNoTimeLeftIsRefusedAtOnce() {
        Rig rig = new Rig(plan.settings()).list();
        rig.ask(1, 0, -1, 10 * Rig.MS, false);
        assertEquals("refused", rig.finals.get(1L));
    }

    @Test
    void aHeldRequestIsRefusedBeforeTheClientLeaves() {
        Rig rig = new Rig(plan.settings()).list();
        rig.ask(1, 0, -1, 5 * Rig.S, false);
        rig.run(5 * Rig.S - 1);
        assertEquals("refused", rig.finals.get(1L));
    }

    @Test
    void aRefusalSaysWhenToComeBackWithinWhatTheSettingsAllow() {
        plan.maxRetryAfter = 100 * Rig.MS;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        for (long id = 1; id <= 40; id++) {
            rig.ask(id);
        }
        rig.ask(41, 0, -1, 10 * Rig.MS, false);
        assertEquals(100 * Rig.MS, rig.retryAfters.get(41L));
        plan.maxRetryAfter = 0;
        Rig silent = new Rig(plan.settings()).list();
        silent.ask(1, 0, -1, 10 * Rig.MS, false);
        assertEquals(0, silent.retryAfters.get(1L));
    }

    /** Guards against an answer held back until near the deadline though nothing can come of waiting. */
    @Test
    void aRequestThatNoWorkerMayTakeAnyMoreEndsAtOnce() {
        plan.classes = List.of(Rig.jobClass(Effect.KEYED, Group.CELL));
        plan.zones = 2;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("b", 1, WorkerState.IN_SERVICE, 0));
        rig.ask(1);
        rig.change(Rig.worker("a", 0, WorkerState.GONE, 0));
        rig.answer(1, 0, Outcome.RESET);
        rig.run(100 * Rig.MS);
        assertEquals("failed", rig.finals.get(1L));
    }

    @Test
    void anUnsafeRequestThatMayHaveRunFailsAndIsNotRepeated() {
        plan.classes = List.of(Rig.jobClass(Effect.UNSAFE, Group.ALL));
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("b"));
        rig.ask(1);
        rig.answer(1, 0, Outcome.ERROR);
        assertEquals("failed", rig.finals.get(1L));
        rig.ask(2);
        rig.answer(2, 0, Outcome.FULL); // proof that it did not run
        assertEquals(3, rig.sends.size());
    }

    @Test
    void aKeyedRequestIsRepeatedOnlyInItsGroupAndWindow() {
        plan.zones = 2;
        plan.classes = List.of(Rig.jobClass(Effect.KEYED, Group.CELL));
        Rig rig = new Rig(plan.settings())
                .list(Rig.worker("a"), new Contract.WorkerInfo("b", WorkerState.IN_SERVICE, 0, 0, 0, 9));
        rig.ask(1);
        String first = rig.workerOf(1);
        rig.answer(1, 0, Outcome.ERROR);
        rig.run(Rig.S);
        assertEquals(first, rig.workerOf(1)); // the other worker is of another cell
        assertEquals(2, rig.sends.size());
    }

    @Test
    void aSilentWorkerIsSuspectedAndItsJobsMove() {
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("b"));
        for (int round = 0; round < 200; round++) {
            rig.ask(1000 + round);
            rig.run(50 * Rig.MS);
            rig.answer(1000 + round, 0, Outcome.OK);
        }
        rig.ask(1);
        String silent = rig.workerOf(1);
        rig.run(4 * Rig.S);
        assertNotEquals(silent, rig.workerOf(1), "the job was not hedged");
        long before = rig.sentTo(silent);
        rig.answer(1, 1, Outcome.OK);
        for (long id = 3; id < 8; id++) {
            rig.ask(id);
        }
        assertEquals(before, rig.sentTo(silent));
    }

    @Test
    void aWorkerThatKeepsSayingFullIsLeftAloneLonger() {
        plan.maxAttempts = 100;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        rig.ask(1);
        for (int i = 0; i < 400; i++) {
            Rig.Send last = rig.sends.get(rig.sends.size() - 1);
            if (last.at() == rig.now || rig.sends.size() > 1 && i == 0) {
                rig.answer(1, last.attempt(), Outcome.FULL);
            }
            rig.run(10 * Rig.MS);
            Rig.Send next = rig.sends.get(rig.sends.size() - 1);
            if (next != last) {
                rig.answer(1, next.attempt(), Outcome.FULL);
            }
        }
        assertTrue(rig.sends.size() <= 7, "a draining worker was tried " + rig.sends.size() + " times in 4 s");
        assertTrue(rig.sends.size() >= 2);
    }

    @Test
    void theOnlyDispatcherAdoptsAZoneThatHasNone() {
        plan.zones = 2;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("far", 1, WorkerState.IN_SERVICE, 0));
        for (long id = 1; id <= 4; id++) {
            rig.ask(id);
        }
        assertEquals(2, rig.sentTo("a"));
        assertEquals(2, rig.sentTo("far"));
        assertTrue(
                rig.sends.get(0).worker().equals("a")
                        && rig.sends.get(1).worker().equals("a"),
                "own zone first");
    }

    @Test
    void everyWorkerHasOneOwnerAmongTheDispatchersOfAZone() {
        plan.peers = 2;
        Contract.WorkerInfo[] workers = new Contract.WorkerInfo[40];
        for (int i = 0; i < workers.length; i++) {
            workers[i] = Rig.worker("10.0.0." + i);
        }
        Rig one = new Rig(plan.settings()).list(workers);
        plan.self = 1;
        Rig two = new Rig(plan.settings()).list(workers);
        one.module.peerMessage(one.now, 1, two.told.get(0));
        two.module.peerMessage(two.now, 0, one.told.get(0));
        one.run(100 * Rig.MS);
        two.run(100 * Rig.MS);
        for (long id = 1; id <= 200; id++) {
            one.ask(id);
            two.ask(id);
        }
        assertTrue(one.sends.size() > 20 && two.sends.size() > 20);
        for (Rig.Send s : one.sends) {
            assertEquals(0, two.sentTo(s.worker()), s.worker() + " is filled by both");
        }
    }

    @Test
    void aSlotOfAnotherOwnerIsUsedOnlyWhenOfferedAndItsOwnerHears() {
        plan.peers = 2;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("b"), Rig.worker("c"), Rig.worker("d"));
        PeerMessage hello = new PeerMessage(PeerMessage.Type.OFFERS, 0, 1, 1, 1, 50 * Rig.MS);
        rig.module.peerMessage(rig.now, 1, hello.bytes());
        rig.run(60 * Rig.MS);
        for (long id = 1; id <= 20; id++) {
            rig.ask(id);
        }
        int own = rig.sends.size();
        assertTrue(own < 8, "some workers belong to the other dispatcher");
        String foreign = List.of("a", "b", "c", "d").stream()
                .filter(w -> rig.sentTo(w) == 0)
                .findFirst()
                .orElseThrow();
        PeerMessage offer = new PeerMessage(PeerMessage.Type.OFFERS, 0, 1, 1, 1, 50 * Rig.MS);
        offer.add(new Book.Worker(foreign, 0).hash, 1);
        rig.told.clear();
        rig.module.peerMessage(rig.now, 1, offer.bytes());
        assertEquals(1, rig.sentTo(foreign));
        assertTrue(rig.told.stream().map(b -> PeerMessage.read(b, 0)).anyMatch(m -> m.type == PeerMessage.Type.BORROWS));
    }

    /** Who does not fill a worker took it for cold for good, and never used a slot lent there again. */
    @Test
    void aSlotLentOfAWorkerThatWasColdIsUsedOnceItIsWarm() {
        plan.peers = 2;
        plan.zones = 2;
        Rig rig = new Rig(plan.settings());
        rig.list(Rig.worker("a"), Rig.worker("far", 1, WorkerState.IN_SERVICE, rig.now));
        PeerMessage offer = new PeerMessage(PeerMessage.Type.OFFERS, 1, 1, 1, 1, 50 * Rig.MS);
        offer.add(new Book.Worker("far", 0).hash, 1);
        for (int after : new int[] {1, 6, 11}) { // heard often enough not to be taken for gone
            rig.run((after == 1 ? 1 : 5) * Rig.S);
            rig.module.peerMessage(rig.now, 1, offer.bytes());
            for (long id = 100 * after; id < 100 * after + 20; id++) {
                rig.ask(id);
            }
            assertEquals(after > 10 ? 1 : 0, rig.sentTo("far"), "after " + after + " s");
        }
    }

    @Test
    void spillsOnlyToASlotThatANeighbourOffers() {
        plan.peers = 2;
        plan.zones = 2;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("far", 1, WorkerState.IN_SERVICE, 0));
        PeerMessage offer = new PeerMessage(PeerMessage.Type.OFFERS, 1, 1, 1, 1, 50 * Rig.MS);
        offer.add(new Book.Worker("far", 0).hash, 3);
        rig.module.peerMessage(rig.now, 1, offer.bytes());
        for (long id = 1; id <= 60; id++) {
            rig.ask(id);
        }
        assertEquals(2, rig.sentTo("a"));
        assertEquals(3, rig.sentTo("far")); // three were offered, each is used once
        // who lent the slots must hear of it, or it fills them too
        int last = rig.toldTo.lastIndexOf(1);
        assertTrue(rig.told.stream()
                .map(b -> PeerMessage.read(b, 0))
                .anyMatch(m -> m.type == PeerMessage.Type.BORROWS && m.count[0] == 3));
        assertEquals(1, rig.toldTo.get(last));
    }

    /** Guards a zone that lost its workers against holding and refusing while a neighbour's stand idle. */
    @Test
    void heldJobsAreDrawnAgainWhenANeighbourOffers() {
        plan.peers = 2;
        plan.zones = 2;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("far", 1, WorkerState.IN_SERVICE, 0));
        rig.module.peerMessage(rig.now, 1, new PeerMessage(PeerMessage.Type.OFFERS, 1, 1, 1, 1, 50 * Rig.MS).bytes());
        rig.run(Rig.S);
        for (long id = 1; id <= 8; id++) {
            rig.ask(id);
        }
        assertEquals(0, rig.sends.size());
        for (int i = 0; i < 5; i++) {
            PeerMessage offer = new PeerMessage(PeerMessage.Type.OFFERS, 1, 1, 1, 1, 50 * Rig.MS);
            offer.add(new Book.Worker("far", 0).hash, 4);
            rig.module.peerMessage(rig.now, 1, offer.bytes());
        }
        assertTrue(rig.sends.size() >= 4, rig.sends.size() + " sent"); // P is one in nine at first
    }

    /** Seen where datagrams get lost: one end that was not heard of kept a slot from everybody for 25 s. */
    @Test
    void aSlotIsFreeAgainThoughWordOfTheJobsEndIsLost() {
        plan.peers = 2;
        for (boolean toldAgain : new boolean[] {true, false}) {
            Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("b"), Rig.worker("c"), Rig.worker("d"));
            rig.module.peerMessage(rig.now, 1, new PeerMessage(PeerMessage.Type.OFFERS, 0, 1, 1, 1, 50 * Rig.MS).bytes());
            rig.run(60 * Rig.MS);
            for (String own : List.of("a", "b", "c", "d")) {
                PeerMessage borrows = new PeerMessage(PeerMessage.Type.BORROWS, 0, 1, 1, 1, 50 * Rig.MS);
                borrows.add(new Book.Worker(own, 0).hash, 2);
                rig.module.peerMessage(rig.now, 1, borrows.bytes());
            }
            rig.ask(1);
            assertEquals(0, rig.sends.size(), "all their slots are taken by the other's jobs");
            if (toldAgain) {
                rig.module.peerMessage(rig.now, 1, new PeerMessage(PeerMessage.Type.HOLDS, 0, 1, 1, 1, 50 * Rig.MS).bytes());
            } else {
                rig.run(1_900 * Rig.MS);
            }
            assertEquals(1, rig.sends.size(), toldAgain ? "it says that it has none there" : "nor told again");
        }
    }

    /** And who has jobs on another's slots says so again, until it has none and has said that too. */
    @Test
    void aLenderIsToldAgainOfAllJobsOnItsSlots() {
        plan.peers = 2;
        plan.zones = 2;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("far", 1, WorkerState.IN_SERVICE, 0));
        PeerMessage offer = new PeerMessage(PeerMessage.Type.OFFERS, 1, 1, 1, 1, 50 * Rig.MS);
        offer.add(new Book.Worker("far", 0).hash, 4);
        rig.module.peerMessage(rig.now, 1, offer.bytes());
        for (long id = 1; id <= 30; id++) {
            rig.ask(id);
        }
        int held = rig.sends.size();
        assertTrue(held > 0);
        rig.run(1_100 * Rig.MS);
        rig.sends.forEach(s -> rig.answer(s.id(), 0, Outcome.OK));
        rig.run(1_600 * Rig.MS);
        List<String> told = rig.told.stream()
                .map(b -> PeerMessage.read(b, 0))
                .filter(m -> m.type == PeerMessage.Type.HOLDS)
                .map(m -> m.entries == 0 ? "none" : Integer.toString(m.count[0]))
                .toList();
        assertEquals(List.of(Integer.toString(held), Integer.toString(held), "none"), told);
    }

    /** Seen in the laboratory: one job of 14 s of work pushed over four cold workers, one after the other. */
    @Test
    void aJobUnderWhichAWorkerBrokeGoesToNoColdOne() {
        plan.classes = List.of(new JobClass("c", 9 * Rig.S, 2, 30 * Rig.S, 1, 0.2, Effect.SAFE, Group.ALL, 0, -1));
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        rig.ask(1, 0, -1, 30 * Rig.S, false);
        rig.change(Rig.worker("a", 0, WorkerState.DRAINING, 0), Rig.worker("cold", 0, WorkerState.IN_SERVICE, rig.now));
        rig.answer(1, 0, Outcome.RESET);
        rig.run(Rig.S);
        assertEquals(0, rig.sentTo("cold"));
        rig.ask(2);
        rig.run(9 * Rig.S);
        assertEquals("cold", rig.workerOf(2), "other jobs are sent there");
        rig.run(2 * Rig.S);
        assertEquals("cold", rig.workerOf(1), "and this one once it is warm");
    }

    private static List<String> borrows(Rig rig) {
        return rig.told.stream()
                .map(b -> PeerMessage.read(b, 0))
                .filter(m -> m.type == PeerMessage.Type.BORROWS)
                .map(m -> m.hash[0] + " " + m.count[0])
                .toList();
    }

    /** Seen in eight dispatchers that meet: slots counted as taken by jobs that had ended long ago, or as free. */
    @Test
    void whenAWorkerChangesHandsItsNewOwnerHearsOfTheJobsThereAndTheOldOneForgetsThem() {
        plan.peers = 2;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("b"));
        for (long id = 1; id <= 4; id++) {
            rig.ask(id); // alone it fills both
        }
        byte[] here = new PeerMessage(PeerMessage.Type.OFFERS, 0, 1, 1, 1, 50 * Rig.MS).bytes();
        rig.module.peerMessage(rig.now, 1, here);
        rig.run(40 * Rig.MS);
        int a = new Book.Worker("a", 0).hash;
        int b = new Book.Worker("b", 0).hash;
        String moved = borrows(rig).contains(a + " 2") ? "a" : "b";
        int hash = moved.equals("a") ? a : b;
        assertEquals(List.of(hash + " 2"), borrows(rig)); // one of the two has gone to the other, with its jobs
        for (Rig.Send send : List.copyOf(rig.sends)) {
            rig.answer(send.id(), 0, Outcome.OK);
        }
        assertEquals(List.of(hash + " 2", hash + " 1", hash + " 0"), borrows(rig));
    }

    /** Word of a job's end goes to whoever fills its worker now; what we were told before must not stay for good. */
    @Test
    void jobsToldOfAWorkerThatHasChangedHandsAreForgotten() {
        plan.peers = 3;
        // jobs so long that none is taken for over by its age
        plan.classes =
                List.of(new JobClass("c", 300 * Rig.MS, 2, 90 * Rig.S, 1, 0.2, Effect.KEYED, Group.ALL, 7 * Rig.S, -1));
        WorkerInfo[] all = {Rig.worker("a"), Rig.worker("b"), Rig.worker("c"), Rig.worker("d")};
        int[] hashes = Arrays.stream(all)
                .mapToInt(w -> new Book.Worker(w.address(), 0).hash)
                .sorted()
                .toArray();
        int[] two = Owners.share(hashes, new int[] {0, 2});
        int[] three = Owners.share(hashes, new int[] {0, 1, 2});
        int moving = IntStream.range(0, 4)
                .filter(i -> two[i] == 0 && three[i] != 0)
                .findFirst()
                .orElseThrow();
        Rig rig = new Rig(plan.settings()).list(all);
        byte[] here = new PeerMessage(PeerMessage.Type.OFFERS, 0, 1, 1, 1, 50 * Rig.MS).bytes();
        PeerMessage borrows = new PeerMessage(PeerMessage.Type.BORROWS, 0, 1, 1, 1, 50 * Rig.MS);
        borrows.add(hashes[moving], 2);
        rig.module.peerMessage(rig.now, 2, borrows.bytes());
        rig.run(40 * Rig.MS);
        rig.ask(1);
        rig.ask(2);
        rig.ask(3); // of its two workers' four slots two are taken
        assertEquals(2, rig.sends.size());
        for (long id = 1; id <= 3; id++) {
            rig.answer(id, 0, Outcome.OK);
        }
        rig.module.peerMessage(rig.now, 1, here);
        for (int i = 0; i < 20; i++) { // the first falls silent, the second stays
            rig.run(Rig.S);
            rig.module.peerMessage(rig.now, 2, here);
        }
        for (long id = 11; id <= 14; id++) {
            rig.ask(id);
        }
        assertEquals(7, rig.sends.size());
    }

    /** Seen with 24 dispatchers in six zones: 27 jobs held in one zone beside 17 free slots of another. */
    @Test
    void anOfferIsUsedHoweverManyNeighboursHaveNone() {
        plan.peers = 41;
        plan.zones = 2;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("far", 1, WorkerState.IN_SERVICE, 0));
        for (int peer = 2; peer <= 40; peer++) {
            rig.module.peerMessage(rig.now, peer, new PeerMessage(PeerMessage.Type.OFFERS, 1, 1, 1, 1, 50 * Rig.MS).bytes());
        }
        for (long id = 1; id <= 8; id++) {
            rig.ask(id);
        }
        PeerMessage offer = new PeerMessage(PeerMessage.Type.OFFERS, 1, 1, 1, 1, 50 * Rig.MS);
        offer.add(new Book.Worker("far", 0).hash, 4);
        for (int i = 0; i < 5; i++) {
            rig.module.peerMessage(rig.now, 1, offer.bytes());
        }
        assertTrue(rig.sentTo("far") >= 4, rig.sentTo("far") + " sent");
    }

    @Test
    void whoHoldsJobsAsksByItsExchangeAndWhoHasSlotsOffersAtOnce() {
        plan.peers = 2;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("b"), Rig.worker("c"), Rig.worker("d"));
        rig.module.peerMessage(rig.now, 1, new PeerMessage(PeerMessage.Type.OFFERS, 0, 1, 1, 1, 50 * Rig.MS).bytes());
        rig.run(60 * Rig.MS);
        rig.told.clear();
        PeerMessage asking = new PeerMessage(PeerMessage.Type.OFFERS, 0, 0.5, 0.5, 1, 50 * Rig.MS);
        rig.module.peerMessage(rig.now, 1, asking.bytes());
        assertEquals(1, rig.told.size());
        assertTrue(PeerMessage.read(rig.told.get(0), 0).entries > 0);
        for (long id = 1; id <= 20; id++) {
            rig.ask(id);
        }
        rig.run(500 * Rig.MS);
        PeerMessage asked = PeerMessage.read(rig.told.get(rig.told.size() - 1), 0);
        assertTrue(asked.entries == 0 && asked.p < 1);
    }

    @Test
    void markedRepeatsYieldToNewRequests() {
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        rig.ask(1);
        rig.ask(2);
        rig.ask(3, 0, -1, 5 * Rig.S, true);
        rig.ask(4);
        rig.answer(1, 0, Outcome.OK);
        assertEquals("a", rig.workerOf(4));
        assertNull(rig.workerOf(3));
    }

    @Test
    void whatIsBeyondATenantsShareYields() {
        plan.tenants = List.of(new Tenant("big", 1), new Tenant("small", 100));
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        for (long id = 1; id <= 5; id++) {
            rig.ask(id, 0, 0, 5 * Rig.S, false);
        }
        rig.ask(6, 0, 1, 5 * Rig.S, false);
        rig.answer(1, 0, Outcome.OK);
        assertEquals("a", rig.workerOf(6));
        assertNull(rig.workerOf(3));
    }

    @Test
    void subscribesOnDemandAndAgainAfterALoss() {
        plan.onDemand = true;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        assertEquals(1, rig.subscriptions);
        rig.module.workersUnavailable(rig.now, WatchEnd.ENDED);
        rig.run(Rig.S);
        assertEquals(2, rig.subscriptions);
    }

    /** Guards against a list that stays old for seconds because discovery failed several times before. */
    @Test
    void asksForTheListAgainWithinASecondHoweverOftenThatFailed() {
        plan.onDemand = true;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        for (int i = 1; i <= 8; i++) {
            assertEquals(i, rig.subscriptions);
            rig.module.workersUnavailable(rig.now, WatchEnd.ENDED);
            rig.run(Rig.S);
        }
    }

    @Test
    void foreignMessagesAreIgnored() {
        plan.peers = 2;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        for (byte[] bytes : List.of(
                new byte[0], new byte[] {1, 2}, new byte[] {9, 0, 0, 0, 0, 0, 77}, new byte[] {0, 0, 0, 0, 0, 0, 1, 5
                })) {
            rig.module.peerMessage(rig.now, 1, bytes);
        }
        rig.module.peerMessage(rig.now, 99, new PeerMessage(PeerMessage.Type.OFFERS, 0, 1, 1, 1, 0).bytes());
        rig.ask(1);
        assertFalse(rig.sends.isEmpty());
    }

    @Test
    void illegalSettingsAreNamed() {
        plan.zone = 5;
        Exception e = assertThrows(IllegalArgumentException.class, plan::settings);
        assertEquals("illegal setting zone: 5", e.getMessage());
    }
}
