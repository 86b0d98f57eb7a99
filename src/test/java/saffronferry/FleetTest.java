package saffronferry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import saffronferry.fleet.ColdShares;
import saffronferry.fleet.Sharing;

class FleetTest {
    /** Guards against memory that grows with every release of the workers. */
    @Test
    void afterManyReleasesTheGoneAreForgotten() {
        Fleet fleet = new Fleet(1, 1, 0);
        for (int i = 0; i < 2000; i++) {
            Book.Worker w = new Book.Worker("w" + i, 0);
            w.state = i < 10 ? Contract.WorkerState.IN_SERVICE : Contract.WorkerState.GONE;
            fleet.byAddress.put(w.address, w);
            fleet.touch(w);
        }
        fleet.arrange(alone(1, 0), false, KNOWN);
        assertEquals(10, fleet.byAddress.size());
    }

    /** Beside a fifth of the requests the sum of repeats does not grow with the fleet, but for a least part of each. */
    @Test
    void repeatsOfAFleetAreBounded() {
        for (int n : new int[] {1, 2, 4, 16, 100}) {
            RetryBudget[] all = new RetryBudget[n];
            int taken = 0;
            for (int i = 0; i < n; i++) {
                all[i] = new RetryBudget(n);
                all[i].share(i % 2 + 1); // while two processes live each has half
                all[i].share(1);
                for (int t = 0; t < 100; t++) {
                    all[i].pass(0.1);
                    all[i].asked();
                    while (all[i].take()) {
                        taken++;
                    }
                }
            }
            double most = Math.max(100, 5 * n) + 10 * Math.max(20, n / 2.0) + 0.2 * 100 * n;
            assertTrue(taken <= most && taken >= Math.min(n, 4) * 50, n + " dispatchers: " + taken + " of " + most);
        }
    }

    /** What operators read of a fleet of four, of which one other of the zone is heard, and one elsewhere. */
    @Test
    void whatIsSharedIsTold() {
        Rig.Plan plan = new Rig.Plan();
        plan.peers = 4;
        plan.zones = 2;
        Rig rig = new Rig(plan.settings());
        rig.list(Rig.worker("old"), Rig.worker("cold", 0, Contract.WorkerState.IN_SERVICE, rig.now - 1));
        assertEquals(Sharing.Fallback.ALONE, rig.module.sharing().fallback());
        assertEquals(0.25, rig.module.sharing().part());
        for (int peer : new int[] {1, 2}) {
            rig.module.peerMessage(
                    rig.now, peer, new PeerMessage(PeerMessage.Type.OFFERS, peer - 1, 1, 1, 1, 50 * Rig.MS).bytes());
        }
        Sharing s = rig.module.sharing();
        assertEquals(Sharing.Fallback.PARTS, s.fallback());
        assertEquals("4 3 2 1", s.peers() + " " + s.heard() + " " + s.counted() + " " + s.cold());
        assertTrue(s.guarded() == 0 || s.part() == 1 / 3.0, "one is elsewhere: " + s);
    }

    private static final LearnedEstimates KNOWN =
            new LearnedEstimates(2, List.of(Rig.jobClass(Contract.Effect.SAFE, Contract.Group.ALL)), 1);

    /** One dispatcher; zones keep their workers. */
    private static Homes alone(int zones, int zone) {
        Homes homes = new Homes(zones, zone, new ColdShares(0, 1));
        BitSet served = new BitSet();
        served.set(0, zones);
        homes.hear(new int[] {0}, new int[] {0}, served);
        return homes;
    }

    private static Fleet of(int workers) {
        Fleet fleet = new Fleet(1, 1, 0);
        for (int i = 0; i < workers; i++) {
            Book.Worker w = new Book.Worker("10.0.0." + i, 0);
            w.state = Contract.WorkerState.IN_SERVICE;
            fleet.byAddress.put(w.address, w);
            fleet.touch(w);
        }
        arrange(fleet, alone(1, 0));
        return fleet;
    }

    @Test
    void everyWorkerIsFoundByItsHash() {
        Fleet fleet = of(20);
        for (Book.Worker w : fleet.byAddress.values()) {
            assertEquals(w, fleet.find(0, w.hash));
        }
    }

    /** As a walk over all of our own finds them, from any place on and round the end. */
    @Test
    void thoseWatchedAreMetInTheOrderOfTheRing() {
        Fleet fleet = of(50);
        SplittableRandom dice = new SplittableRandom(1);
        for (int i = 0; i < 500; i++) {
            Book.Worker changed = fleet.ours[dice.nextInt(50)];
            changed.suspect = !changed.suspect;
            fleet.place(changed, true);
            int turn = dice.nextInt();
            int most = 1 + dice.nextInt(50);
            List<Book.Worker> walked = new ArrayList<>();
            for (int k = 0; k < most; k++) {
                Book.Worker w = fleet.ours[(Math.floorMod(turn, 50) + k) % 50];
                if (w.suspect) {
                    walked.add(w);
                }
            }
            assertEquals(walked, fleet.watched(turn, most));
        }
    }

