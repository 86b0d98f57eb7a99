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
import saffronferry.Book.Peer;
import saffronferry.Book.Worker;
import saffronferry.Contract.WorkerState;
import saffronferry.fleet.ColdShares;
import saffronferry.fleet.Sharing;

/** The workers, in the groups in which the module looks them up. Data only: it decides who belongs where. */
final class Fleet {
    /** As many known workers cost little; beyond, those that are gone are forgotten. */
    private static final int MANY = 1024;

    final HashMap<String, Worker> byAddress = new HashMap<>();
    /** For each zone its workers, adopted ones included, by their hashes: the same order everywhere. */
    final Worker[][] ring;
    /** Of these, the workers that this dispatcher owns. */
    Worker[] ours = new Worker[0];
    /** Cold workers, and of these the ones of our zone, and of these our own; in the order of the ring. */
    private final TreeSet<Worker> cold = new TreeSet<>(Fleet::byHash);

    private final TreeSet<Worker> coldHere = new TreeSet<>(Fleet::byHash);
    private final TreeSet<Worker> coldOurs = new TreeSet<>(Fleet::byHash);
    /** Our own that have jobs of ours or are suspect: silence means nothing at others. */
    private final TreeSet<Worker> watched = new TreeSet<>(Fleet::byHash);
    /** Others' workers that have jobs of ours. */
    private final TreeSet<Worker> borrowed = new TreeSet<>(Fleet::byHash);

    private final Set<Worker> gone = new HashSet<>();
    /** Whose place may have changed since the last arrangement; and whether all are. */
    private Set<Worker> touched = new HashSet<>();

    private boolean allTouched;
    private int usableChanges;
    /** Workers looked at since the start: a test holds that what happens often looks at few. */
    private long looks;
    /** Workers of our zone, and of these those that count: in service and not suspect; by group. */
    private final int[] present;

    private final int[] counted;
    private final int zone;
    private final Worker[][] open;
    private final int[] count;

    /** Workers of so many zones and kinds, as one of that zone looks them up. */
    Fleet(int zones, int kinds, int zone) {
        this.zone = zone;
        ring = new Worker[zones][0];
        open = new Worker[kinds + 1][8];
        count = new int[kinds + 1];
        present = new int[kinds + 1];
        counted = new int[kinds + 1];
    }

    long looks() {
        return looks;
    }

    Worker get(String address) {
        return byAddress.get(address);
    }

    void add(Worker w) {
        byAddress.put(w.address, w);
    }

    private <C extends Collection<Worker>> C looked(C some) {
        looks += some.size();
        return some;
    }

    /** All, for what seldom happens. */
    Collection<Worker> all() {
        return looked(byAddress.values());
    }

    /** Those of our zone, for what seldom happens. */
    Worker[] here() {
        looks += ring[zone].length;
        return ring[zone];
    }

    /** How many are ours. */
    int owned() {
        return ours.length;
    }

    /** One of ours. */
    Worker own(int at) {
        looks++;
        return ours[at];
    }

    /** Our own that are cold. */
    Collection<Worker> coldOurs() {
        return looked(coldOurs);
    }

    /** Others' that have jobs of ours. */
    Collection<Worker> borrowed() {
        return looked(borrowed);
    }

    /** The slots that our jobs take, by worker. */
    Map<String, Integer> jobs() {
        Map<String, Integer> jobs = new HashMap<>();
        for (Worker w : byAddress.values()) {
            if (w.mine > 0) {
                jobs.put(w.address, w.mine);
            }
        }
        return jobs;
    }

    /** How many in service are given no jobs for now, but for a trial. */
    int avoided() {
        return (int) byAddress.values().stream()
                .filter(w -> w.suspect && w.state == WorkerState.IN_SERVICE)
                .count();
    }

