package saffronferry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import saffronferry.Contract.WorkerState;
import saffronferry.DispatcherState.Peer;
import saffronferry.DispatcherState.Worker;
import saffronferry.fleet.ColdShares;
import saffronferry.fleet.SharingStatus;

/**
 * The known workers, indexed by zone, owner, kind and state, so that frequent events look at few of them however long
 * the list is. It keeps the indexes only; {@link WorkerOwnership} says which zone and dispatcher a worker belongs to.
 */
final class WorkerIndex {
    /** From this number of known workers on, those that are gone are forgotten. */
    private static final int FORGET_GONE_FROM_WORKERS = 1024;

    final HashMap<String, Worker> byAddress = new HashMap<>();
    /** The workers of each zone, adopted ones included, sorted by hash: the same order on all dispatchers. */
    final Worker[][] workersByZone;
    /** The workers of this zone that this dispatcher owns, in the same order. */
    Worker[] ownedWorkers = new Worker[0];
    // Three sets of cold workers: all, those of this zone, and those that this dispatcher owns.
    private final TreeSet<Worker> coldWorkers = new TreeSet<>(WorkerIndex::compareByHash);
    private final TreeSet<Worker> coldInZone = new TreeSet<>(WorkerIndex::compareByHash);
    private final TreeSet<Worker> coldOwned = new TreeSet<>(WorkerIndex::compareByHash);
    /** Owned workers that have local jobs or are suspect. The silence of other workers proves nothing. */
    private final TreeSet<Worker> watched = new TreeSet<>(WorkerIndex::compareByHash);
    /** Workers owned by other dispatchers that have local jobs. */
    private final TreeSet<Worker> borrowed = new TreeSet<>(WorkerIndex::compareByHash);

    private final Set<Worker> gone = new HashSet<>();
    /** Workers whose zone or owner may have changed since the last {@link #reassign}. */
    private Set<Worker> changedWorkers = new HashSet<>();

    private boolean allChanged;
    private int seenUsableChanges;
    /** Workers looked at since the start; a test checks that frequent events look at few. */
    private long lookups;
    /** Workers of this zone, by kind group. */
    private final int[] presentCount;
    /** Workers of this zone that are in service and not suspect, by kind group. */
    private final int[] availableCount;

    private final int zone;
    /** Workers that may have a free slot, by kind group; only the first {@link #openCount} of each are valid. */
    private final Worker[][] openWorkers;

    private final int[] openCount;

    /** An index for a dispatcher of the given zone. */
    WorkerIndex(int zones, int kinds, int zone) {
        this.zone = zone;
        workersByZone = new Worker[zones][0];
        openWorkers = new Worker[kinds + 1][8];
        openCount = new int[kinds + 1];
        presentCount = new int[kinds + 1];
        availableCount = new int[kinds + 1];
    }

    long lookups() {
        return lookups;
    }

    Worker get(String address) {
        return byAddress.get(address);
    }

    void add(Worker worker) {
        byAddress.put(worker.address, worker);
    }

    private <C extends Collection<Worker>> C countLookups(C workers) {
        lookups += workers.size();
        return workers;
    }

    /** All workers; for rare events only. */
    Collection<Worker> all() {
        return countLookups(byAddress.values());
    }

    /** The workers of this zone; for rare events only. */
    Worker[] inOwnZone() {
        lookups += workersByZone[zone].length;
        return workersByZone[zone];
    }

    int ownedCount() {
        return ownedWorkers.length;
    }

    Worker ownedWorker(int index) {
        lookups++;
        return ownedWorkers[index];
    }

    /** The cold workers that this dispatcher owns. */
    Collection<Worker> coldOwned() {
        return countLookups(coldOwned);
    }

    /** Workers owned by other dispatchers that have local jobs. */
    Collection<Worker> borrowed() {
        return countLookups(borrowed);
    }

