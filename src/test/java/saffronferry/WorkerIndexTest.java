package saffronferry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saffronferry.DispatcherHarness.MS;
import static saffronferry.DispatcherHarness.jobClass;
import static saffronferry.DispatcherHarness.worker;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import saffronferry.fleet.ColdShares;
import saffronferry.fleet.SharingStatus;

class WorkerIndexTest {
    /** Each release replaces all workers; those that are gone must not fill the memory. */
    @Test
    void workersThatAreGoneAreForgottenAfterManyReleases() {
        WorkerIndex index = new WorkerIndex(1, 1, 0);
        for (int i = 0; i < 2000; i++) {
            DispatcherState.Worker w = new DispatcherState.Worker("w" + i, 0);
            w.state = i < 10 ? Contract.WorkerState.IN_SERVICE : Contract.WorkerState.GONE;
            index.byAddress.put(w.address, w);
            index.markChanged(w);
        }
        index.reassign(alone(1, 0), false, ESTIMATES);
        assertEquals(10, index.byAddress.size());
    }

    /** Besides a fifth of the requests, the repeats of all dispatchers grow with the fleet by their minimum only. */
    @Test
    void repeatsOfAFleetAreBounded() {
        for (int n : new int[] {1, 2, 4, 16, 100}) {
            RetryBudget[] all = new RetryBudget[n];
            int taken = 0;
            for (int i = 0; i < n; i++) {
                all[i] = new RetryBudget(n);
                all[i].shareAmong(i % 2 + 1); // while two processes run, each has half
                all[i].shareAmong(1);
                for (int t = 0; t < 100; t++) {
                    all[i].refill(0.1);
                    all[i].requestReceived();
                    while (all[i].tryTake()) {
                        taken++;
                    }
                }
            }
            double most = Math.max(100, 5 * n) + 10 * Math.max(20, n / 2.0) + 0.2 * 100 * n;
            assertTrue(taken <= most && taken >= Math.min(n, 4) * 50, n + " dispatchers: " + taken + " of " + most);
        }
    }

    /**
     * The figures for operators, in a fleet of four in which one peer of the zone and one of another zone are heard.
     */
    @Test
    void sharingReportsTheDispatchersThatAreHeard() {
        DispatcherHarness.Options options = new DispatcherHarness.Options();
        options.peers = 4;
        options.zones = 2;
        DispatcherHarness harness = new DispatcherHarness(options.settings());
        harness.list(worker("old"), worker("cold", 0, Contract.WorkerState.IN_SERVICE, harness.now - 1));
        assertEquals(SharingStatus.Fallback.ALONE, harness.dispatcher.sharing().fallback());
        assertEquals(0.25, harness.dispatcher.sharing().meanShare());
        for (int peer : new int[] {1, 2}) {
            harness.dispatcher.peerMessage(
                    harness.now, peer, new PeerMessage(PeerMessage.Type.OFFERS, peer - 1, 1, 1, 1, 50 * MS).encode());
        }
        SharingStatus sharing = harness.dispatcher.sharing();
        assertEquals(SharingStatus.Fallback.PARTS, sharing.fallback());
        assertEquals(
                "4 3 2 1",
                sharing.dispatchers() + " " + sharing.heard() + " " + sharing.delegates() + " "
                        + sharing.coldWorkers());
        assertTrue(
                sharing.guardedWorkers() == 0 || sharing.meanShare() == 1 / 3.0, "one is in another zone: " + sharing);
    }

    private static final LearnedEstimates ESTIMATES =
            new LearnedEstimates(2, List.of(jobClass(Contract.Idempotency.SAFE, Contract.DedupScope.ALL)), 1);

    /** Ownership of a single dispatcher, with zones that keep their workers. */
    private static WorkerOwnership alone(int zones, int zone) {
        WorkerOwnership ownership = new WorkerOwnership(zones, zone, new ColdShares(0, 1));
        BitSet servedZones = new BitSet();
        servedZones.set(0, zones);
        ownership.update(new int[] {0}, new int[] {0}, servedZones);
        return ownership;
    }

    private static WorkerIndex of(int workers) {
        WorkerIndex index = new WorkerIndex(1, 1, 0);
        for (int i = 0; i < workers; i++) {
            DispatcherState.Worker w = new DispatcherState.Worker("10.0.0." + i, 0);
            w.state = Contract.WorkerState.IN_SERVICE;
            index.byAddress.put(w.address, w);
            index.markChanged(w);
        }
        reassign(index, alone(1, 0));
        return index;
    }

    @Test
    void everyWorkerIsFoundByItsHash() {
        WorkerIndex index = of(20);
        for (DispatcherState.Worker w : index.byAddress.values()) {
            assertEquals(w, index.find(0, w.hash));
        }
    }