    /** What is shared now of this zone's workers, and with whom. */
    Sharing sharing(Peer[] peers, ColdShares shares, long now) {
        int heard = 0;
        int counted = 0;
        long lent = 0;
        long back = 0;
        long borrowed = 0;
        for (Peer y : peers) {
            boolean self = shares.isSelf(y.number);
            heard += self || y.heard > 0 ? 1 : 0;
            counted += self || y.heard > 0 && y.zone == zone && shares.counts(y.number, now) ? 1 : 0;
            lent += y.lentInAll;
            back += y.backInAll;
            borrowed += y.borrowedInAll;
        }
        int guarded = coldOurs.size();
        double part = 0;
        for (Worker w : coldOurs) {
            part += shares.part(now, w.hash, w.zone == zone);
        }
        return new Sharing(
                peers.length,
                heard,
                counted,
                coldHere.size(),
                guarded,
                guarded == 0 ? 0 : part / guarded,
                lent,
                back,
                borrowed);
    }

    /** A worker has started anew then. */
    void chill(Worker w, long start) {
        w.coldSince = start;
        w.cold.reset();
        cold.add(w);
        touch(w);
        if (w.seat == zone && w.state != WorkerState.GONE) {
            set(coldHere, w, true);
            set(coldOurs, w, w.ours);
        }
    }

    /** Takes workers that started before a time for warm; whether there was one. */
    boolean warmUp(long before) {
        boolean any = false;
        for (Iterator<Worker> each = looked(cold).iterator(); each.hasNext(); ) {
            Worker w = each.next();
            if (w.coldSince <= before) {
                w.coldSince = 0;
                each.remove();
                coldHere.remove(w);
                coldOurs.remove(w);
                touch(w);
                any = true;
            }
        }
        return any;
    }

    /** Others who, as far as we hear, guard cold workers of our zone: so many at most, from a place on. */
    int[] guardians(ColdShares shares, int most, long from) {
        BitSet all = new BitSet();
        for (Worker w : looked(coldHere)) {
            if (!shares.isSelf(shares.guardian(w.hash))) {
                all.set(shares.guardian(w.hash));
            }
        }
        int[] each = all.stream().toArray();
        int n = Math.max(0, Math.min(most, each.length));
        int[] some = new int[n];
        for (int i = 0; i < n; i++) {
            some[i] = each[(int) Math.floorMod(from + i, (long) each.length)];
        }
        return some;
    }

    /** Whether a worker of our zone is cold. */
    boolean anyCold() {
        return !coldHere.isEmpty();
    }

    /** Whether a worker of ours for that kind of job, -1 for any, may have a free slot. */
    boolean open(int kind) {
        for (int k = 0; k < count.length; k++) {
            if (count[k] > 0 && (kind < 0 || kind == k)) {
                return true;
            }
        }
        return false;
    }

    /** The workers of a zone that a message names; null for those not on our list. */
    Worker[] find(int zone, PeerMessage m) {
        Worker[] named = new Worker[m.entries];
        for (int i = 0; i < named.length; i++) {
            named[i] = find(zone, m.hash[i]);
        }
        return named;
    }

    /** Groups of workers that may have a free slot: one for each kind, and one for unknown kinds. */
    int groups() {
        return count.length;
    }

    private int groupOf(Worker w) {
        return w.kind < 0 ? count.length - 1 : w.kind;
    }

    int openIn(int group) {
        return count[group];
    }

    boolean anyOpen() {
        return open(-1);
    }

    Worker open(int group, int at) {
        looks++;
        return open[group][at];
    }

    /** Keeps a worker's places in step with what is known of it; whether it may have a free slot. */
    void place(Worker w, boolean can) {
        if (w.borrowed != (w.mine > 0 && !w.ours)) {
            w.borrowed = !w.borrowed;
            set(borrowed, w, w.borrowed);
        }
        // what others have there counts no more once it is known who fills it
        if (w.others > 0 && !w.ours && w.state != WorkerState.GONE) {
            touch(w);
        }
        watch(w);
        count(w);
        setOpen(w, can);
    }

    private void count(Worker w) {
        boolean counts = w.seat == zone && w.state == WorkerState.IN_SERVICE && !w.suspect;
        if (counts != w.counts) {
            w.counts = counts;
            counted[groupOf(w)] += counts ? 1 : -1;
        }
    }

