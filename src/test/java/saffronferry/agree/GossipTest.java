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

/**
 * Replication of settings over a fleet with an unreliable network. Virtual time and fixed seeds make the results
 * deterministic.
 */
class GossipTest {
    private static final long SECOND = SimulatedFleet.SECOND;
    private static final int MAX_BYTES_PER_SECOND = 2000;

    private static SimulatedFleet fleet(int size, double loss) {
        SimulatedFleet fleet = new SimulatedFleet(size, MAX_BYTES_PER_SECOND, loss, 38);
        fleet.run(3 * SECOND);
        return fleet;
    }

    @ParameterizedTest
    @CsvSource({"3,0", "3,0.2", "16,0.2", "16,0.4", "60,0", "60,0.2", "60,0.4"})
    void everyChangeReachesAllDispatchersWithinSixSeconds(int size, double loss) {
        SimulatedFleet fleet = fleet(size, loss);
        fleet.applyChangeStream(40, 1_500_000);
        fleet.run(10 * SECOND);
        assertTrue(fleet.propagationSeconds(1) <= 6, "last dispatcher after " + fleet.propagationSeconds(1) + " s");
        assertTrue(fleet.converged());
    }

    @Test
    void duplicatedAndReorderedDatagramsDoNotAffectTheResult() {
        SimulatedFleet fleet = fleet(16, 0.4);
        fleet.duplication = 0.5;
        fleet.applyChangeStream(20, 1_000_000);
        assertTrue(fleet.runUntilConverged(10 * SECOND) >= 0);
        for (int i = 0; i < fleet.size; i++) {
            assertEquals(fleet.settings.get(0), fleet.settings.get(i));
        }
    }

    @Test
    void anIdleDispatcherSendsFewBytesWhateverTheFleetSize() {
        for (int size : new int[] {3, 60}) {
            SimulatedFleet fleet = fleet(size, 0);
            fleet.applyChanges(0, SimulatedFleet.changesForTenants(200, "5"));
            fleet.run(60 * SECOND);
            double idleBytesPerSecond = fleet.bytesPerSecond(() -> fleet.run(60 * SECOND));
            assertTrue(idleBytesPerSecond < 60, size + ": " + idleBytesPerSecond);
        }
    }

    @Test
    void aBurstOfChangesStaysWithinTheRateLimitAndConverges() {
        SimulatedFleet fleet = fleet(40, 0.2);
        fleet.applyChanges(0, SimulatedFleet.changesForTenants(1100, "5"));
        long took = fleet.runUntilConverged(120 * SECOND);
        assertTrue(
                took >= 0 && fleet.maxBytesInOneSecond <= MAX_BYTES_PER_SECOND,
                took + " us, " + fleet.maxBytesInOneSecond + " bytes");
        assertEquals(1100, fleet.nodes[7].status(fleet.now).heldChanges());
    }

    @Test
    void partitionedHalvesConvergeOnTheLaterChangeAfterRepair() {
        SimulatedFleet fleet = fleet(20, 0.2);
        fleet.applyTrackedChange(0, 1, "10");
        fleet.run(5 * SECOND);
        Arrays.fill(fleet.partition, 10, 20, 1);
        fleet.run(10 * SECOND);
        fleet.applyChanges(3, Map.of(SimulatedFleet.key(1), "20"));
        fleet.run(SECOND);
        fleet.applyChanges(15, Map.of(SimulatedFleet.key(1), "30"));
        fleet.applyChanges(2, Map.of(SimulatedFleet.key(2), "40"));
        fleet.run(19 * SECOND);
        assertFalse(fleet.converged());
        assertEquals("20", fleet.settings.get(9).get(SimulatedFleet.key(1)));
        assertEquals("30", fleet.settings.get(10).get(SimulatedFleet.key(1)));
        Arrays.fill(fleet.partition, 0);
        assertTrue(fleet.runUntilConverged(6 * SECOND) >= 0);
        for (int i = 0; i < fleet.size; i++) {
            assertEquals("30", fleet.settings.get(i).get(SimulatedFleet.key(1)));
            assertEquals("40", fleet.settings.get(i).get(SimulatedFleet.key(2)));
        }
    }

