package saffronferry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saffronferry.DispatcherHarness.MS;

import java.util.Arrays;
import java.util.BitSet;
import org.junit.jupiter.api.Test;
import saffronferry.fleet.OutgoingTransfers;

/** Encoding of peer messages, and transfers of cold-worker budget that are duplicated, late or lost. */
class PeerMessageTest {
    private static final long NOW = 1_796_162_281_788_301L;

    private static PeerMessage transferOffer(long at, int peers) {
        BitSet members = new BitSet();
        members.set(0, peers);
        PeerMessage m = new PeerMessage(PeerMessage.Type.OFFERS, 0, 1, 1, 1, 50 * MS);
        m.timestamp = at;
        m.knowsColdWorker = true;
        m.grantees = members;
        m.heardPeers = (BitSet) members.clone();
        m.addTransfer(new DispatcherState.Worker("cold", 0).hash, 18);
        return m;
    }

    @Test
    void timestampsGrantsAndTransfersSurviveEncoding() {
        for (long late : new long[] {0, 3_000, 400_000, 100_000_000, -90_000}) {
            for (int peers : new int[] {1, 9, 100, 800}) {
                byte[] bytes = transferOffer(NOW - late, peers).encode();
                PeerMessage m = PeerMessage.decode(bytes, NOW);
                assertTrue(
                        bytes.length <= PeerMessage.MAX_BYTES && Math.abs(m.timestamp - (NOW - late)) < 4_100,
                        "late " + late);
                assertEquals(peers, m.grantees.cardinality());
                assertTrue(m.knowsColdWorker && m.entryCount == 1 && m.isTransfer(0));
                assertEquals(18, m.amount(0));
            }
        }
        byte[] bytes = transferOffer(NOW, 100).encode();
        for (int cut = 0; cut < bytes.length; cut++) {
            PeerMessage.decode(Arrays.copyOf(bytes, cut), NOW); // truncated messages are rejected or shorter
        }
        bytes[9] = (byte) 0x7F;
        assertNull(PeerMessage.decode(bytes, NOW), "a set that is longer than the message");
    }

    /** The set of dispatchers in other zones follows one set or two. */
    @Test
    void theSetOfDispatchersInOtherZonesSurvivesEncoding() {
        for (int hears : new int[] {5, 90}) {
            PeerMessage m = transferOffer(NOW, 3);
            m.heardPeers.set(hears);
            m.otherZonePeers = BitSet.valueOf(new long[] {1L << 40, 7});
            PeerMessage read = PeerMessage.decode(m.encode(), NOW);
            assertEquals(m.otherZonePeers, read.otherZonePeers);
            assertEquals(m.heardPeers, read.heardPeers);
            assertEquals(m.grantees, read.grantees);
            assertEquals(m.entryCount, read.entryCount);
            for (int cut = 0; cut < m.encode().length; cut++) {
                PeerMessage.decode(Arrays.copyOf(m.encode(), cut), NOW);
            }
        }
    }

    /** A transfer is valid once, for a limited time, and for the process that it was sent to. */
    @Test
    void duplicatedLateAndMisdirectedTransfersAreIgnored() {
        record Case(String name, long at, long bornAt, long lastTransferAt, boolean counts) {}

        for (Case c : new Case[] {
            new Case("in time", NOW - 1_000, 0, 0, true),
            new Case(
                    "duplicated",
                    NOW - 1_000,
                    0,
                    PeerMessage.decode(transferOffer(NOW - 1_000, 2).encode(), NOW).timestamp,
                    false),
            new Case("overtaken", NOW - 9_000, 0, NOW - 1_000, false),
            new Case("too late", NOW - 500_000, 0, 0, false),
            new Case("for an earlier process", NOW - 100_000, NOW - 50_000, 0, false),
            new Case("from the future", NOW + 300_000, 0, 0, false)
        }) {
            DispatcherState.Peer peer = new DispatcherState.Peer(1);
            peer.borrowedBudget.markUsed(c.lastTransferAt);
            PeerMessage m = PeerMessage.decode(transferOffer(c.at, 2).encode(), NOW);
            peer.recordOffers(
                    new DispatcherState.Worker[] {new DispatcherState.Worker("cold", 0)}, m, NOW, c.bornAt, 400_000);
            assertEquals(c.counts, peer.offerCovers(0, 1, 600_000), c.name);
            if (c.counts) {
                peer.consumeOffer(0, 1, 600_000);
                assertEquals(false, peer.offerCovers(0, 1, 600_000), "spent");
            }
        }
    }

