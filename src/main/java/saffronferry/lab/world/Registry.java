package saffronferry.lab.world;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.WorkerInfo;
import saffronferry.lab.scenario.Scenario.Discovery;

/** Emulated discovery: a list that learns of changes late, serves few calls a second, and may be down. */
final class Registry {
    private static final long CALL_PATIENCE = 3_000_000;

    private final Discovery settings;
    private final Simulation sim;
    private final Map<String, WorkerInfo> list = new LinkedHashMap<>();
    private final Map<Node, Integer> watches = new LinkedHashMap<>();
    private final Map<String, Long> changes = new HashMap<>();
    private boolean down;
    private long freeAt;
    private long counted;
    private int withheldFrom;
    private long withheldUntil;
    private final Map<String, Long> notBefore = new HashMap<>();
    private int disorderFrom;
    private long disorder;
    private long disorderUntil;
    private UniformRandomProvider random;

    Registry(Discovery settings, Simulation sim) {
        this.settings = settings;
        this.sim = sim;
    }

    void know(WorkerInfo info) {
        list.put(info.address(), info);
    }

    List<WorkerInfo> all() {
        return List.copyOf(list.values());
    }

    /** A worker has changed; it is listed after so long, unless it has changed again by then. */
    void changed(Worker worker, long notice) {
        long mine = ++counted;
        changes.put(worker.address, mine);
        sim.after(notice, () -> {
            if (changes.get(worker.address) == mine) {
                list.put(worker.address, worker.info());
                if (!down) {
                    tell(List.of(worker.info()));
                }
            }
        });
    }

    private void tell(List<WorkerInfo> entries) {
        watches.forEach((node, watch) -> {
            long due = sim.now() + settings.call() / 2 + late(node, entries);
            sim.at(
                    Math.max(due, node.number < withheldFrom ? withheldUntil : 0),
                    () -> node.listTells(watch, entries, ListKind.CHANGES));
        });
    }

    /** A dispatcher asks for the whole list and then for changes; calls are served one after the other. */
    void watch(Node node, int watch) {
        stop(node);
        if (down) {
            sim.after(CALL_PATIENCE, () -> node.watchLost(watch));
            return;
        }
        freeAt = Math.max(freeAt, sim.now()) + Math.round(1e6 / settings.perSecond());
        long served = freeAt + settings.call();
        if (served - sim.now() > CALL_PATIENCE) {
            sim.after(CALL_PATIENCE, () -> node.watchLost(watch));
            return;
        }
        sim.at(served, () -> {
            if (down) {
                node.watchLost(watch);
            } else {
                watches.put(node, watch);
                node.listTells(watch, all(), ListKind.WHOLE);
            }
        });
    }

    void stop(Node node) {
        watches.remove(node);
    }

    void outage(boolean on) {
        down = on;
        if (on) {
            Map<Node, Integer> lost = new LinkedHashMap<>(watches);
            watches.clear();
            lost.forEach((node, watch) -> sim.after(settings.call(), () -> node.watchLost(watch)));
        }
    }

    /** A worker's own changes keep their order: the next one comes after the one before. */
    private long late(Node node, List<WorkerInfo> entries) {
        if (random == null || node.number >= disorderFrom) {
            return 0;
        }
        String key = node.number + " " + entries.get(0).address();
        long late = sim.now() < disorderUntil ? random.nextInt((int) disorder) : 0;
        long due = Math.max(sim.now() + late, notBefore.getOrDefault(key, 0L) + 1);
        notBefore.put(key, due);
        return due - sim.now();
    }

    /** Tells the first so many dispatchers each change up to that much later, so that they overtake. */
    void disorder(int first, long most, long until, UniformRandomProvider chance) {
        disorderFrom = first;
        disorder = Math.max(1, most);
        disorderUntil = until;
        random = chance;
    }

    /** Tells the first so many dispatchers of changes only from that time on. */
    void withhold(int first, long until) {
        withheldFrom = first;
        withheldUntil = until;
    }

    Discovery settings() {
        return settings;
    }
}