    /** The slots that local jobs use, by worker address. */
    Map<String, Integer> localSlotsByAddress() {
        Map<String, Integer> slots = new HashMap<>();
        for (Worker worker : byAddress.values()) {
            if (worker.localSlots > 0) {
                slots.put(worker.address, worker.localSlots);
            }
        }
        return slots;
    }

    /** Number of workers in service that are suspect, and so get no jobs but trials. */
    int avoided() {
        return (int) byAddress.values().stream()
                .filter(worker -> worker.suspect && worker.state == WorkerState.IN_SERVICE)
                .count();
    }

    /** The present sharing of this zone's workers with other dispatchers, for operators. */
    SharingStatus sharing(Peer[] peers, ColdShares shares, long now) {
        int heard = 0;
        int counted = 0;
        long lent = 0;
        long returned = 0;
        long borrowed = 0;
        for (Peer peer : peers) {
            boolean self = shares.isSelf(peer.number);
            heard += self || peer.lastHeardAt > 0 ? 1 : 0;
            counted +=
                    self || peer.lastHeardAt > 0 && peer.zone == zone && shares.canDelegateTo(peer.number, now) ? 1 : 0;
            lent += peer.totalLentUs;
            returned += peer.totalReturnedUs;
            borrowed += peer.totalBorrowedUs;
        }
        int guarded = coldOwned.size();
        double shareSum = 0;
        for (Worker worker : coldOwned) {
            shareSum += shares.share(now, worker.hash, worker.zone == zone);
        }
        return new SharingStatus(
                peers.length,
                heard,
                counted,
                coldInZone.size(),
                guarded,
                guarded == 0 ? 0 : shareSum / guarded,
                lent,
                returned,
                borrowed);
    }

    /** Marks a worker as cold: it has restarted at the given time. */
    void markCold(Worker worker, long startedAt) {
        worker.coldSince = startedAt;
        worker.coldBudget.reset();
        coldWorkers.add(worker);
        markChanged(worker);
        if (worker.assignedZone == zone && worker.state != WorkerState.GONE) {
            setMember(coldInZone, worker, true);
            setMember(coldOwned, worker, worker.ownedLocally);
        }
    }

    /** Marks cold workers as warm that started by the given time; returns whether there was one. */
    boolean promoteWarm(long startedBy) {
        boolean any = false;
        for (Iterator<Worker> each = countLookups(coldWorkers).iterator(); each.hasNext(); ) {
            Worker worker = each.next();
            if (worker.coldSince <= startedBy) {
                worker.coldSince = 0;
                each.remove();
                coldInZone.remove(worker);
                coldOwned.remove(worker);
                markChanged(worker);
                any = true;
            }
        }
        return any;
    }

    /** Other dispatchers that guard cold workers of this zone: at most {@code limit}, from a rotating start on. */
    int[] guardians(ColdShares shares, int limit, long start) {
        BitSet all = new BitSet();
        for (Worker worker : countLookups(coldInZone)) {
            if (!shares.isSelf(shares.guardian(worker.hash))) {
                all.set(shares.guardian(worker.hash));
            }
        }
        int[] each = all.stream().toArray();
        int count = Math.max(0, Math.min(limit, each.length));
        int[] selected = new int[count];
        for (int i = 0; i < count; i++) {
            selected[i] = each[(int) Math.floorMod(start + i, (long) each.length)];
        }
        return selected;
    }

    /** Whether a worker of this zone is cold. */
    boolean hasCold() {
        return !coldInZone.isEmpty();
    }

    /** Whether an owned worker for that kind of job (-1: any kind) may have a free slot. */
    boolean hasOpen(int kind) {
        for (int k = 0; k < openCount.length; k++) {
            if (openCount[k] > 0 && (kind < 0 || kind == k)) {
                return true;
            }
        }
        return false;
    }

