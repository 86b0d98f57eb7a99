package saffronferry.lab.world;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.WorkerInfo;
import saffronferry.lab.scenario.Scenario.Discovery;

/** Emulated service discovery: a worker list with delayed updates, a limited call rate, and outages. */
final class Registry {
    private static final long CALL_TIMEOUT_US = 3_000_000;

    private final Discovery settings;
    private final EventScheduler scheduler;
    private final Map<String, WorkerInfo> list = new LinkedHashMap<>();
    private final Map<EmulatedDispatcher, Integer> watchNumbers = new LinkedHashMap<>();
    private final Map<String, Long> latestChange = new HashMap<>();
    private boolean down;
    private long serverFreeAt;
    private long changeCount;
    private int withheldDispatchers;
    private long withheldUntil;
    private final Map<String, Long> lastDelivery = new HashMap<>();
    private int disorderedDispatchers;
    private long maxDisorderUs;
    private long disorderUntil;
    private UniformRandomProvider disorderRandom;

    Registry(Discovery settings, EventScheduler scheduler) {
        this.settings = settings;
        this.scheduler = scheduler;
    }

    void register(WorkerInfo info) {
        list.put(info.address(), info);
    }

    List<WorkerInfo> all() {
        return List.copyOf(list.values());
    }

    /** Lists a changed worker after a delay, unless it changes again before that. */
    void changed(Worker worker, long delayUs) {
        long changeNumber = ++changeCount;
        latestChange.put(worker.address, changeNumber);
        scheduler.after(delayUs, () -> {
            if (latestChange.get(worker.address) == changeNumber) {
                list.put(worker.address, worker.info());
                if (!down) {
                    notifyWatchers(List.of(worker.info()));
                }
            }
        });
    }

    private void notifyWatchers(List<WorkerInfo> entries) {
        watchNumbers.forEach((dispatcher, watch) -> {
            long due = scheduler.now() + settings.call() / 2 + extraDelay(dispatcher, entries);
            scheduler.at(
                    Math.max(due, dispatcher.number < withheldDispatchers ? withheldUntil : 0),
                    () -> dispatcher.listReceived(watch, entries, ListKind.CHANGES));
        });
    }

    /** A dispatcher requests the full list followed by changes. Calls are served one after another. */
    void watch(EmulatedDispatcher dispatcher, int watch) {
        cancelWatch(dispatcher);
        if (down) {
            scheduler.after(CALL_TIMEOUT_US, () -> dispatcher.watchLost(watch));
            return;
        }
        serverFreeAt = Math.max(serverFreeAt, scheduler.now()) + Math.round(1e6 / settings.perSecond());
        long served = serverFreeAt + settings.call();
        if (served - scheduler.now() > CALL_TIMEOUT_US) {
            scheduler.after(CALL_TIMEOUT_US, () -> dispatcher.watchLost(watch));
            return;
        }
        scheduler.at(served, () -> {
            if (down) {
                dispatcher.watchLost(watch);
            } else {
                watchNumbers.put(dispatcher, watch);
                dispatcher.listReceived(watch, all(), ListKind.WHOLE);
            }
        });
    }

    void cancelWatch(EmulatedDispatcher dispatcher) {
        watchNumbers.remove(dispatcher);
    }

    void outage(boolean on) {
        down = on;
        if (on) {
            Map<EmulatedDispatcher, Integer> lost = new LinkedHashMap<>(watchNumbers);
            watchNumbers.clear();
            lost.forEach((dispatcher, watch) -> scheduler.after(settings.call(), () -> dispatcher.watchLost(watch)));
        }
    }

    /** Random delay of a delivery under {@link #disorder}. Changes of the same worker stay in order. */
    private long extraDelay(EmulatedDispatcher dispatcher, List<WorkerInfo> entries) {
        if (disorderRandom == null || dispatcher.number >= disorderedDispatchers) {
            return 0;
        }
        String key = dispatcher.number + " " + entries.get(0).address();
        long delay = scheduler.now() < disorderUntil ? disorderRandom.nextInt((int) maxDisorderUs) : 0;
        long due = Math.max(scheduler.now() + delay, lastDelivery.getOrDefault(key, 0L) + 1);
        lastDelivery.put(key, due);
        return due - scheduler.now();
    }

    /** Delays each change to the first dispatchers by a random time, so that changes overtake one another. */
    void disorder(int dispatcherCount, long maxDelayUs, long until, UniformRandomProvider random) {
        disorderedDispatchers = dispatcherCount;
        maxDisorderUs = Math.max(1, maxDelayUs);
        disorderUntil = until;
        disorderRandom = random;
    }

    /** Withholds changes from the first dispatchers until a point in time. */
    void withhold(int dispatcherCount, long until) {
        withheldDispatchers = dispatcherCount;
        withheldUntil = until;
    }

    Discovery settings() {
        return settings;
    }
}
