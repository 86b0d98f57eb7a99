package saffronferry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saffronferry.DispatcherHarness.MS;
import static saffronferry.DispatcherHarness.S;
import static saffronferry.DispatcherHarness.jobClass;
import static saffronferry.DispatcherHarness.worker;

import java.lang.reflect.Field;
import java.util.Collection;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.Idempotency;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Tenant;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.fleet.WatchEnd;

/** Edge cases: counters near overflow, rates of zero, numbers that are not finite, long silences. */
class EdgesTest {
    private final DispatcherHarness.Options options = new DispatcherHarness.Options();
    private long lastId;

    private static Field field(Object of, String name) throws ReflectiveOperationException {
        Field f = of.getClass().getDeclaredField(name);
        f.setAccessible(true);
        return f;
    }

    private static Object get(Object of, String name) throws ReflectiveOperationException {
        return field(of, name).get(of);
    }

    private static DispatcherState.Worker workerState(DispatcherHarness harness, String address)
            throws ReflectiveOperationException {
        return ((WorkerIndex) get(harness.dispatcher, "workerIndex")).byAddress.get(address);
    }

    private static byte[] hello(double p, double rate) {
        return new PeerMessage(PeerMessage.Type.OFFERS, 0, p, p, rate, 50 * MS).encode();
    }

    // ---- counters ----

    @ParameterizedTest
    @ValueSource(strings = {"healthCheckPosition", "probePosition"})
    void aPositionThatWrapsIsNoNegativeIndex(String position) throws Exception {
        DispatcherHarness harness =
                new DispatcherHarness(options.settings()).list(worker("a"), worker("b"), worker("c"));
        field(harness.dispatcher, position).setInt(harness.dispatcher, Integer.MAX_VALUE - 1);
        traffic(harness, 20, 10 * S);
        assertEquals(200, harness.sends.size());
    }

    /** After two thousand million answers of "full" a worker is still tried again after 3.2 to 4 s. */
    @Test
    void aWorkerThatAnswersFullIsTriedAgainHoweverOftenItDid() throws Exception {
        options.maxAttempts = 1;
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        workerState(harness, "a").consecutiveFulls = Integer.MAX_VALUE - 2;
        for (long id = 1; id <= 70; id++) {
            harness.request(id);
            assertEquals(
                    id,
                    harness.sends.size(),
                    "backs off until " + workerState(harness, "a").backoffUntil + " at " + harness.now);
            harness.endAttempt(id, 0, Outcome.FULL);
            long backoff = workerState(harness, "a").backoffUntil - harness.now;
            assertTrue(backoff >= 3_200 * MS && backoff <= 4 * S, "backs off for " + backoff);
            harness.advance(4 * S);
        }
    }

    @Test
    void aSuspectIsTriedAgainHoweverManyTrialsFailed() throws Exception {
        options.maxAttempts = 1;
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        workerState(harness, "a").failedTrials = Integer.MAX_VALUE - 2;
        for (long id = 1; id <= 70; id++) {
            harness.request(id);
            assertEquals(id, harness.sends.size(), "not tried at " + harness.now);
            harness.endAttempt(id, 0, Outcome.CONNECT_FAILED);
            long wait = workerState(harness, "a").nextTrialAt - harness.now;
            assertTrue(wait >= 8 * S && wait <= 10 * S, "waits " + wait);
            harness.advance(11 * S);
        }
    }

    @Test
    void subscribesWithinASecondHoweverOftenDiscoveryFailed() throws Exception {
        options.onDemand = true;
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        for (int i = 0; i < 70; i++) {
            int before = harness.subscriptions;
            harness.dispatcher.workerListFailed(harness.now, WatchEnd.ENDED);
            harness.advance(S);
            assertEquals(before + 1, harness.subscriptions);
        }
    }