    /** The workers of a zone that a message names; null for those not on the list here. */
    Worker[] find(int zone, PeerMessage message) {
        Worker[] named = new Worker[message.entryCount];
        for (int i = 0; i < named.length; i++) {
            named[i] = find(zone, message.workerHashes[i]);
        }
        return named;
    }

    /** Number of kind groups: one for each kind, and the last one for workers of unknown kind. */
    int kindGroups() {
        return openCount.length;
    }

    private int kindGroupOf(Worker worker) {
        return worker.kind < 0 ? openCount.length - 1 : worker.kind;
    }

    /** Owned workers of a kind group that may have a free slot. */
    int openCount(int kindGroup) {
        return openCount[kindGroup];
    }

    /** Whether any owned worker may have a free slot. */
    boolean hasOpen() {
        return hasOpen(-1);
    }

    Worker openWorker(int kindGroup, int index) {
        lookups++;
        return openWorkers[kindGroup][index];
    }

    /** Updates a worker's place in the indexes after its state has changed; {@code open}: it may have a free slot. */
    void updateIndexes(Worker worker, boolean open) {
        if (worker.inBorrowedIndex != (worker.localSlots > 0 && !worker.ownedLocally)) {
            worker.inBorrowedIndex = !worker.inBorrowedIndex;
            setMember(borrowed, worker, worker.inBorrowedIndex);
        }
        // the slots that peers use matter at owned workers only: the next reassignment drops them elsewhere
        if (worker.peerSlots > 0 && !worker.ownedLocally && worker.state != WorkerState.GONE) {
            markChanged(worker);
        }
        updateWatched(worker);
        updateAvailableCount(worker);
        updateOpen(worker, open);
    }

    private void updateAvailableCount(Worker worker) {
        boolean available = worker.assignedZone == zone && worker.state == WorkerState.IN_SERVICE && !worker.suspect;
        if (available != worker.countedAvailable) {
            worker.countedAvailable = available;
            availableCount[kindGroupOf(worker)] += available ? 1 : -1;
        }
    }

    /** Workers of this zone in a kind group. */
    int presentCount(int kindGroup) {
        return presentCount[kindGroup];
    }

    /** Workers of this zone in a kind group that are in service and not suspect. */
    int availableCount(int kindGroup) {
        return availableCount[kindGroup];
    }

    private void updateWatched(Worker worker) {
        boolean watch = worker.ownedLocally && (worker.suspect || !worker.attempts.isEmpty());
        if (watch != worker.inWatchedIndex) {
            worker.inWatchedIndex = watch;
            if (watch) {
                watched.add(worker);
            } else {
                watched.remove(worker);
            }
        }
    }

    /** The watched workers among {@code limit} owned ones, from a position on and round the end of the array. */
    List<Worker> watched(int start, int limit) {
        if (watched.isEmpty()) {
            return List.of();
        }
        int from = Math.floorMod(start, ownedWorkers.length);
        int to = Math.min(from + limit, ownedWorkers.length);
        List<Worker> selected = new ArrayList<>(watched.subSet(ownedWorkers[from], true, ownedWorkers[to - 1], true));
        if (from + limit > to) {
            selected.addAll(watched.headSet(ownedWorkers[from + limit - to - 1], true));
        }
        return countLookups(selected);
    }

    private void updateOpen(Worker worker, boolean open) {
        if (open == worker.openIndex >= 0) {
            return;
        }
        int group = kindGroupOf(worker);
        if (open) {
            if (openCount[group] == openWorkers[group].length) {
                openWorkers[group] = Arrays.copyOf(openWorkers[group], 2 * openCount[group]);
            }
            worker.openIndex = openCount[group];
            openWorkers[group][openCount[group]++] = worker;
        } else {
            Worker last = openWorkers[group][--openCount[group]];
            openWorkers[group][worker.openIndex] = last;
            last.openIndex = worker.openIndex;
            worker.openIndex = -1;
        }
    }

