package saffronferry.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.ops.Bans;

/**
 * The latest list of subchannels, its revision, and the operators' bans, which take precedence over the list. The
 * balancer sees a banned subchannel as draining, whatever its state in the list. A subchannel whose ban was lifted is
 * shown as just started, because operators restart workers during a ban and the list may not reflect that yet.
 */
final class ResolverResult {
    /**
     * Ids stay known after their removal from the list, since operators may name a worker that the list no longer has.
     * The bound does not depend on the length of the list: ids on the list are not counted.
     */
    private static final int MAX_REMOVED_IDS = 4096;

    private final Map<String, ListUpdate.Entry> entries = new HashMap<>();
    /** Ids that were on the list, in the order of their removal. */
    private final Set<String> removedIds = new LinkedHashSet<>();

    private Bans bans = Bans.NONE;
    private long revision;

    /** Applies an update of the list and returns its entries as the balancer is to see them. */
    List<WorkerInfo> apply(ListUpdate update) {
        Set<String> previousIds = Set.of();
        if (update.complete()) {
            previousIds = new LinkedHashSet<>(entries.keySet());
            entries.clear();
        }
        List<WorkerInfo> changes = new ArrayList<>(update.entries().size());
        for (ListUpdate.Entry entry : update.entries()) {
            String id = entry.info().address();
            if (entry.info().state() != WorkerState.GONE) {
                entries.put(id, entry);
                removedIds.remove(id);
            } else if (entries.remove(id) != null) {
                rememberRemoved(id);
            }
            changes.add(withBanApplied(entry.info()));
        }
        for (String id : previousIds) {
            if (!entries.containsKey(id)) {
                rememberRemoved(id);
            }
        }
        revision = update.revision();
        return changes;
    }

    private void rememberRemoved(String id) {
        if (removedIds.add(id) && removedIds.size() > MAX_REMOVED_IDS) {
            removedIds.remove(removedIds.iterator().next());
        }
    }

    private WorkerInfo withBanApplied(WorkerInfo worker) {
        return bans.contains(worker.address()) && worker.state() == WorkerState.IN_SERVICE
                ? copyWith(worker, WorkerState.DRAINING, worker.startedAt())
                : worker;
    }

    private static WorkerInfo copyWith(WorkerInfo worker, WorkerState state, long startedAt) {
        return new WorkerInfo(worker.address(), state, worker.kind(), worker.zone(), startedAt, worker.cell());
    }

    /** Replaces the bans and returns the entries that change for the balancer. */
    List<WorkerInfo> setBans(Bans next, long now) {
        Bans previous = bans;
        bans = next;
        List<WorkerInfo> changed = new ArrayList<>();
        for (ListUpdate.Entry entry : entries.values()) {
            WorkerInfo worker = entry.info();
            if (worker.state() == WorkerState.IN_SERVICE
                    && previous.contains(worker.address()) != next.contains(worker.address())) {
                changed.add(
                        next.contains(worker.address())
                                ? withBanApplied(worker)
                                : copyWith(worker, worker.state(), now));
            }
        }
        return changed;
    }

    Bans bans() {
        return bans;
    }

    /** Whether the id is on the list, was removed from it recently, or is banned. */
    boolean isKnown(String subchannel) {
        return entries.containsKey(subchannel) || removedIds.contains(subchannel) || bans.contains(subchannel);
    }

    int size() {
        return entries.size();
    }

    /** The number of banned subchannels that are on the list, whatever their state there. */
    int bannedCount() {
        int count = 0;
        for (String id : bans.workers()) {
            count += entries.containsKey(id) ? 1 : 0;
        }
        return count;
    }

    /** The address of a subchannel, or null if it is not on the list. */
    String address(String subchannel) {
        ListUpdate.Entry entry = entries.get(subchannel);
        return entry == null ? null : entry.address();
    }

    /** Whether new attempts may go to the subchannel: it is on the list, in service, and not banned. */
    boolean inService(String subchannel) {
        ListUpdate.Entry entry = entries.get(subchannel);
        return entry != null && entry.info().state() == WorkerState.IN_SERVICE && !bans.contains(subchannel);
    }

    long revision() {
        return revision;
    }
}