    /** After two thousand million jobs of a class its running time is still learned, and still a finite number. */
    @Test
    void runningTimesStayFiniteHoweverManyJobsEnded() throws Exception {
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        LearnedEstimates estimates = (LearnedEstimates) get(harness.dispatcher, "estimates");
        estimates.endedJobs[0] = Integer.MAX_VALUE - 3;
        for (long id = 1; id <= 10; id++) {
            harness.request(id);
            harness.advance(200 * MS);
            harness.endAttempt(id, 0, Outcome.OK);
        }
        assertTrue(estimates.endedJobs[0] > 0, "the count has wrapped, and would become a divisor of 0");
        double mean = estimates.meanRunTime[0];
        assertTrue(mean >= 200 * MS && mean <= 500 * MS, "mean " + mean);
    }

    /** A bit mask of classes would hold 64 of them, and blocking the 65th would block the first. */
    @Test
    void blockingAClassBeyondTheSixtyFourthBlocksNoOther() {
        options.classes = IntStream.range(0, 66)
                .mapToObj(c -> new JobClass(
                        "c" + c, 300 * MS, 2, 5 * S, 1, 0.2, Idempotency.SAFE, DedupScope.ALL, 7 * S, c == 64 ? 1 : 0))
                .toList();
        DispatcherHarness harness = new DispatcherHarness(options.settings())
                .list(worker("a"), new WorkerInfo("b", WorkerState.IN_SERVICE, 1, 0, 0, 0));
        harness.request(1, 64, -1, 5 * S, false);
        harness.endAttempt(1, 0, Outcome.FULL); // b backs off for a while: no slot is found for class 64
        harness.request(2, 64, -1, 5 * S, false);
        for (long id = 3; id <= 5; id++) {
            harness.request(id, 0, -1, 5 * S, false);
        }
        assertEquals("a", harness.lastWorkerOf(4));
        harness.endAttempt(3, 0, Outcome.OK);
        assertEquals("a", harness.lastWorkerOf(5));
    }

    // ---- rates, P and R ----

    @Test
    void everyPairOfPAndRGivesAWeightFromZeroToOne() {
        double[] edges = {0, Double.MIN_VALUE, 1e-9, 1 / 510.0, 1 / 255.0, 0.5, 254 / 255.0, 1 - 1e-9, 1};
        for (double p : edges) {
            for (double r : edges) {
                double w = Dispatcher.spillWeight(p, r);
                assertTrue(w >= 0 && w <= 1, p + ", " + r + ": " + w);
                PeerMessage m = PeerMessage.decode(new PeerMessage(PeerMessage.Type.OFFERS, 0, p, r, 0, 0).encode(), 0);
                assertTrue(
                        Math.abs(m.acceptance - p) <= 1 / 255.0
                                && Math.abs(m.combinedAcceptance - r) <= 1 / 510.0 + 1e-9,
                        p + ", " + r);
            }
        }
        assertEquals(1, Dispatcher.acceptanceProbability(0, 1));
        assertTrue(Dispatcher.acceptanceProbability(Integer.MAX_VALUE, 1) > 0);
    }

    /**
     * One held job beside a thousand slots gives a P just below 1. Rounded up to 1, it would no longer ask for slots.
     */
    @Test
    void aPJustBelowOneStaysBelowOneInAMessage() {
        for (double p : new double[] {0.99, 0.999, 1 - 1e-9}) {
            assertTrue(PeerMessage.decode(hello(p, 1), 0).acceptance < 1, "P " + p);
        }
        assertEquals(1, PeerMessage.decode(hello(1, 1), 0).acceptance);
    }

    private void traffic(DispatcherHarness harness, int perSecond, long span) {
        for (long end = harness.now + span; harness.now < end; harness.advance(S / perSecond)) {
            harness.request(++lastId);
            if (harness.lastWorkerOf(lastId) != null) {
                harness.endAttempt(lastId, 0, Outcome.OK);
            }
        }
    }