    /** Each release replaces the workers by new addresses; without this the old ones would fill the memory. */
    private void forgetGone() {
        boolean many = byAddress.size() > FORGET_GONE_FROM_WORKERS;
        for (Iterator<Worker> each = gone.iterator(); many && each.hasNext(); ) {
            Worker worker = each.next();
            if (worker.attempts.isEmpty()) {
                each.remove();
                byAddress.remove(worker.address);
                coldWorkers.remove(worker);
            }
        }
    }

    /** Notes that a worker is new, or that its zone or owner may have changed: see {@link #reassign}. */
    void markChanged(Worker worker) {
        if (!allChanged) {
            changedWorkers.add(worker);
        }
    }

    /** Marks all workers as gone, before a whole list is applied: what it does not name is gone. */
    void markAllGone() {
        byAddress.values().forEach(worker -> worker.state = WorkerState.GONE);
        allChanged = true;
    }

    /**
     * Assigns the changed workers to zones and owners, and all workers whose owner changes with them.
     *
     * @param ownershipChanged whether any worker may change its owner
     * @return the workers whose assignment may have changed, sorted by hash
     */
    List<Worker> reassign(WorkerOwnership ownership, boolean ownershipChanged, LearnedEstimates known) {
        boolean all = ownershipChanged || allChanged;
        boolean zoneChanged = all;
        // a new estimate of the slots of a kind opens or closes all its workers, also those without any event
        if (seenUsableChanges != known.usableSlotChanges) {
            seenUsableChanges = known.usableSlotChanges;
            changedWorkers.addAll(Arrays.asList(ownedWorkers));
        }
        List<Worker> moved = sortedByHash(all ? byAddress.values() : changedWorkers);
        if (all) {
            assignAllZones(moved, ownership);
        } else {
            for (Worker worker : moved) {
                zoneChanged |= assignZone(worker, ownership.zoneOf(worker));
            }
        }
        if (!ownership.isShared()) {
            moved.forEach(worker -> worker.warmOwner = ownership.soleOwner());
        } else if (zoneChanged) {
            assignWarmOwners(ownership);
            moved = all ? moved : sortedByHash(changedWorkers);
        }
        countLookups(moved);
        changedWorkers = new HashSet<>(); // clearing a set takes time in proportion to its largest size so far
        allChanged = false;
        updateOwned(moved, ownership, all || zoneChanged && ownership.isShared());
        updateColdIndexes(all ? coldWorkers : moved);
        updateGone(moved, all);
        return moved;
    }

    /** Updates which workers are owned locally; {@code rebuild}: many have changed, so the array is built anew. */
    private void updateOwned(List<Worker> moved, WorkerOwnership ownership, boolean rebuild) {
        for (Worker worker : moved) {
            boolean owned = worker.assignedZone == zone && ownership.isOwnedLocally(worker);
            if (owned != worker.ownedLocally && !rebuild) {
                ownedWorkers = owned ? with(ownedWorkers, worker) : without(ownedWorkers, worker);
            }
            worker.ownedLocally = owned;
        }
        if (rebuild) {
            ownedWorkers = Arrays.stream(workersByZone[zone])
                    .filter(worker -> worker.ownedLocally)
                    .toArray(Worker[]::new);
        }
    }

    private void updateColdIndexes(Collection<Worker> moved) {
        if (moved == coldWorkers) {
            coldInZone.clear();
            coldOwned.clear();
        }
        for (Worker worker : moved) {
            setMember(coldInZone, worker, worker.coldSince != 0 && worker.assignedZone == zone);
            setMember(coldOwned, worker, worker.coldSince != 0 && worker.ownedLocally);
        }
    }

    private void updateGone(List<Worker> moved, boolean all) {
        if (all) {
            gone.clear();
        }
        for (Worker worker : moved) {
            if (worker.state == WorkerState.GONE) {
                gone.add(worker);
            } else if (!all) {
                gone.remove(worker);
            }
        }
        forgetGone();
    }