    /** The same result as a loop over all owned workers, from any position on and round the end. */
    @Test
    void watchedWorkersAreReturnedInHashOrder() {
        WorkerIndex index = of(50);
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 500; i++) {
            DispatcherState.Worker changed = index.ownedWorkers[random.nextInt(50)];
            changed.suspect = !changed.suspect;
            index.updateIndexes(changed, true);
            int start = random.nextInt();
            int limit = 1 + random.nextInt(50);
            List<DispatcherState.Worker> expected = new ArrayList<>();
            for (int k = 0; k < limit; k++) {
                DispatcherState.Worker w = index.ownedWorkers[(Math.floorMod(start, 50) + k) % 50];
                if (w.suspect) {
                    expected.add(w);
                }
            }
            assertEquals(expected, index.watched(start, limit));
        }
    }

    /** A worker that is gone must not stay in an index beside a new one at the same address. */
    @Test
    void workersThatAreGoneLeaveTheIndexes() {
        WorkerIndex index = of(1100);
        DispatcherState.Worker old = index.ownedWorkers[0];
        old.suspect = true;
        index.markCold(old, 1);
        index.updateIndexes(old, true);
        old.state = Contract.WorkerState.GONE;
        index.markChanged(old);
        reassign(index, alone(1, 0));
        assertEquals(1099, index.byAddress.size());
        assertEquals(List.of(), index.watched(0, 1099));
        DispatcherState.Worker replacement = new DispatcherState.Worker(old.address, 0);
        replacement.state = Contract.WorkerState.IN_SERVICE;
        replacement.suspect = true;
        index.byAddress.put(replacement.address, replacement);
        index.markCold(replacement, 2);
        reassign(index, alone(1, 0));
        assertEquals(1, index.coldOwned().size());
        assertSame(replacement, index.coldOwned().iterator().next());
        assertSame(replacement, index.ownedWorkers[0]);
        assertEquals(1, index.watched(0, 1100).size());
        assertSame(replacement, index.watched(0, 1).get(0));
    }

    private static void reassign(WorkerIndex index, WorkerOwnership ownership) {
        index.reassign(ownership, false, ESTIMATES).forEach(w -> index.updateIndexes(w, w.ownedLocally));
    }

    /** After random changes the indexes hold what a loop over the whole list finds. */
    @Test
    void theIndexesAgreeWithALoopOverTheWholeList() {
        WorkerIndex index = new WorkerIndex(2, 2, 1);
        SplittableRandom random = new SplittableRandom(1);
        ColdShares coldShares = new ColdShares(0, 3);
        WorkerOwnership ownership = new WorkerOwnership(2, 1, coldShares);
        List<DispatcherState.Worker> all = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            all.add(new DispatcherState.Worker("10.0.0." + i, i % 3 - 1));
            all.get(i).state = Contract.WorkerState.IN_SERVICE;
            index.byAddress.put(all.get(i).address, all.get(i));
            index.markChanged(all.get(i));
        }
        for (int round = 0; round < 600; round++) {
            for (int k = random.nextInt(4); k > 0; k--) {
                changeRandomly(index, all.get(random.nextInt(all.size())), random);
            }
            index.promoteWarm(round - 40);
            int[] zoneMembers = IntStream.range(0, 3)
                    .filter(y -> y == 0 || random.nextInt(200) > 20)
                    .toArray();
            BitSet servedZones = BitSet.valueOf(new long[] {random.nextInt(50) == 0 ? 2 : 3});
            boolean ownershipChanged =
                    (round / 50 & 1) == 0 && ownership.update(zoneMembers, zoneMembers, servedZones) || round == 0;
            index.reassign(ownership, ownershipChanged, ESTIMATES).forEach(w -> index.updateIndexes(w, w.ownedLocally));
            DispatcherState.Worker w = all.get(random.nextInt(all.size()));
            w.suspect = !w.suspect;
            index.updateIndexes(w, w.ownedLocally);
            compareWithLoop(index, ownership, all);
        }
    }

    private static void changeRandomly(WorkerIndex index, DispatcherState.Worker w, SplittableRandom random) {
        if (random.nextInt(3) == 0) {
            index.markCold(w, 1 + random.nextInt(600));
        } else {
            w.state = Contract.WorkerState.values()[random.nextInt(3)];
            w.zone = random.nextInt(3) - 1;
            index.markChanged(w);
        }
    }

    private static void compareWithLoop(
            WorkerIndex index, WorkerOwnership ownership, List<DispatcherState.Worker> all) {
        List<DispatcherState.Worker> sorted = all.stream()
                .filter(w -> w.state != Contract.WorkerState.GONE)
                .sorted(Comparator.comparing((DispatcherState.Worker w) -> w.hash)
                        .thenComparing(w -> w.address))
                .toList();
        for (int z = 0; z < 2; z++) {
            int zone = z;
            assertEquals(
                    sorted.stream().filter(w -> ownership.zoneOf(w) == zone).toList(), List.of(index.workersByZone[z]));
        }
        List<DispatcherState.Worker> inZone = List.of(index.workersByZone[1]);
        int[] owners = ownership.assignWarmOwners(index.workersByZone[1]);
        for (int i = 0; i < owners.length; i++) {
            assertEquals(owners[i], inZone.get(i).warmOwner);
        }
        List<DispatcherState.Worker> owned =
                inZone.stream().filter(ownership::isOwnedLocally).toList();
        assertEquals(owned, List.of(index.ownedWorkers));
        assertEquals(
                owned,
                all.stream()
                        .filter(w -> w.ownedLocally)
                        .sorted(Comparator.comparing(sorted::indexOf))
                        .toList());
        assertEquals(owned.stream().filter(w -> w.coldSince != 0).toList(), List.copyOf(index.coldOwned()));
        assertEquals(inZone.stream().anyMatch(w -> w.coldSince != 0), index.hasCold());
        assertEquals(owned.stream().filter(w -> w.suspect).toList(), index.watched(0, owned.size()));
        for (int k = 0; k < index.kindGroups(); k++) {
            int kind = k == 2 ? -1 : k;
            List<DispatcherState.Worker> present =
                    inZone.stream().filter(w -> w.kind == kind).toList();
            assertEquals(present.size(), index.presentCount(k));
            assertEquals(
                    present.stream()
                            .filter(w -> !w.suspect && w.state == Contract.WorkerState.IN_SERVICE)
                            .count(),
                    index.availableCount(k));
        }
    }
}
