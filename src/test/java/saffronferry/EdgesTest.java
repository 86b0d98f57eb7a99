package saffronferry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.util.Collection;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import saffronferry.Contract.Effect;
import saffronferry.Contract.Group;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Tenant;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.fleet.WatchEnd;

/** Arithmetic at its edges: counters near their ends, rates of zero, figures that are none, long silences. */
class EdgesTest {
    private final Rig.Plan plan = new Rig.Plan();
    private long lastId;

    private static Field field(Object of, String name) throws ReflectiveOperationException {
        Field f = of.getClass().getDeclaredField(name);
        f.setAccessible(true);
        return f;
    }

    private static Object get(Object of, String name) throws ReflectiveOperationException {
        return field(of, name).get(of);
    }

    private static Book.Worker worker(Rig rig, String address) throws ReflectiveOperationException {
        return ((Fleet) get(rig.module, "fleet")).byAddress.get(address);
    }

    private static byte[] hello(double p, double rate) {
        return new PeerMessage(PeerMessage.Type.OFFERS, 0, p, p, rate, 50 * Rig.MS).bytes();
    }

    // ---- counters ----

    @ParameterizedTest
    @ValueSource(strings = {"checkTurn", "probeTurn"})
    void aTurnThatWrapsIsNoNegativeIndex(String turn) throws Exception {
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("b"), Rig.worker("c"));
        field(rig.module, turn).setInt(rig.module, Integer.MAX_VALUE - 1);
        traffic(rig, 20, 10 * Rig.S);
        assertEquals(200, rig.sends.size());
    }

    /** A worker that has said full two thousand million times is still asked again after 3.2 to 4 s. */
    @Test
    void aWorkerThatKeepsSayingFullIsAskedAgainHoweverOftenItDid() throws Exception {
        plan.maxAttempts = 1;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        worker(rig, "a").fulls = Integer.MAX_VALUE - 2;
        for (long id = 1; id <= 70; id++) {
            rig.ask(id);
            assertEquals(
                    id, rig.sends.size(), "the worker rests until " + worker(rig, "a").restUntil + " at " + rig.now);
            rig.answer(id, 0, Outcome.FULL);
            long rest = worker(rig, "a").restUntil - rig.now;
            assertTrue(rest >= 3_200 * Rig.MS && rest <= 4 * Rig.S, "rests " + rest);
            rig.run(4 * Rig.S);
        }
    }

    @Test
    void aSuspectIsTriedAgainHoweverManyTrialsFailed() throws Exception {
        plan.maxAttempts = 1;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        worker(rig, "a").failedTrials = Integer.MAX_VALUE - 2;
        for (long id = 1; id <= 70; id++) {
            rig.ask(id);
            assertEquals(id, rig.sends.size(), "not tried at " + rig.now);
            rig.answer(id, 0, Outcome.CONNECT_FAILED);
            long wait = worker(rig, "a").trialAt - rig.now;
            assertTrue(wait >= 8 * Rig.S && wait <= 10 * Rig.S, "waits " + wait);
            rig.run(11 * Rig.S);
        }
    }

    @Test
    void theListIsAskedForWithinASecondHoweverOftenThatFailed() throws Exception {
        plan.onDemand = true;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        for (int i = 0; i < 70; i++) {
            int before = rig.subscriptions;
            rig.module.workersUnavailable(rig.now, WatchEnd.ENDED);
            rig.run(Rig.S);
            assertEquals(before + 1, rig.subscriptions);
        }
    }

    /** After two thousand million jobs of a class its running time is still learned, and a number. */
    @Test
    void runningTimesStayNumbersHoweverManyJobsEnded() throws Exception {
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        LearnedEstimates known = (LearnedEstimates) get(rig.module, "known");
        known.ended[0] = Integer.MAX_VALUE - 3;
        for (long id = 1; id <= 10; id++) {
            rig.ask(id);
            rig.run(200 * Rig.MS);
            rig.answer(id, 0, Outcome.OK);
        }
        assertTrue(known.ended[0] > 0, "it has wrapped, and will be a divisor of 0 one day");
        double mean = known.mean[0];
        assertTrue(mean >= 200 * Rig.MS && mean <= 500 * Rig.MS, "mean " + mean);
    }

    /** A bit mask of classes holds 64: the 65th must not block the first. */
    @Test
    void aClassBeyondTheSixtyFourthBlocksNoOther() {
        plan.classes = IntStream.range(0, 66)
                .mapToObj(c -> new JobClass(
                        "c" + c,
                        300 * Rig.MS,
                        2,
                        5 * Rig.S,
                        1,
                        0.2,
                        Effect.SAFE,
                        Group.ALL,
                        7 * Rig.S,
                        c == 64 ? 1 : 0))
                .toList();
        Rig rig =
                new Rig(plan.settings()).list(Rig.worker("a"), new WorkerInfo("b", WorkerState.IN_SERVICE, 1, 0, 0, 0));
        rig.ask(1, 64, -1, 5 * Rig.S, false);
        rig.answer(1, 0, Outcome.FULL); // b rests for a while: nothing is found for class 64
        rig.ask(2, 64, -1, 5 * Rig.S, false);
        for (long id = 3; id <= 5; id++) {
            rig.ask(id, 0, -1, 5 * Rig.S, false);
        }
        assertEquals("a", rig.workerOf(4));
        rig.answer(3, 0, Outcome.OK);
        assertEquals("a", rig.workerOf(5));
    }

    // ---- rates, P and R ----

    @Test
    void noPairOfPAndRGivesAnythingButAWeight() {
        double[] edges = {0, Double.MIN_VALUE, 1e-9, 1 / 510.0, 1 / 255.0, 0.5, 254 / 255.0, 1 - 1e-9, 1};
        for (double p : edges) {
            for (double r : edges) {
                double w = Dispatcher.drawWeight(p, r);
                assertTrue(w >= 0 && w <= 1, p + ", " + r + ": " + w);
                PeerMessage m = PeerMessage.read(new PeerMessage(PeerMessage.Type.OFFERS, 0, p, r, 0, 0).bytes(), 0);
                assertTrue(Math.abs(m.p - p) <= 1 / 255.0 && Math.abs(m.r - r) <= 1 / 510.0 + 1e-9, p + ", " + r);
            }
        }
        assertEquals(1, Dispatcher.accept(0, 1));
        assertTrue(Dispatcher.accept(Integer.MAX_VALUE, 1) > 0);
    }

    /** Who holds one job beside a thousand slots has a P just below one: rounded up it could not ask. */
    @Test
    void aPJustBelowOneStillSaysThatJobsWait() {
        for (double p : new double[] {0.99, 0.999, 1 - 1e-9}) {
            assertTrue(PeerMessage.read(hello(p, 1), 0).p < 1, "P " + p);
        }
        assertEquals(1, PeerMessage.read(hello(1, 1), 0).p);
    }

    private void traffic(Rig rig, int perSecond, long span) {
        for (long end = rig.now + span; rig.now < end; rig.run(Rig.S / perSecond)) {
            rig.ask(++lastId);
            if (rig.workerOf(lastId) != null) {
                rig.answer(lastId, 0, Outcome.OK);
            }
        }
    }

    /** Own rate zero, all zero, both: shares stay numbers from 0 to 1, and one's first job is served. */
    @Test
    void sharesAtRatesOfZeroAreNumbers() throws Exception {
        for (double theirs : new double[] {0, 1e-9, 30, 4_095}) {
            plan.peers = 2;
            plan.tenants = List.of(new Tenant("t", 5));
            Rig rig = new Rig(plan.settings())
                    .list(IntStream.range(0, 8)
                            .mapToObj(i -> Rig.worker("w" + i))
                            .toArray(WorkerInfo[]::new));
            for (int i = 0; i < 20; i++) {
                rig.module.peerMessage(rig.now, 1, hello(1, theirs));
                rig.run(250 * Rig.MS);
            }
            double share = (double) get(rig.module, "share");
            double traffic = (double) get(rig.module, "trafficShare");
            assertTrue(
                    share >= 0 && share <= 1 && traffic >= 0 && traffic <= 1, theirs + ": " + share + ", " + traffic);
            assertEquals(theirs > 0.1 ? 0 : 0.5, share, "even parts where nobody has traffic, none beside one who has");
            rig.ask(1, 0, 0, 5 * Rig.S, false);
            assertEquals(1, rig.sends.size());
        }
    }

    /** A dispatcher that has just started knows its rate from its first arrivals, not 2 s later. */
    @Test
    void aStartDoesNotCountItsFirstRequestsAsBeyondTheirShare() throws Exception {
        plan.peers = 2;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("b"), Rig.worker("c"));
        for (int i = 0; i < 4; i++) {
            rig.module.peerMessage(rig.now, 1, hello(1, 20));
            traffic(rig, 20, 200 * Rig.MS);
        }
        double share = (double) get(rig.module, "share");
        assertTrue(share > 0.4 && share < 0.6, "equal traffic, but a share of " + share);
    }

    /** No neighbour, or one; several zones or one: time passes and jobs are served. */
    @Test
    void aloneOrInPairsItServes() {
        for (int peers = 1; peers <= 2; peers++) {
            for (int zones = 1; zones <= 3; zones++) {
                plan.peers = peers;
                plan.zones = zones;
                Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("b"), Rig.worker("c"));
                rig.run(5 * Rig.S);
                rig.module.peerMessage(rig.now, peers - 1, hello(0, 0));
                rig.run(20 * Rig.S);
                rig.ask(1);
                assertEquals(1, rig.sends.size());
            }
        }
    }

    // ---- reports that are none ----

    @ParameterizedTest
    @ValueSource(doubles = {Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, 1e18, -1e18})
    void anAbsurdReportFloodsAndIdlesNoWorker(double freeSlots) throws Exception {
        for (double held : new double[] {Double.NaN, 2}) {
            Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("b"));
            rig.report("a", 3);
            rig.module.probed(rig.now, "b", Outcome.OK, new Report(held, 0, freeSlots));
            for (long id = 1; id <= 40; id++) {
                rig.ask(id);
            }
            assertEquals(6, rig.sends.size());
            assertFalse(Double.isNaN((double) get(rig.module, "p")));
        }
    }

    // ---- silence, loss and what is kept of the past ----

    /** Stopped for two days and continued, it first reads a datagram: that is no pace of two days. */
    @Test
    void aPeerThatDiesAfterALongStopIsForgottenSoon() {
        plan.peers = 2;
        WorkerInfo[] all =
                IntStream.range(0, 8).mapToObj(i -> Rig.worker("w" + i)).toArray(WorkerInfo[]::new);
        Rig rig = new Rig(plan.settings()).list(all);
        rig.module.peerMessage(rig.now, 1, hello(1, 5));
        rig.run(3 * Rig.S);
        rig.module.peerMessage(rig.now, 1, hello(1, 5));
        rig.now += 172_800 * Rig.S;
        rig.module.peerMessage(rig.now, 1, hello(1, 5)); // then it dies
        rig.run(30 * Rig.S);
        for (long id = 1; id <= 16; id++) {
            rig.ask(id);
        }
        assertEquals(16, rig.sends.size(), "the dead one's workers stand idle");
    }

    private Rig withBorrowedSlots(int peersMessages) throws Exception {
        plan.peers = 2;
        WorkerInfo[] all =
                IntStream.range(0, 8).mapToObj(i -> Rig.worker("w" + i)).toArray(WorkerInfo[]::new);
        Rig rig = new Rig(plan.settings()).list(all);
        rig.module.peerMessage(rig.now, 1, hello(1, 5));
        rig.run(100 * Rig.MS);
        borrow(rig, 2);
        for (int i = 0; i < peersMessages; i++) {
            rig.run(500 * Rig.MS);
            rig.module.peerMessage(rig.now, 1, hello(1, 5));
        }
        return rig;
    }

    private static void borrow(Rig rig, int slots) {
        PeerMessage m = new PeerMessage(PeerMessage.Type.BORROWS, 0, 1, 1, 5, 50 * Rig.MS);
        IntStream.range(0, 8).forEach(i -> m.add(new Book.Worker("w" + i, 0).hash, slots));
        rig.module.peerMessage(rig.now, 1, m.bytes());
    }

    private static int others(Rig rig) throws Exception {
        int sum = 0;
        for (int i = 0; i < 8; i++) {
            sum += worker(rig, "w" + i).others;
        }
        return sum;
    }

    /** The word that a borrowed slot is free again is one datagram, which may be lost. */
    @Test
    void aBorrowedSlotIsNotTakenForGoodWhenTheWordOfItsEndIsLost() throws Exception {
        Rig rig = withBorrowedSlots(1);
        assertEquals(16, others(rig));
        rig = withBorrowedSlots(20); // 10 s; no job lives longer than 5
        assertEquals(0, others(rig));
    }

    /** Its process took the jobs with it; the peer's word comes when the list no longer names the worker. */
    @Test
    void aWorkerThatIsGoneAndBackHasNoBorrowedSlots() throws Exception {
        Rig rig = withBorrowedSlots(1);
        for (WorkerState state : List.of(WorkerState.GONE, WorkerState.IN_SERVICE)) {
            rig.change(IntStream.range(0, 8)
                    .mapToObj(i -> Rig.worker("w" + i, 0, state, 0))
                    .toArray(WorkerInfo[]::new));
        }
        assertEquals(0, others(rig));
    }

    /** A release replaces workers by new ones, for ever: a peer's jobs of the past must not be kept. */
    @Test
    void jobsOfPeersAtWorkersOfThePastAreForgotten() throws Exception {
        Rig rig = withBorrowedSlots(1);
        borrow(rig, 0);
        Book.Peer peer = ((Book.Peer[]) get(rig.module, "peers"))[1];
        assertEquals(0, ((Collection<?>) get(peer, "holds")).size());
    }

    /** What is over must not be kept until its client would have left: that is traffic times deadline. */
    @Test
    void jobsThatAreOverAreForgotten() throws Exception {
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"));
        for (long id = 1; id <= 20_000; id++) {
            rig.ask(id);
            rig.answer(id, 0, Outcome.OK);
        }
        int kept = ((Collection<?>) get(rig.module, "leaving")).size();
        assertTrue(kept < 200, kept + " jobs are kept, all of them over");
    }

    /** All dispatchers of the other zone die: its workers must not stand idle for good. */
    @Test
    void aZoneThatLosesItsDispatchersIsAdoptedAfterAWhile() {
        plan.peers = 2;
        plan.zones = 2;
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("far", 1, WorkerState.IN_SERVICE, 0));
        byte[] hello = new PeerMessage(PeerMessage.Type.OFFERS, 1, 1, 1, 5, 50 * Rig.MS).bytes();
        for (int i = 0; i < 6; i++) {
            rig.module.peerMessage(rig.now, 1, hello);
            rig.run(500 * Rig.MS);
        }
        for (long id = 1; id <= 4; id++) {
            rig.ask(id);
        }
        assertEquals(0, rig.sentTo("far"), "it has a dispatcher of its own");
        rig.run(5 * Rig.S);
        assertEquals(0, rig.sentTo("far"), "a restart takes no longer than this");
        rig.run(15 * Rig.S);
        for (long id = 11; id <= 14; id++) {
            rig.ask(id);
        }
        assertTrue(rig.sentTo("far") > 0, "nobody fills it");
        rig.module.peerMessage(rig.now, 1, hello);
        rig.run(500 * Rig.MS);
        long before = rig.sentTo("far");
        for (long id = 21; id <= 24; id++) {
            rig.ask(id);
        }
        assertEquals(before, rig.sentTo("far"), "its dispatcher is back");
    }

    /** A client may say that its job takes 255 slots. */
    @Test
    void aJobThatFitsNoWorkerIsAnsweredAtOnceAndDrivesNoPDown() throws Exception {
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("b"));
        rig.report("a", 4);
        rig.module.request(rig.now, new Contract.Request(1, 0, -1, rig.now + 5 * Rig.S, 255, false));
        rig.module.request(rig.now, new Contract.Request(2, 0, -1, rig.now + 5 * Rig.S, 3, false));
        rig.run(50 * Rig.MS);
        assertEquals("refused", rig.finals.get(1L));
        assertEquals(1, rig.sends.size(), "one that fits is served");
        assertEquals(1.0, (double) get(rig.module, "p"));
    }

    /** All fails, but not so that workers look broken: attempts must not grow to as many as each RPC may have. */
    @Test
    void repeatsOfWhatMayHaveRunAreBoundedInAll() {
        plan.maxAttempts = 4;
        plan.classes = List.of(Rig.jobClass(Effect.SAFE, Group.ALL));
        Rig rig = new Rig(plan.settings())
                .list(IntStream.range(0, 20).mapToObj(i -> Rig.worker("w" + i)).toArray(WorkerInfo[]::new));
        int seen = 0;
        long asked = 20 * 200;
        for (long id = 1; id <= asked; id++) {
            rig.ask(id);
            for (; seen < rig.sends.size(); seen++) {
                Rig.Send s = rig.sends.get(seen);
                rig.module.note(rig.now, s.id(), s.attempt(), true);
                rig.answer(s.id(), s.attempt(), Outcome.RESET);
            }
            rig.run(5 * Rig.MS);
        }
        assertTrue(seen > asked, "some are repeated");
        assertTrue(seen <= asked * 1.2 + 5 * 20 + 25, seen + " attempts for " + asked + " requests");
    }

    /** One large worker breaks with 100 jobs on it: their copies, held at once and sent later, are bounded too. */
    @Test
    void copiesHeldAllAtOnceAreBoundedToo() {
        Rig rig = new Rig(plan.settings()).list(Rig.worker("a"), Rig.worker("b"));
        rig.report("a", 100);
        rig.report("b", 100);
        for (long id = 1; id <= 200; id++) {
            rig.ask(id);
        }
        assertEquals(200, rig.sends.size());
        long broken = rig.sends.stream()
                .filter(s -> s.worker().equals("a"))
                .findFirst()
                .orElseThrow()
                .id();
        rig.answer(broken, 0, Outcome.CONNECT_FAILED);
        List.copyOf(rig.sends).stream()
                .filter(s -> s.worker().equals("b") && s.id() != broken && s.attempt() == 0)
                .forEach(s -> rig.answer(s.id(), 0, Outcome.OK));
        int copies = rig.sends.size() - 200;
        assertTrue(copies > 5 && copies <= 0.2 * 200 + 25 + 1, copies + " copies");
    }
}