    private static void setMember(TreeSet<Worker> index, Worker worker, boolean member) {
        if (member) {
            index.add(worker);
        } else {
            index.remove(worker);
        }
    }

    /** Assigns owners to this zone's workers; those whose owner changes are added to the changed ones. */
    private void assignWarmOwners(WorkerOwnership ownership) {
        int[] owners = ownership.assignWarmOwners(inOwnZone());
        for (int i = 0; i < owners.length; i++) {
            if (workersByZone[zone][i].warmOwner != owners[i]) {
                workersByZone[zone][i].warmOwner = owners[i];
                changedWorkers.add(workersByZone[zone][i]);
            }
        }
    }

    private static List<Worker> sortedByHash(Collection<Worker> workers) {
        List<Worker> sorted = new ArrayList<>(workers);
        sorted.sort(WorkerIndex::compareByHash);
        return sorted;
    }

    private int validZone(Worker worker, int wantedZone) {
        return wantedZone >= 0 && wantedZone < workersByZone.length && worker.state != WorkerState.GONE
                ? wantedZone
                : -1;
    }

    /** Assigns one worker to a zone; returns whether that changed the workers of this dispatcher's zone. */
    private boolean assignZone(Worker worker, int wantedZone) {
        int before = worker.assignedZone;
        worker.assignedZone = validZone(worker, wantedZone);
        if (before == worker.assignedZone) {
            return false;
        }
        if (before >= 0) {
            workersByZone[before] = without(workersByZone[before], worker);
        }
        if (worker.assignedZone >= 0) {
            workersByZone[worker.assignedZone] = with(workersByZone[worker.assignedZone], worker);
        }
        presentCount[kindGroupOf(worker)] += (worker.assignedZone == zone ? 1 : 0) - (before == zone ? 1 : 0);
        return worker.assignedZone == zone || before == zone;
    }

    /** Assigns all workers, sorted by hash, to their zones. */
    private void assignAllZones(List<Worker> sorted, WorkerOwnership ownership) {
        List<List<Worker>> lists = new ArrayList<>();
        for (int z = 0; z < workersByZone.length; z++) {
            lists.add(new ArrayList<>());
        }
        Arrays.fill(presentCount, 0);
        for (Worker worker : sorted) {
            worker.assignedZone = validZone(worker, ownership.zoneOf(worker));
            if (worker.assignedZone >= 0) {
                lists.get(worker.assignedZone).add(worker);
                presentCount[kindGroupOf(worker)] += worker.assignedZone == zone ? 1 : 0;
            }
        }
        for (int z = 0; z < workersByZone.length; z++) {
            workersByZone[z] = lists.get(z).toArray(new Worker[0]);
        }
    }

    private static Worker[] with(Worker[] sorted, Worker added) {
        int index = -1 - Arrays.binarySearch(sorted, added, WorkerIndex::compareByHash);
        Worker[] more = new Worker[sorted.length + 1];
        System.arraycopy(sorted, 0, more, 0, index);
        more[index] = added;
        System.arraycopy(sorted, index, more, index + 1, sorted.length - index);
        return more;
    }

    private static Worker[] without(Worker[] sorted, Worker removed) {
        int index = Arrays.binarySearch(sorted, removed, WorkerIndex::compareByHash);
        Worker[] fewer = new Worker[sorted.length - 1];
        System.arraycopy(sorted, 0, fewer, 0, index);
        System.arraycopy(sorted, index + 1, fewer, index, fewer.length - index);
        return fewer;
    }

    private static int compareByHash(Worker a, Worker b) {
        int byHash = Integer.compare(a.hash, b.hash);
        return byHash != 0 ? byHash : a.address.compareTo(b.address);
    }

    Worker find(int zone, int hash) {
        Worker[] sorted = workersByZone[zone];
        int low = 0;
        int high = sorted.length - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            if (sorted[middle].hash == hash) {
                return sorted[middle];
            }
            if (sorted[middle].hash < hash) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return null;
    }
}
