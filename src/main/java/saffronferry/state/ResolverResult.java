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
 * The list of subchannels as last told, the revision to go on from, and the operators' bans, which lie over
 * it: the balancer is shown a banned subchannel as draining, whatever the list says of it, and one whose ban
 * has ended as just started, since operators restart it meanwhile and the list may not tell of that yet.
 */
final class ResolverResult {
    /**
     * Ids are remembered beyond their time on the list, for operators know a worker that the list has lost.
     * So many, whatever the length of the list: those that are on it need no remembering.
     */
    private static final int MOST_LOST = 4096;

    private final Map<String, ListUpdate.Entry> entries = new HashMap<>();
    /** Ids that were on the list, those lost first at the beginning. */
    private final Set<String> lost = new LinkedHashSet<>();

    private Bans bans = Bans.NONE;
    private long revision;

    /** Takes news of the list in; the result is what the balancer is to see of it. */
    List<WorkerInfo> take(ListUpdate update) {
        Set<String> before = Set.of();
        if (update.complete()) {
            before = new LinkedHashSet<>(entries.keySet());
            entries.clear();
        }
        List<WorkerInfo> shown = new ArrayList<>(update.entries().size());
        for (ListUpdate.Entry e : update.entries()) {
            String id = e.info().address();
            if (e.info().state() != WorkerState.GONE) {
                entries.put(id, e);
                lost.remove(id);
            } else if (entries.remove(id) != null) {
                remember(id);
            }
            shown.add(shown(e.info()));
        }
        for (String id : before) {
            if (!entries.containsKey(id)) {
                remember(id);
            }
        }
        revision = update.revision();
        return shown;
    }

    private void remember(String id) {
        if (lost.add(id) && lost.size() > MOST_LOST) {
            lost.remove(lost.iterator().next());
        }
    }

    private WorkerInfo shown(WorkerInfo w) {
        return bans.contains(w.address()) && w.state() == WorkerState.IN_SERVICE
                ? with(w, WorkerState.DRAINING, w.startedAt())
                : w;
    }

    private static WorkerInfo with(WorkerInfo w, WorkerState state, long startedAt) {
        return new WorkerInfo(w.address(), state, w.kind(), w.zone(), startedAt, w.cell());
    }

    /** From now on these bans hold; the result is what changes by that in the balancer's eyes. */
    List<WorkerInfo> ban(Bans next, long now) {
        Bans before = bans;
        bans = next;
        List<WorkerInfo> changed = new ArrayList<>();
        for (ListUpdate.Entry e : entries.values()) {
            WorkerInfo w = e.info();
            if (w.state() == WorkerState.IN_SERVICE && before.contains(w.address()) != next.contains(w.address())) {
                changed.add(next.contains(w.address()) ? shown(w) : with(w, w.state(), now));
            }
        }
        return changed;
    }

    Bans bans() {
        return bans;
    }

    /** Whether anybody has, or had, a subchannel of this id. */
    boolean knows(String subchannel) {
        return entries.containsKey(subchannel) || lost.contains(subchannel) || bans.contains(subchannel);
    }

    int size() {
        return entries.size();
    }

    /** How many of the list are banned, those left out that it shows as draining by itself. */
    int banned() {
        int n = 0;
        for (String id : bans.workers()) {
            n += entries.containsKey(id) ? 1 : 0;
        }
        return n;
    }

    /** Null for a subchannel that is not in the list. */
    String address(String subchannel) {
        ListUpdate.Entry e = entries.get(subchannel);
        return e == null ? null : e.address();
    }

    /** Whether new attempts may go there, as far as told: on the list, in service, and not banned. */
    boolean inService(String subchannel) {
        ListUpdate.Entry e = entries.get(subchannel);
        return e != null && e.info().state() == WorkerState.IN_SERVICE && !bans.contains(subchannel);
    }

    long revision() {
        return revision;
    }
}