    /** Without loss: if the only datagram and its origin are lost, the change cannot be recovered. */
    @Test
    void aChangeSurvivesAnOriginThatDiesAfterItsFirstDatagram() {
        List<byte[]> sent = new ArrayList<>();
        SimulatedFleet fleet = fleet(20, 0);
        Gossip origin = new Gossip(
                new Gossip.Options(0, 20, MAX_BYTES_PER_SECOND, SimulatedFleet.SECRET, 5),
                new Gossip.Callbacks() {
                    @Override
                    public void send(int peer, byte[] bytes) {
                        sent.add(bytes);
                    }

                    @Override
                    public void changesApplied(List<SettingChange> changes) {}
                },
                fleet.now);
        fleet.dead[0] = true;
        origin.applyLocalChanges(fleet.now, Map.of(SimulatedFleet.key(1), "7"));
        fleet.deliver(0, 5, sent.get(0));
        assertTrue(fleet.runUntilConverged(6 * SECOND) >= 0);
        assertEquals("7", fleet.settings.get(19).get(SimulatedFleet.key(1)));
    }

    @Test
    void dispatchersRestartedDuringABurstCatchUp() {
        SimulatedFleet fleet = fleet(30, 0.2);
        fleet.applyChanges(0, SimulatedFleet.changesForTenants(1100, "5"));
        for (int i = 0; i < 3; i++) {
            fleet.run(4 * SECOND);
            fleet.start(10 + i);
        }
        assertEquals(
                GossipStatus.State.CATCHING_UP,
                fleet.nodes[12].status(fleet.now).state());
        assertTrue(fleet.runUntilConverged(120 * SECOND) >= 0);
        fleet.run(5 * SECOND);
        assertEquals(
                GossipStatus.State.CONNECTED, fleet.nodes[12].status(fleet.now).state());
        assertEquals(1100, fleet.settings.get(12).size());
    }

    @Test
    void aRemovalIsNotUndoneByADispatcherThatWasStopped() {
        SimulatedFleet fleet = fleet(10, 0.2);
        fleet.applyTrackedChange(0, 1, "10");
        fleet.run(5 * SECOND);
        fleet.stopped[4] = true;
        fleet.applyChanges(0, java.util.Collections.singletonMap(SimulatedFleet.key(1), null));
        fleet.run(30 * SECOND);
        assertEquals("10", fleet.settings.get(4).get(SimulatedFleet.key(1)));
        fleet.resumeNode(4);
        assertTrue(fleet.runUntilConverged(6 * SECOND) >= 0);
        for (int i = 0; i < fleet.size; i++) {
            assertNull(fleet.settings.get(i).get(SimulatedFleet.key(1)));
        }
    }

    /** A change must win over the one that it replaces even if its own clock is behind. */
    @Test
    void aClockThatIsAheadDoesNotSuppressLaterChanges() {
        SimulatedFleet fleet = fleet(10, 0);
        fleet.clockLeadUs[3] = 100_000;
        fleet.applyTrackedChange(3, 1, "10");
        fleet.run(60_000);
        int other = 0;
        while (!"10".equals(fleet.settings.get(other).get(SimulatedFleet.key(1))) || other == 3) {
            other++;
        }
        fleet.applyChanges(other, Map.of(SimulatedFleet.key(1), "20"));
        assertTrue(fleet.runUntilConverged(6 * SECOND) >= 0);
        for (int i = 0; i < fleet.size; i++) {
            assertEquals("20", fleet.settings.get(i).get(SimulatedFleet.key(1)));
        }
    }

    @Test
    void anIsolatedDispatcherReportsItAndKeepsItsSettings() {
        SimulatedFleet fleet = fleet(10, 0);
        fleet.applyTrackedChange(0, 1, "10");
        fleet.run(5 * SECOND);
        fleet.partition[9] = 1;
        fleet.run(12 * SECOND);
        assertEquals(
                GossipStatus.State.ISOLATED, fleet.nodes[9].status(fleet.now).state());
        assertEquals("10", fleet.settings.get(9).get(SimulatedFleet.key(1)));
        fleet.partition[9] = 0;
        fleet.run(5 * SECOND);
        assertEquals(
                GossipStatus.State.CONNECTED, fleet.nodes[9].status(fleet.now).state());
    }

