package saffronferry.agree;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How settings spread over a fleet, its network at its worst; in virtual time, so with one verdict. */
class GossipTest {
    private static final long SECOND = HollowFleet.SECOND;
    private static final int CAP = 2000;

    private static HollowFleet fleet(int size, double loss) {
        HollowFleet fleet = new HollowFleet(size, CAP, loss, 38);
        fleet.run(3 * SECOND);
        return fleet;
    }

    @ParameterizedTest
    @CsvSource({"3,0", "3,0.2", "16,0.2", "16,0.4", "60,0", "60,0.2", "60,0.4"})
    void eachChangeIsInForceEverywhereWithinSixSeconds(int size, double loss) {
        HollowFleet fleet = fleet(size, loss);
        fleet.stream(40, 1_500_000);
        fleet.run(10 * SECOND);
        assertTrue(fleet.seconds(1) <= 6, "last one after " + fleet.seconds(1) + " s");
        assertTrue(fleet.agreed());
    }

    @Test
    void doubledAndReorderedDatagramsChangeNothing() {
        HollowFleet fleet = fleet(16, 0.4);
        fleet.doubled = 0.5;
        fleet.stream(20, 1_000_000);
        assertTrue(fleet.runUntilAgreed(10 * SECOND) >= 0);
        for (int i = 0; i < fleet.size; i++) {
            assertEquals(fleet.inForce.get(0), fleet.inForce.get(i));
        }
    }

    @Test
    void aQuietFleetSaysAFewDozenBytesASecondWhateverItsSize() {
        for (int size : new int[] {3, 60}) {
            HollowFleet fleet = fleet(size, 0);
            fleet.changeAll(0, HollowFleet.burst(200, "5"));
            fleet.run(60 * SECOND);
            double quiet = fleet.bytesPerS(() -> fleet.run(60 * SECOND));
            assertTrue(quiet < 60, size + ": " + quiet);
        }
    }

    @Test
    void aBurstOfAllTenantsKeepsTheCapAndEndsInAgreement() {
        HollowFleet fleet = fleet(40, 0.2);
        fleet.changeAll(0, HollowFleet.burst(1100, "5"));
        long took = fleet.runUntilAgreed(120 * SECOND);
        assertTrue(took >= 0 && fleet.mostInASecond <= CAP, took + " us, " + fleet.mostInASecond + " bytes");
        assertEquals(1100, fleet.nodes[7].status(fleet.now).heldChanges());
    }

    @Test
    void halvesThatWereCutAgreeOnTheLaterChangeOnceHealed() {
        HollowFleet fleet = fleet(20, 0.2);
        fleet.change(0, 1, "10");
        fleet.run(5 * SECOND);
        Arrays.fill(fleet.side, 10, 20, 1);
        fleet.run(10 * SECOND);
        fleet.changeAll(3, Map.of(HollowFleet.key(1), "20"));
        fleet.run(SECOND);
        fleet.changeAll(15, Map.of(HollowFleet.key(1), "30"));
        fleet.changeAll(2, Map.of(HollowFleet.key(2), "40"));
        fleet.run(19 * SECOND);
        assertFalse(fleet.agreed());
        assertEquals("20", fleet.inForce.get(9).get(HollowFleet.key(1)));
        assertEquals("30", fleet.inForce.get(10).get(HollowFleet.key(1)));
        Arrays.fill(fleet.side, 0);
        assertTrue(fleet.runUntilAgreed(6 * SECOND) >= 0);
        for (int i = 0; i < fleet.size; i++) {
            assertEquals("30", fleet.inForce.get(i).get(HollowFleet.key(1)));
            assertEquals("40", fleet.inForce.get(i).get(HollowFleet.key(2)));
        }
    }

    /** With no loss; what is lost with the one datagram and its origin nobody can know. */
    @Test
    void aChangeOutlivesItsOriginThatDiedAfterItsFirstDatagram() {
        List<byte[]> said = new ArrayList<>();
        HollowFleet fleet = fleet(20, 0);
        Gossip origin = new Gossip(
                new Gossip.Options(0, 20, CAP, HollowFleet.SECRET, 5),
                new Gossip.Callbacks() {
                    @Override
                    public void send(int peer, byte[] bytes) {
                        said.add(bytes);
                    }

                    @Override
                    public void changesApplied(List<SettingChange> changes) {}
                },
                fleet.now);
        fleet.dead[0] = true;
        origin.applyLocalChanges(fleet.now, Map.of(HollowFleet.key(1), "7"));
        fleet.arrive(0, 5, said.get(0));
        assertTrue(fleet.runUntilAgreed(6 * SECOND) >= 0);
        assertEquals("7", fleet.inForce.get(19).get(HollowFleet.key(1)));
    }

    @Test
    void aTenthRestartedDuringABurstCatchesUp() {
        HollowFleet fleet = fleet(30, 0.2);
        fleet.changeAll(0, HollowFleet.burst(1100, "5"));
        for (int i = 0; i < 3; i++) {
            fleet.run(4 * SECOND);
            fleet.start(10 + i);
        }
        assertEquals(
                GossipStatus.State.CATCHING_UP,
                fleet.nodes[12].status(fleet.now).state());
        assertTrue(fleet.runUntilAgreed(120 * SECOND) >= 0);
        fleet.run(5 * SECOND);
        assertEquals(
                GossipStatus.State.CONNECTED, fleet.nodes[12].status(fleet.now).state());
        assertEquals(1100, fleet.inForce.get(12).size());
    }