    /** With the own rate or all rates at zero, shares are numbers from 0 to 1, and the first job is served. */
    @Test
    void sharesAreNumbersAtRatesOfZero() throws Exception {
        for (double peerRate : new double[] {0, 1e-9, 30, 4_095}) {
            options.peers = 2;
            options.tenants = List.of(new Tenant("t", 5));
            DispatcherHarness harness = new DispatcherHarness(options.settings())
                    .list(IntStream.range(0, 8).mapToObj(i -> worker("w" + i)).toArray(WorkerInfo[]::new));
            for (int i = 0; i < 20; i++) {
                harness.dispatcher.peerMessage(harness.now, 1, hello(1, peerRate));
                harness.advance(250 * MS);
            }
            double share = (double) get(harness.dispatcher, "zoneTrafficShare");
            double traffic = (double) get(harness.dispatcher, "fleetTrafficShare");
            assertTrue(
                    share >= 0 && share <= 1 && traffic >= 0 && traffic <= 1, peerRate + ": " + share + ", " + traffic);
            assertEquals(
                    peerRate > 0.1 ? 0 : 0.5,
                    share,
                    "equal shares without traffic, none beside a peer that has traffic");
            harness.request(1, 0, 0, 5 * S, false);
            assertEquals(1, harness.sends.size());
        }
    }

    /** After a start the request rate must be right from the first arrivals on, not only after the 2 s of averaging. */
    @Test
    void theFirstRequestsAfterAStartAreNotOverTheirShare() throws Exception {
        options.peers = 2;
        DispatcherHarness harness =
                new DispatcherHarness(options.settings()).list(worker("a"), worker("b"), worker("c"));
        for (int i = 0; i < 4; i++) {
            harness.dispatcher.peerMessage(harness.now, 1, hello(1, 20));
            traffic(harness, 20, 200 * MS);
        }
        double share = (double) get(harness.dispatcher, "zoneTrafficShare");
        assertTrue(share > 0.4 && share < 0.6, "equal traffic, but a share of " + share);
    }

    /** With no neighbour or one, in one zone or several, jobs are served after some time. */
    @Test
    void servesAloneAndInPairs() {
        for (int peers = 1; peers <= 2; peers++) {
            for (int zones = 1; zones <= 3; zones++) {
                options.peers = peers;
                options.zones = zones;
                DispatcherHarness harness =
                        new DispatcherHarness(options.settings()).list(worker("a"), worker("b"), worker("c"));
                harness.advance(5 * S);
                harness.dispatcher.peerMessage(harness.now, peers - 1, hello(0, 0));
                harness.advance(20 * S);
                harness.request(1);
                assertEquals(1, harness.sends.size());
            }
        }
    }

    // ---- absurd reports ----

    @ParameterizedTest
    @ValueSource(doubles = {Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, 1e18, -1e18})
    void anAbsurdReportChangesNoLearnedSlots(double freeSlots) throws Exception {
        for (double held : new double[] {Double.NaN, 2}) {
            DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"), worker("b"));
            harness.report("a", 3);
            harness.dispatcher.probeEnded(harness.now, "b", Outcome.OK, new Report(held, 0, freeSlots));
            for (long id = 1; id <= 40; id++) {
                harness.request(id);
            }
            assertEquals(6, harness.sends.size());
            assertFalse(Double.isNaN((double) get(harness.dispatcher, "acceptance")));
        }
    }

    // ---- silence, lost messages, and state that must be dropped ----

    /** After a stop of two days the first datagram must not be averaged in as a message interval of two days. */
    @Test
    void aPeerThatFailsAfterALongStopIsForgottenSoon() {
        options.peers = 2;
        WorkerInfo[] all = IntStream.range(0, 8).mapToObj(i -> worker("w" + i)).toArray(WorkerInfo[]::new);
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(all);
        harness.dispatcher.peerMessage(harness.now, 1, hello(1, 5));
        harness.advance(3 * S);
        harness.dispatcher.peerMessage(harness.now, 1, hello(1, 5));
        harness.now += 172_800 * S;
        harness.dispatcher.peerMessage(harness.now, 1, hello(1, 5)); // then it fails
        harness.advance(30 * S);
        for (long id = 1; id <= 16; id++) {
            harness.request(id);
        }
        assertEquals(16, harness.sends.size(), "the failed peer's workers stand idle");
    }