    /** Guards against a worker that is gone and stands in the way of a new one at its address. */
    @Test
    void theGoneAreWatchedNoMore() {
        Fleet fleet = of(1100);
        Book.Worker old = fleet.ours[0];
        old.suspect = true;
        fleet.chill(old, 1);
        fleet.place(old, true);
        old.state = Contract.WorkerState.GONE;
        fleet.touch(old);
        arrange(fleet, alone(1, 0));
        assertEquals(1099, fleet.byAddress.size());
        assertEquals(List.of(), fleet.watched(0, 1099));
        Book.Worker young = new Book.Worker(old.address, 0);
        young.state = Contract.WorkerState.IN_SERVICE;
        young.suspect = true;
        fleet.byAddress.put(young.address, young);
        fleet.chill(young, 2);
        arrange(fleet, alone(1, 0));
        assertEquals(1, fleet.coldOurs().size());
        assertSame(young, fleet.coldOurs().iterator().next());
        assertSame(young, fleet.ours[0]);
        assertEquals(1, fleet.watched(0, 1100).size());
        assertSame(young, fleet.watched(0, 1).get(0));
    }

    private static void arrange(Fleet fleet, Homes homes) {
        fleet.arrange(homes, false, KNOWN).forEach(w -> fleet.place(w, w.ours));
    }

    /** Whatever became of workers: as walks over the whole list find them. */
    @Test
    void eachWorkerHasItsPlaceInAllIndexes() {
        Fleet fleet = new Fleet(2, 2, 1);
        SplittableRandom dice = new SplittableRandom(1);
        ColdShares shares = new ColdShares(0, 3);
        Homes homes = new Homes(2, 1, shares);
        List<Book.Worker> all = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            all.add(new Book.Worker("10.0.0." + i, i % 3 - 1));
            all.get(i).state = Contract.WorkerState.IN_SERVICE;
            fleet.byAddress.put(all.get(i).address, all.get(i));
            fleet.touch(all.get(i));
        }
        for (int round = 0; round < 600; round++) {
            for (int k = dice.nextInt(4); k > 0; k--) {
                change(fleet, all.get(dice.nextInt(all.size())), dice);
            }
            fleet.warmUp(round - 40);
            int[] near = IntStream.range(0, 3)
                    .filter(y -> y == 0 || dice.nextInt(200) > 20)
                    .toArray();
            BitSet served = BitSet.valueOf(new long[] {dice.nextInt(50) == 0 ? 2 : 3});
            boolean anew = (round / 50 & 1) == 0 && homes.hear(near, near, served) || round == 0;
            fleet.arrange(homes, anew, KNOWN).forEach(w -> fleet.place(w, w.ours));
            Book.Worker w = all.get(dice.nextInt(all.size()));
            w.suspect = !w.suspect;
            fleet.place(w, w.ours);
            compare(fleet, homes, all);
        }
    }

    private static void change(Fleet fleet, Book.Worker w, SplittableRandom dice) {
        if (dice.nextInt(3) == 0) {
            fleet.chill(w, 1 + dice.nextInt(600));
        } else {
            w.state = Contract.WorkerState.values()[dice.nextInt(3)];
            w.zone = dice.nextInt(3) - 1;
            fleet.touch(w);
        }
    }

    private static void compare(Fleet fleet, Homes homes, List<Book.Worker> all) {
        List<Book.Worker> sorted = all.stream()
                .filter(w -> w.state != Contract.WorkerState.GONE)
                .sorted(Comparator.comparing((Book.Worker w) -> w.hash).thenComparing(w -> w.address))
                .toList();
        for (int z = 0; z < 2; z++) {
            int zone = z;
            assertEquals(sorted.stream().filter(w -> homes.zoneOf(w) == zone).toList(), List.of(fleet.ring[z]));
        }
        List<Book.Worker> here = List.of(fleet.ring[1]);
        int[] owners = homes.deal(fleet.ring[1]);
        for (int i = 0; i < owners.length; i++) {
            assertEquals(owners[i], here.get(i).dealtTo);
        }
        List<Book.Worker> ours = here.stream().filter(homes::ours).toList();
        assertEquals(ours, List.of(fleet.ours));
        assertEquals(
                ours,
                all.stream()
                        .filter(w -> w.ours)
                        .sorted(Comparator.comparing(sorted::indexOf))
                        .toList());
        assertEquals(ours.stream().filter(w -> w.coldSince != 0).toList(), List.copyOf(fleet.coldOurs()));
        assertEquals(here.stream().anyMatch(w -> w.coldSince != 0), fleet.anyCold());
        assertEquals(ours.stream().filter(w -> w.suspect).toList(), fleet.watched(0, ours.size()));
        for (int k = 0; k < fleet.groups(); k++) {
            int kind = k == 2 ? -1 : k;
            List<Book.Worker> present =
                    here.stream().filter(w -> w.kind == kind).toList();
            assertEquals(present.size(), fleet.present(k));
            assertEquals(
                    present.stream()
                            .filter(w -> !w.suspect && w.state == Contract.WorkerState.IN_SERVICE)
                            .count(),
                    fleet.counted(k));
        }
    }
}