    @Test
    void aRemovalIsNotUndoneByWhoWasStoppedMeanwhile() {
        HollowFleet fleet = fleet(10, 0.2);
        fleet.change(0, 1, "10");
        fleet.run(5 * SECOND);
        fleet.stopped[4] = true;
        fleet.changeAll(0, java.util.Collections.singletonMap(HollowFleet.key(1), null));
        fleet.run(30 * SECOND);
        assertEquals("10", fleet.inForce.get(4).get(HollowFleet.key(1)));
        fleet.resume(4);
        assertTrue(fleet.runUntilAgreed(6 * SECOND) >= 0);
        for (int i = 0; i < fleet.size; i++) {
            assertNull(fleet.inForce.get(i).get(HollowFleet.key(1)));
        }
    }

    /** What replaces a change must win, though it was made by a clock behind. */
    @Test
    void aClockATenthOfASecondAheadLosesNothing() {
        HollowFleet fleet = fleet(10, 0);
        fleet.ahead[3] = 100_000;
        fleet.change(3, 1, "10");
        fleet.run(60_000);
        int other = 0;
        while (!"10".equals(fleet.inForce.get(other).get(HollowFleet.key(1))) || other == 3) {
            other++;
        }
        fleet.changeAll(other, Map.of(HollowFleet.key(1), "20"));
        assertTrue(fleet.runUntilAgreed(6 * SECOND) >= 0);
        for (int i = 0; i < fleet.size; i++) {
            assertEquals("20", fleet.inForce.get(i).get(HollowFleet.key(1)));
        }
    }

    @Test
    void whoHearsNobodySaysSoAndGoesOn() {
        HollowFleet fleet = fleet(10, 0);
        fleet.change(0, 1, "10");
        fleet.run(5 * SECOND);
        fleet.side[9] = 1;
        fleet.run(12 * SECOND);
        assertEquals(GossipStatus.State.ISOLATED, fleet.nodes[9].status(fleet.now).state());
        assertEquals("10", fleet.inForce.get(9).get(HollowFleet.key(1)));
        fleet.side[9] = 0;
        fleet.run(5 * SECOND);
        assertEquals(
                GossipStatus.State.CONNECTED, fleet.nodes[9].status(fleet.now).state());
    }

    @Test
    void whatIsGarbledCutShortForgedOrOfALaterVersionIsDropped() {
        HollowFleet fleet = fleet(6, 0);
        SplittableRandom random = new SplittableRandom(7);
        fleet.garble = b -> {
            if (random.nextInt(3) == 0) {
                b[random.nextInt(b.length)] ^= (byte) (1 << random.nextInt(8));
                return b;
            }
            return random.nextInt(3) == 0 ? Arrays.copyOf(b, random.nextInt(b.length)) : b;
        };
        fleet.stream(20, SECOND);
        assertTrue(fleet.runUntilAgreed(20 * SECOND) >= 0);
        assertEquals(20, fleet.inForce.get(5).size());
        assertTrue(fleet.nodes[5].status(fleet.now).droppedDatagrams() > 0);

        long digest = fleet.nodes[5].status(fleet.now).digest();
        Frame forged = Frame.of(Frame.Kind.CHANGES, 0, fleet.now);
        forged.add(new SettingChange(HollowFleet.key(1), "999", fleet.now, 0, 0));
        byte[] later = forged.bytes(new Seal(HollowFleet.SECRET));
        later[0] = Frame.VERSION + 1;
        fleet.arrive(0, 5, later);
        fleet.arrive(0, 5, forged.bytes(new Seal(new byte[] {1})));
        fleet.arrive(0, 5, new byte[7]);
        Frame strange = Frame.of(Frame.Kind.CHANGES, 0, fleet.now);
        strange.put(7, 5); // sealed rightly, and no form
        fleet.arrive(0, 5, strange.bytes(new Seal(HollowFleet.SECRET)));
        assertEquals(digest, fleet.nodes[5].status(fleet.now).digest());
        fleet.arrive(0, 5, forged.bytes(new Seal(HollowFleet.SECRET)));
        assertEquals("999", fleet.inForce.get(5).get(HollowFleet.key(1)), "the same with its seal is taken");
    }

    @Test
    void whatIsReplayedChangesNothing() {
        HollowFleet fleet = fleet(6, 0);
        List<byte[]> heard = new ArrayList<>();
        fleet.garble = b -> {
            heard.add(b.clone());
            return b;
        };
        fleet.stream(5, SECOND);
        fleet.changeAll(0, HollowFleet.burst(5, "77"));
        assertTrue(fleet.runUntilAgreed(6 * SECOND) >= 0);
        List<byte[]> replayed = List.copyOf(heard);
        for (long later : new long[] {SECOND, 60 * SECOND}) {
            fleet.run(later);
            long digest = fleet.nodes[5].status(fleet.now).digest();
            long dropped = fleet.nodes[5].status(fleet.now).droppedDatagrams();
            replayed.forEach(b -> fleet.arrive(0, 5, b));
            assertEquals(digest, fleet.nodes[5].status(fleet.now).digest());
            assertEquals(
                    later > 30 * SECOND ? replayed.size() : 0,
                    fleet.nodes[5].status(fleet.now).droppedDatagrams() - dropped);
        }
        assertTrue(fleet.mostInASecond <= CAP);
    }

    @Test
    void oneThatHasNoOtherSaysNothing() {
        HollowFleet fleet = fleet(1, 0);
        fleet.changeAll(0, Map.of(HollowFleet.key(1), "7"));
        fleet.run(20 * SECOND);
        assertEquals(0, fleet.totalBytes());
        assertEquals(
                GossipStatus.State.CONNECTED, fleet.nodes[0].status(fleet.now).state());
    }
}