    @Test
    void corruptedTruncatedForgedAndNewerDatagramsAreDropped() {
        SimulatedFleet fleet = fleet(6, 0);
        SplittableRandom random = new SplittableRandom(7);
        fleet.corrupt = b -> {
            if (random.nextInt(3) == 0) {
                b[random.nextInt(b.length)] ^= (byte) (1 << random.nextInt(8));
                return b;
            }
            return random.nextInt(3) == 0 ? Arrays.copyOf(b, random.nextInt(b.length)) : b;
        };
        fleet.applyChangeStream(20, SECOND);
        assertTrue(fleet.runUntilConverged(20 * SECOND) >= 0);
        assertEquals(20, fleet.settings.get(5).size());
        assertTrue(fleet.nodes[5].status(fleet.now).droppedDatagrams() > 0);

        long digest = fleet.nodes[5].status(fleet.now).digest();
        GossipDatagram forged = GossipDatagram.of(GossipDatagram.Kind.CHANGES, 0, fleet.now);
        forged.addChange(new SettingChange(SimulatedFleet.key(1), "999", fleet.now, 0, 0));
        byte[] newer = forged.toBytes(new DatagramAuthenticator(SimulatedFleet.SECRET));
        newer[0] = GossipDatagram.VERSION + 1;
        fleet.deliver(0, 5, newer);
        fleet.deliver(0, 5, forged.toBytes(new DatagramAuthenticator(new byte[] {1})));
        fleet.deliver(0, 5, new byte[7]);
        GossipDatagram malformed = GossipDatagram.of(GossipDatagram.Kind.CHANGES, 0, fleet.now);
        malformed.putInteger(7, 5); // authentic, but not a valid payload
        fleet.deliver(0, 5, malformed.toBytes(new DatagramAuthenticator(SimulatedFleet.SECRET)));
        assertEquals(digest, fleet.nodes[5].status(fleet.now).digest());
        fleet.deliver(0, 5, forged.toBytes(new DatagramAuthenticator(SimulatedFleet.SECRET)));
        assertEquals(
                "999",
                fleet.settings.get(5).get(SimulatedFleet.key(1)),
                "the same datagram with a valid tag is applied");
    }

    @Test
    void replayedDatagramsChangeNothing() {
        SimulatedFleet fleet = fleet(6, 0);
        List<byte[]> received = new ArrayList<>();
        fleet.corrupt = b -> {
            received.add(b.clone());
            return b;
        };
        fleet.applyChangeStream(5, SECOND);
        fleet.applyChanges(0, SimulatedFleet.changesForTenants(5, "77"));
        assertTrue(fleet.runUntilConverged(6 * SECOND) >= 0);
        List<byte[]> replayed = List.copyOf(received);
        for (long later : new long[] {SECOND, 60 * SECOND}) {
            fleet.run(later);
            long digest = fleet.nodes[5].status(fleet.now).digest();
            long dropped = fleet.nodes[5].status(fleet.now).droppedDatagrams();
            replayed.forEach(b -> fleet.deliver(0, 5, b));
            assertEquals(digest, fleet.nodes[5].status(fleet.now).digest());
            assertEquals(
                    later > 30 * SECOND ? replayed.size() : 0,
                    fleet.nodes[5].status(fleet.now).droppedDatagrams() - dropped);
        }
        assertTrue(fleet.maxBytesInOneSecond <= MAX_BYTES_PER_SECOND);
    }

    @Test
    void aDispatcherWithoutPeersSendsNothing() {
        SimulatedFleet fleet = fleet(1, 0);
        fleet.applyChanges(0, Map.of(SimulatedFleet.key(1), "7"));
        fleet.run(20 * SECOND);
        assertEquals(0, fleet.totalBytes());
        assertEquals(
                GossipStatus.State.CONNECTED, fleet.nodes[0].status(fleet.now).state());
    }
}