    /** Workers of our zone in a group. */
    int present(int group) {
        return present[group];
    }

    /** Of these, those in service and not suspect. */
    int counted(int group) {
        return counted[group];
    }

    private void watch(Worker w) {
        boolean watch = w.ours && (w.suspect || !w.attempts.isEmpty());
        if (watch != w.watched) {
            w.watched = watch;
            if (watch) {
                watched.add(w);
            } else {
                watched.remove(w);
            }
        }
    }

    /** Those watched among so many of our own, from a place on and round to the first. */
    List<Worker> watched(int turn, int most) {
        if (watched.isEmpty()) {
            return List.of();
        }
        int from = Math.floorMod(turn, ours.length);
        int to = Math.min(from + most, ours.length);
        List<Worker> some = new ArrayList<>(watched.subSet(ours[from], true, ours[to - 1], true));
        if (from + most > to) {
            some.addAll(watched.headSet(ours[from + most - to - 1], true));
        }
        return looked(some);
    }

    private void setOpen(Worker w, boolean can) {
        if (can == w.openAt >= 0) {
            return;
        }
        int g = groupOf(w);
        if (can) {
            if (count[g] == open[g].length) {
                open[g] = Arrays.copyOf(open[g], 2 * count[g]);
            }
            w.openAt = count[g];
            open[g][count[g]++] = w;
        } else {
            Worker last = open[g][--count[g]];
            open[g][w.openAt] = last;
            last.openAt = w.openAt;
            w.openAt = -1;
        }
    }

    /** Danger: each release replaces workers by new ones; those that are gone must not fill memory. */
    private void forgetGone() {
        boolean many = byAddress.size() > MANY;
        for (Iterator<Worker> each = gone.iterator(); many && each.hasNext(); ) {
            Worker w = each.next();
            if (w.attempts.isEmpty()) {
                each.remove();
                byAddress.remove(w.address);
                cold.remove(w);
            }
        }
    }

    /** A worker is new, or something of it has changed that may change its place: see {@link #arrange}. */
    void touch(Worker w) {
        if (!allTouched) {
            touched.add(w);
        }
    }

    /** A whole list comes: what it does not name is gone. */
    void goneAll() {
        byAddress.values().forEach(w -> w.state = WorkerState.GONE);
        allTouched = true;
    }

    /**
     * Gives workers their places: those that were touched, and all that may change hands with them.
     *
     * @param anew whether any worker may change hands
     * @return whose place may have changed, in the order of the ring
     */
    List<Worker> arrange(Homes homes, boolean anew, LearnedEstimates known) {
        boolean all = anew || allTouched;
        boolean seats = all;
        // danger: slots that were learned meanwhile open or close all workers of a kind, also those at rest
        if (usableChanges != known.usableChanges) {
            usableChanges = known.usableChanges;
            touched.addAll(Arrays.asList(ours));
        }
        List<Worker> moved = inOrder(all ? byAddress.values() : touched);
        if (all) {
            seatAll(moved, homes);
        } else {
            for (Worker w : moved) {
                seats |= seat(w, homes.zoneOf(w));
            }
        }
        if (!homes.dealt()) {
            moved.forEach(w -> w.dealtTo = homes.only());
        } else if (seats) {
            deal(homes);
            moved = all ? moved : inOrder(touched);
        }
        looked(moved);
        touched = new HashSet<>(); // one that has been large would take long to clear each time
        allTouched = false;
        own(moved, homes, all || seats && homes.dealt());
        index(all ? cold : moved);
        gone(moved, all);
        return moved;
    }

    /** Which of some workers are ours; {@code many}: it is not worth while to put in or take out each. */
    private void own(List<Worker> moved, Homes homes, boolean many) {
        for (Worker w : moved) {
            boolean mine = w.seat == zone && homes.ours(w);
            if (mine != w.ours && !many) {
                ours = mine ? with(ours, w) : without(ours, w);
            }
            w.ours = mine;
        }
        if (many) {
            ours = Arrays.stream(ring[zone]).filter(w -> w.ours).toArray(Worker[]::new);
        }
    }