    private DispatcherHarness withBorrowedSlots(int peerMessages) throws Exception {
        options.peers = 2;
        WorkerInfo[] all = IntStream.range(0, 8).mapToObj(i -> worker("w" + i)).toArray(WorkerInfo[]::new);
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(all);
        harness.dispatcher.peerMessage(harness.now, 1, hello(1, 5));
        harness.advance(100 * MS);
        borrow(harness, 2);
        for (int i = 0; i < peerMessages; i++) {
            harness.advance(500 * MS);
            harness.dispatcher.peerMessage(harness.now, 1, hello(1, 5));
        }
        return harness;
    }

    private static void borrow(DispatcherHarness harness, int slots) {
        PeerMessage m = new PeerMessage(PeerMessage.Type.BORROWS, 0, 1, 1, 5, 50 * MS);
        IntStream.range(0, 8).forEach(i -> m.addSlots(new DispatcherState.Worker("w" + i, 0).hash, slots));
        harness.dispatcher.peerMessage(harness.now, 1, m.encode());
    }

    private static int peerSlots(DispatcherHarness harness) throws Exception {
        int sum = 0;
        for (int i = 0; i < 8; i++) {
            sum += workerState(harness, "w" + i).peerSlots;
        }
        return sum;
    }

    /** The message that a borrowed slot is free again is one datagram, which may be lost. */
    @Test
    void aBorrowedSlotIsFreeAgainThoughTheMessageOfItsJobsEndIsLost() throws Exception {
        DispatcherHarness harness = withBorrowedSlots(1);
        assertEquals(16, peerSlots(harness));
        harness = withBorrowedSlots(20); // 10 s; no job lives longer than 5
        assertEquals(0, peerSlots(harness));
    }

    /**
     * Jobs end with the worker's process, and the peer's message of it comes when the list no longer names the worker.
     */
    @Test
    void aWorkerThatReturnsHasNoBorrowedSlots() throws Exception {
        DispatcherHarness harness = withBorrowedSlots(1);
        for (WorkerState state : List.of(WorkerState.GONE, WorkerState.IN_SERVICE)) {
            harness.change(IntStream.range(0, 8)
                    .mapToObj(i -> worker("w" + i, 0, state, 0))
                    .toArray(WorkerInfo[]::new));
        }
        assertEquals(0, peerSlots(harness));
    }

    /** Each release replaces the workers; holds at former workers would fill the memory. */
    @Test
    void holdsThatHaveEndedAreDropped() throws Exception {
        DispatcherHarness harness = withBorrowedSlots(1);
        borrow(harness, 0);
        DispatcherState.Peer peer = ((DispatcherState.Peer[]) get(harness.dispatcher, "peers"))[1];
        assertEquals(0, ((Collection<?>) get(peer, "holds")).size());
    }

    /** Finished jobs kept until their deadlines would be as many as arrive in that time. */
    @Test
    void finishedJobsAreDropped() throws Exception {
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"));
        for (long id = 1; id <= 20_000; id++) {
            harness.request(id);
            harness.endAttempt(id, 0, Outcome.OK);
        }
        int kept = ((Collection<?>) get(harness.dispatcher, "jobsByDeadline")).size();
        assertTrue(kept < 200, kept + " finished jobs are kept");
    }

