package saffronferry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saffronferry.DispatcherHarness.MS;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import saffronferry.fleet.ColdShares;
import saffronferry.fleet.Sharing;

class WorkerIndexTest {
    /** Guards against memory that grows with every release of the workers. */
    @Test
    void afterManyReleasesTheGoneAreForgotten() {
        WorkerIndex fleet = new WorkerIndex(1, 1, 0);
        for (int i = 0; i < 2000; i++) {
            DispatcherState.Worker w = new DispatcherState.Worker("w" + i, 0);
            w.state = i < 10 ? Contract.WorkerState.IN_SERVICE : Contract.WorkerState.GONE;
            fleet.byAddress.put(w.address, w);
            fleet.markChanged(w);
        }
        fleet.reassign(alone(1, 0), false, KNOWN);
        assertEquals(10, fleet.byAddress.size());
    }

    /** Beside a fifth of the requests the sum of repeats does not grow with the fleet, but for a least part of each. */
    @Test
    void repeatsOfAFleetAreBounded() {
        for (int n : new int[] {1, 2, 4, 16, 100}) {
            RepeatBudget[] all = new RepeatBudget[n];
            int taken = 0;
            for (int i = 0; i < n; i++) {
                all[i] = new RepeatBudget(n);
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
        DispatcherHarness.Options options = new DispatcherHarness.Options();
        options.peers = 4;
        options.zones = 2;
        DispatcherHarness harness = new DispatcherHarness(options.settings());
        harness.list(DispatcherHarness.worker("old"), DispatcherHarness.worker("cold", 0, Contract.WorkerState.IN_SERVICE, harness.now - 1));
        assertEquals(Sharing.Fallback.ALONE, harness.dispatcher.sharing().fallback());
        assertEquals(0.25, harness.dispatcher.sharing().part());
        for (int peer : new int[] {1, 2}) {
            harness.dispatcher.peerMessage(
                    harness.now, peer, new Message(Message.Type.OFFERS, peer - 1, 1, 1, 1, 50 * MS).bytes());
        }
        Sharing s = harness.dispatcher.sharing();
        assertEquals(Sharing.Fallback.PARTS, s.fallback());
        assertEquals("4 3 2 1", s.peers() + " " + s.heard() + " " + s.counted() + " " + s.cold());
        assertTrue(s.guarded() == 0 || s.part() == 1 / 3.0, "one is elsewhere: " + s);
    }

    private static final Lessons KNOWN =
            new Lessons(2, List.of(DispatcherHarness.jobClass(Contract.Effect.SAFE, Contract.Group.ALL)), 1);

    /** One dispatcher; zones keep their workers. */
    private static WorkerOwnership alone(int zones, int zone) {
        WorkerOwnership ownership = new WorkerOwnership(zones, zone, new ColdShares(0, 1));
        BitSet served = new BitSet();
        served.set(0, zones);
        ownership.update(new int[] {0}, new int[] {0}, served);
        return ownership;
    }

    private static WorkerIndex of(int workers) {
        WorkerIndex fleet = new WorkerIndex(1, 1, 0);
        for (int i = 0; i < workers; i++) {
            DispatcherState.Worker w = new DispatcherState.Worker("10.0.0." + i, 0);
            w.state = Contract.WorkerState.IN_SERVICE;
            fleet.byAddress.put(w.address, w);
            fleet.markChanged(w);
        }
        arrange(fleet, alone(1, 0));
        return fleet;
    }

    @Test
    void everyWorkerIsFoundByItsHash() {
        WorkerIndex fleet = of(20);
        for (DispatcherState.Worker w : fleet.byAddress.values()) {
            assertEquals(w, fleet.find(0, w.hash));
        }
    }

    /** As a walk over all of our own finds them, from any place on and round the end. */
    @Test
    void thoseWatchedAreMetInTheOrderOfTheRing() {
        WorkerIndex fleet = of(50);
        SplittableRandom dice = new SplittableRandom(1);
        for (int i = 0; i < 500; i++) {
            DispatcherState.Worker changed = fleet.ownedWorkers[dice.nextInt(50)];
            changed.suspect = !changed.suspect;
            fleet.updateIndexes(changed, true);
            int turn = dice.nextInt();
            int most = 1 + dice.nextInt(50);
            List<DispatcherState.Worker> walked = new ArrayList<>();
            for (int k = 0; k < most; k++) {
                DispatcherState.Worker w = fleet.ownedWorkers[(Math.floorMod(turn, 50) + k) % 50];
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
        WorkerIndex fleet = of(1100);
        DispatcherState.Worker old = fleet.ownedWorkers[0];
        old.suspect = true;
        fleet.markCold(old, 1);
        fleet.updateIndexes(old, true);
        old.state = Contract.WorkerState.GONE;
        fleet.markChanged(old);
        arrange(fleet, alone(1, 0));
        assertEquals(1099, fleet.byAddress.size());
        assertEquals(List.of(), fleet.watched(0, 1099));
        DispatcherState.Worker young = new DispatcherState.Worker(old.address, 0);
        young.state = Contract.WorkerState.IN_SERVICE;
        young.suspect = true;
        fleet.byAddress.put(young.address, young);
        fleet.markCold(young, 2);
        arrange(fleet, alone(1, 0));
        assertEquals(1, fleet.coldOwned().size());
        assertSame(young, fleet.coldOwned().iterator().next());
        assertSame(young, fleet.ownedWorkers[0]);
        assertEquals(1, fleet.watched(0, 1100).size());
        assertSame(young, fleet.watched(0, 1).get(0));
    }

    private static void arrange(WorkerIndex fleet, WorkerOwnership ownership) {
        fleet.reassign(ownership, false, KNOWN).forEach(w -> fleet.updateIndexes(w, w.ownedLocally));
    }

    /** Whatever became of workers: as walks over the whole list find them. */
    @Test
    void eachWorkerHasItsPlaceInAllIndexes() {
        WorkerIndex fleet = new WorkerIndex(2, 2, 1);
        SplittableRandom dice = new SplittableRandom(1);
        ColdShares shares = new ColdShares(0, 3);
        WorkerOwnership ownership = new WorkerOwnership(2, 1, shares);
        List<DispatcherState.Worker> all = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            all.add(new DispatcherState.Worker("10.0.0." + i, i % 3 - 1));
            all.get(i).state = Contract.WorkerState.IN_SERVICE;
            fleet.byAddress.put(all.get(i).address, all.get(i));
            fleet.markChanged(all.get(i));
        }
        for (int round = 0; round < 600; round++) {
            for (int k = dice.nextInt(4); k > 0; k--) {
                change(fleet, all.get(dice.nextInt(all.size())), dice);
            }
            fleet.promoteWarm(round - 40);
            int[] near = IntStream.range(0, 3)
                    .filter(y -> y == 0 || dice.nextInt(200) > 20)
                    .toArray();
            BitSet served = BitSet.valueOf(new long[] {dice.nextInt(50) == 0 ? 2 : 3});
            boolean anew = (round / 50 & 1) == 0 && ownership.update(near, near, served) || round == 0;
            fleet.reassign(ownership, anew, KNOWN).forEach(w -> fleet.updateIndexes(w, w.ownedLocally));
            DispatcherState.Worker w = all.get(dice.nextInt(all.size()));
            w.suspect = !w.suspect;
            fleet.updateIndexes(w, w.ownedLocally);
            compare(fleet, ownership, all);
        }
    }

    private static void change(WorkerIndex fleet, DispatcherState.Worker w, SplittableRandom dice) {
        if (dice.nextInt(3) == 0) {
            fleet.markCold(w, 1 + dice.nextInt(600));
        } else {
            w.state = Contract.WorkerState.values()[dice.nextInt(3)];
            w.zone = dice.nextInt(3) - 1;
            fleet.markChanged(w);
        }
    }

    private static void compare(WorkerIndex fleet, WorkerOwnership ownership, List<DispatcherState.Worker> all) {
        List<DispatcherState.Worker> sorted = all.stream()
                .filter(w -> w.state != Contract.WorkerState.GONE)
                .sorted(Comparator.comparing((DispatcherState.Worker w) -> w.hash).thenComparing(w -> w.address))
                .toList();
        for (int z = 0; z < 2; z++) {
            int zone = z;
            assertEquals(sorted.stream().filter(w -> ownership.zoneOf(w) == zone).toList(), List.of(fleet.workersByZone[z]));
        }
        List<DispatcherState.Worker> here = List.of(fleet.workersByZone[1]);
        int[] owners = ownership.assignWarmOwners(fleet.workersByZone[1]);
        for (int i = 0; i < owners.length; i++) {
            assertEquals(owners[i], here.get(i).warmOwner);
        }
        List<DispatcherState.Worker> ours = here.stream().filter(ownership::isOwnedLocally).toList();
        assertEquals(ours, List.of(fleet.ownedWorkers));
        assertEquals(
                ours,
                all.stream()
                        .filter(w -> w.ownedLocally)
                        .sorted(Comparator.comparing(sorted::indexOf))
                        .toList());
        assertEquals(ours.stream().filter(w -> w.coldSince != 0).toList(), List.copyOf(fleet.coldOwned()));
        assertEquals(here.stream().anyMatch(w -> w.coldSince != 0), fleet.hasCold());
        assertEquals(ours.stream().filter(w -> w.suspect).toList(), fleet.watched(0, ours.size()));
        for (int k = 0; k < fleet.kindGroups(); k++) {
            int kind = k == 2 ? -1 : k;
            List<DispatcherState.Worker> present =
                    here.stream().filter(w -> w.kind == kind).toList();
            assertEquals(present.size(), fleet.presentCount(k));
            assertEquals(
                    present.stream()
                            .filter(w -> !w.suspect && w.state == Contract.WorkerState.IN_SERVICE)
                            .count(),
                    fleet.availableCount(k));
        }
    }
}