    /** Unused budget is credited to the sender of the transfer once, and never more than was transferred. */
    @Test
    void unusedBudgetIsReturnedOnceToTheProcessThatTransferredIt() {
        DispatcherState.Worker w = new DispatcherState.Worker("cold", 0);
        DispatcherState.Peer lender = new DispatcherState.Peer(0);
        PeerMessage offer = transferOffer(NOW, 2);
        DispatcherState.Worker[] unknownWorker = {null};
        lender.recordOffers(unknownWorker, PeerMessage.decode(offer.encode(), NOW), NOW, 0, 400_000);
        assertTrue(!lender.hasUnusedLoan(true, NOW + 399_000, 400_000)
                && lender.hasUnusedLoan(true, NOW + 400_000, 400_000));
        assertTrue(lender.hasUnusedLoan(false, NOW, 400_000), "no job waits");
        byte[] bytes = lender.returnUnusedBudget(new PeerMessage(PeerMessage.Type.RETURNS, 0, 1, 1, 1, 50 * MS))
                .encode();
        assertTrue(
                !lender.hasUnusedLoan(false, NOW, 400_000) && !lender.offerCovers(0, 1, 1),
                "no longer usable once it is returned");
        for (int cut = 0; cut < bytes.length; cut++) {
            PeerMessage.decode(Arrays.copyOf(bytes, cut), NOW);
        }
        record Case(String name, long lentAt, int lent, long backAt, double back) {}

        for (Case c : new Case[] {
            new Case("in time", NOW, 18, NOW + 90_000, 900_000),
            new Case("more than was transferred", NOW, 10, NOW + 90_000, 500_000),
            new Case("another transfer", NOW + 8_200, 18, NOW + 90_000, 0),
            new Case("transferred by an earlier process", 0, 0, NOW + 90_000, 0),
            new Case("too late", NOW, 18, NOW + 2_100_000, 0)
        }) {
            OutgoingTransfers transfers = new OutgoingTransfers();
            if (c.lent > 0) {
                transfers.recordTransfer(w.hash, c.lentAt, c.lent * PeerMessage.TRANSFER_UNIT_US);
            }
            PeerMessage m = PeerMessage.decode(bytes, c.backAt);
            assertEquals(
                    c.back,
                    transfers.acceptReturn(
                            m.workerHashes[0], m.timestamp, m.amount(0) * PeerMessage.TRANSFER_UNIT_US, c.backAt),
                    c.name);
            assertEquals(
                    0,
                    transfers.acceptReturn(
                            m.workerHashes[0], m.timestamp, m.amount(0) * PeerMessage.TRANSFER_UNIT_US, c.backAt),
                    c.name + ", duplicated");
        }
        assertTrue(w.coldBudget.covers(600_000, NOW, 1, 8, 0.5));
        w.coldBudget.spend(900_000);
        w.coldBudget.covers(600_000, NOW + 1_000_000, 1, 8, 0.5);
        w.coldBudget.covers(600_000, NOW + 2_000_000, 1, 8, 0.5); // refilled meanwhile
        w.coldBudget.refund(900_000);
        w.coldBudget.spend(1_700_000);
        assertTrue(
                !w.coldBudget.covers(1, NOW + 2_000_000, 1, 8, 0.5),
                "a refund is limited to what would have been kept");
    }

    /** Transferred budget is charged before the datagram is sent. */
    @Test
    void aTransferIsChargedBeforeItIsSent() {
        DispatcherState.Worker w = new DispatcherState.Worker("cold", 0);
        DispatcherState.Peer peer = new DispatcherState.Peer(1);
        peer.zone = 0;
        PeerMessage m = transferOffer(NOW, 2);
        assertTrue(peer.mayLend(m, NOW, 0));
        assertTrue(w.coldBudget.covers(600_000, NOW, 1, 8, 0.5));
        peer.lend(w, DispatcherState.Peer.roundUpToBudgetUnits(600_000), m, NOW);
        assertEquals(false, w.coldBudget.covers(250_000, NOW, 1, 8, 0.5), "the transfer is charged");
        assertTrue(!peer.mayLend(m, NOW + 1_000, 0), "two transfers must have different timestamps");
        assertNotNull(PeerMessage.decode(m.encode(), NOW));
    }
}