    private void index(Collection<Worker> moved) {
        if (moved == cold) {
            coldHere.clear();
            coldOurs.clear();
        }
        for (Worker w : moved) {
            set(coldHere, w, w.coldSince != 0 && w.seat == zone);
            set(coldOurs, w, w.coldSince != 0 && w.ours);
        }
    }

    private void gone(List<Worker> moved, boolean all) {
        if (all) {
            gone.clear();
        }
        for (Worker w : moved) {
            if (w.state == WorkerState.GONE) {
                gone.add(w);
            } else if (!all) {
                gone.remove(w);
            }
        }
        forgetGone();
    }

    private static void set(TreeSet<Worker> index, Worker w, boolean in) {
        if (in) {
            index.add(w);
        } else {
            index.remove(w);
        }
    }

    /** Deals our zone's workers anew; touched are those that change hands. */
    private void deal(Homes homes) {
        int[] owners = homes.deal(here());
        for (int i = 0; i < owners.length; i++) {
            if (ring[zone][i].dealtTo != owners[i]) {
                ring[zone][i].dealtTo = owners[i];
                touched.add(ring[zone][i]);
            }
        }
    }

    private static List<Worker> inOrder(Collection<Worker> some) {
        List<Worker> all = new ArrayList<>(some);
        all.sort(Fleet::byHash);
        return all;
    }

    private int seatOf(Worker w, int home) {
        return home >= 0 && home < ring.length && w.state != WorkerState.GONE ? home : -1;
    }

    /** Puts one worker into its zone; whether our zone's workers are others now. */
    private boolean seat(Worker w, int home) {
        int from = w.seat;
        w.seat = seatOf(w, home);
        if (from == w.seat) {
            return false;
        }
        if (from >= 0) {
            ring[from] = without(ring[from], w);
        }
        if (w.seat >= 0) {
            ring[w.seat] = with(ring[w.seat], w);
        }
        present[groupOf(w)] += (w.seat == zone ? 1 : 0) - (from == zone ? 1 : 0);
        return w.seat == zone || from == zone;
    }

    /** Puts all workers, in the order of the ring, into their zones. */
    private void seatAll(List<Worker> all, Homes homes) {
        List<List<Worker>> lists = new ArrayList<>();
        for (int z = 0; z < ring.length; z++) {
            lists.add(new ArrayList<>());
        }
        Arrays.fill(present, 0);
        for (Worker w : all) {
            w.seat = seatOf(w, homes.zoneOf(w));
            if (w.seat >= 0) {
                lists.get(w.seat).add(w);
                present[groupOf(w)] += w.seat == zone ? 1 : 0;
            }
        }
        for (int z = 0; z < ring.length; z++) {
            ring[z] = lists.get(z).toArray(new Worker[0]);
        }
    }

    private static Worker[] with(Worker[] sorted, Worker w) {
        int at = -1 - Arrays.binarySearch(sorted, w, Fleet::byHash);
        Worker[] more = new Worker[sorted.length + 1];
        System.arraycopy(sorted, 0, more, 0, at);
        more[at] = w;
        System.arraycopy(sorted, at, more, at + 1, sorted.length - at);
        return more;
    }

    private static Worker[] without(Worker[] sorted, Worker w) {
        int at = Arrays.binarySearch(sorted, w, Fleet::byHash);
        Worker[] fewer = new Worker[sorted.length - 1];
        System.arraycopy(sorted, 0, fewer, 0, at);
        System.arraycopy(sorted, at + 1, fewer, at, fewer.length - at);
        return fewer;
    }

    private static int byHash(Worker a, Worker b) {
        int byHash = Integer.compare(a.hash, b.hash);
        return byHash != 0 ? byHash : a.address.compareTo(b.address);
    }

    Worker find(int zone, int hash) {
        Worker[] sorted = ring[zone];
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