    /** When all dispatchers of a zone have failed its workers must not stand idle for good. */
    @Test
    void aZoneThatLosesItsDispatchersIsAdoptedAfterAWhile() {
        options.peers = 2;
        options.zones = 2;
        DispatcherHarness harness = new DispatcherHarness(options.settings())
                .list(worker("a"), worker("far", 1, WorkerState.IN_SERVICE, 0));
        byte[] hello = new PeerMessage(PeerMessage.Type.OFFERS, 1, 1, 1, 5, 50 * MS).encode();
        for (int i = 0; i < 6; i++) {
            harness.dispatcher.peerMessage(harness.now, 1, hello);
            harness.advance(500 * MS);
        }
        for (long id = 1; id <= 4; id++) {
            harness.request(id);
        }
        assertEquals(0, harness.sendCount("far"), "the zone has a dispatcher");
        harness.advance(5 * S);
        assertEquals(0, harness.sendCount("far"), "a restart takes no longer than this");
        harness.advance(15 * S);
        for (long id = 11; id <= 14; id++) {
            harness.request(id);
        }
        assertTrue(harness.sendCount("far") > 0, "the zone is not adopted");
        harness.dispatcher.peerMessage(harness.now, 1, hello);
        harness.advance(500 * MS);
        long before = harness.sendCount("far");
        for (long id = 21; id <= 24; id++) {
            harness.request(id);
        }
        assertEquals(before, harness.sendCount("far"), "the zone's dispatcher is back");
    }

    /** A client may ask for 255 slots for one job; held, such a job would keep P low. */
    @Test
    void aJobThatFitsNoWorkerIsRefusedAtOnceAndDoesNotLowerP() throws Exception {
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"), worker("b"));
        harness.report("a", 4);
        harness.dispatcher.request(harness.now, new Contract.Request(1, 0, -1, harness.now + 5 * S, 255, false));
        harness.dispatcher.request(harness.now, new Contract.Request(2, 0, -1, harness.now + 5 * S, 3, false));
        harness.advance(50 * MS);
        assertEquals("refused", harness.finals.get(1L));
        assertEquals(1, harness.sends.size(), "one that fits is served");
        assertEquals(1.0, (double) get(harness.dispatcher, "acceptance"));
    }

    /** When every attempt fails though no worker looks broken, attempts must not grow to the limit of each request. */
    @Test
    void repeatsOfJobsThatMayHaveRunAreBounded() {
        options.maxAttempts = 4;
        options.classes = List.of(jobClass(Idempotency.SAFE, DedupScope.ALL));
        DispatcherHarness harness = new DispatcherHarness(options.settings())
                .list(IntStream.range(0, 20).mapToObj(i -> worker("w" + i)).toArray(WorkerInfo[]::new));
        int seen = 0;
        long asked = 20 * 200;
        for (long id = 1; id <= asked; id++) {
            harness.request(id);
            for (; seen < harness.sends.size(); seen++) {
                DispatcherHarness.Send s = harness.sends.get(seen);
                harness.dispatcher.jobProgress(harness.now, s.id(), s.attempt(), true);
                harness.endAttempt(s.id(), s.attempt(), Outcome.RESET);
            }
            harness.advance(5 * MS);
        }
        assertTrue(seen > asked, "some are repeated");
        assertTrue(seen <= asked * 1.2 + 5 * 20 + 25, seen + " attempts for " + asked + " requests");
    }

    /** A large worker breaks with 100 jobs on it; their repeats, held at once and sent later, are bounded too. */
    @Test
    void repeatsThatAreHeldAtOnceAreBounded() {
        DispatcherHarness harness = new DispatcherHarness(options.settings()).list(worker("a"), worker("b"));
        harness.report("a", 100);
        harness.report("b", 100);
        for (long id = 1; id <= 200; id++) {
            harness.request(id);
        }
        assertEquals(200, harness.sends.size());
        long broken = harness.sends.stream()
                .filter(s -> s.worker().equals("a"))
                .findFirst()
                .orElseThrow()
                .id();
        harness.endAttempt(broken, 0, Outcome.CONNECT_FAILED);
        List.copyOf(harness.sends).stream()
                .filter(s -> s.worker().equals("b") && s.id() != broken && s.attempt() == 0)
                .forEach(s -> harness.endAttempt(s.id(), 0, Outcome.OK));
        int repeats = harness.sends.size() - 200;
        assertTrue(repeats > 5 && repeats <= 0.2 * 200 + 25 + 1, repeats + " repeats");
    }
}
