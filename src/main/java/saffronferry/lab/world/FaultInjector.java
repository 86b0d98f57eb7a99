package saffronferry.lab.world;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import saffronferry.lab.scenario.Scenario.Fault;

/** Injects the faults of a scenario. Each fault draws from a random stream of its own. */
final class FaultInjector {
    /** The time a crashed process takes to restart. */
    private static final long PROCESS_RESTART_US = 1_500_000;
    /** Faults that send a signal to a process; emulated dispatchers receive none. */
    private static final Set<String> SIGNAL_FAULTS = Set.of("dispatcher_stop", "dispatcher_hup");

    private final ClusterSimulation simulation;
    private final EventScheduler scheduler;

    FaultInjector(ClusterSimulation simulation) {
        this.simulation = simulation;
        scheduler = simulation.scheduler;
    }

    void plan(long start) {
        List<Fault> all = simulation.scenario.faults();
        for (int i = 0; i < all.size(); i++) {
            Fault fault = all.get(i);
            if (SIGNAL_FAULTS.contains(fault.kind())) {
                throw new IllegalArgumentException("trouble " + fault.kind()
                        + " sends a signal to a process, which cannot be simulated; use rig fleet");
            }
            UniformRandomProvider random = simulation.streams.of("trouble", i);
            int index = i;
            scheduler.at(start + fault.at(), () -> begin(fault, index, random));
        }
    }

    private List<Worker> sampleWorkers(double share, UniformRandomProvider random) {
        List<Worker> workers = new ArrayList<>(simulation.upWorkers());
        ListSampler.shuffle(random, workers);
        return workers.subList(0, (int) Math.min(workers.size(), Math.max(1, Math.round(share * workers.size()))));
    }

    private void applyFor(Fault fault, Runnable begin, Runnable end) {
        begin.run();
        scheduler.after(fault.length(), end);
    }

    private void begin(Fault fault, int index, UniformRandomProvider random) {
        switch (fault.kind()) {
            case "slow" ->
                sampleWorkers(fault.part(), random)
                        .forEach(w -> applyFor(fault, () -> w.slow(Math.max(1, fault.size())), () -> w.slow(1)));
            case "hung" ->
                sampleWorkers(fault.part(), random)
                        .forEach(w -> applyFor(fault, () -> w.hang(true), () -> {
                            if (w.up()) {
                                w.crash();
                                restart(w);
                            }
                        }));
            case "crash" ->
                sampleWorkers(fault.part(), random).forEach(w -> {
                    w.crash();
                    simulation.registry.changed(
                            w, simulation.registry.settings().silentNotice());
                    restart(w);
                });
            case "zone_loss" -> crashMatching(fault, w -> w.zone == zoneIndex(fault));
            case "rack_loss" ->
                simulation.upWorkers().stream()
                        .filter(w -> w.zone == zoneIndex(fault))
                        .findFirst()
                        .ifPresent(first -> crashMatching(fault, w -> w.zone == first.zone && w.cell == first.cell));
            case "region_loss" -> {
                int region = simulation.scenario.regionOf(zoneIndex(fault));
                crashMatching(fault, w -> simulation.scenario.regionOf(w.zone) == region);
                simulation.dispatchers().stream()
                        .filter(n -> simulation.scenario.regionOf(n.zone) == region)
                        .forEach(n -> simulation.restartDispatcher(n, fault.length()));
            }
            case "deploy" -> deploy(fault, sampleWorkers(fault.part(), random));
            case "dispatcher_restart" -> restartDispatchers(fault, random);
            case "tenant_burst" -> addTenantLoad(fault, index);
            case "stale_reports" ->
                sampleWorkers(fault.part(), random)
                        .forEach(w -> applyFor(fault, () -> w.freezeReports(true), () -> w.freezeReports(false)));
            case "discovery_outage" ->
                applyFor(fault, () -> simulation.registry.outage(true), () -> simulation.registry.outage(false));
            case "peer_cut" -> {} // PeerLinks applies it by the clock
            case "replace" -> sampleWorkers(fault.part(), random).forEach(w -> replace(fault, w));
            case "list_withheld" ->
                simulation.registry.withhold(affectedDispatchers(fault), scheduler.now() + fault.length());
            case "dispatcher_term" -> restartDispatchers(fault, random);
            case "list_disorder" ->
                simulation.registry.disorder(
                        affectedDispatchers(fault),
                        Math.round(fault.size() * 1e6),
                        scheduler.now() + fault.length(),
                        random);
            default -> throw new IllegalStateException("unknown kind of trouble: " + fault.kind());
        }
    }

    private void restart(Worker w) {
        scheduler.after(PROCESS_RESTART_US, () -> startCold(w));
    }

    private void startCold(Worker w) {
        w.start(true);
        simulation.registry.changed(w, simulation.registry.settings().add());
    }

    private int zoneIndex(Fault fault) {
        return simulation.scenario.zones().indexOf(fault.zone());
    }

    /** Crashes the matching workers; they restart cold when the fault ends. */
    private void crashMatching(Fault fault, Predicate<Worker> filter) {
        simulation.upWorkers().stream().filter(filter).toList().forEach(w -> {
            w.crash();
            simulation.registry.changed(w, simulation.registry.settings().silentNotice());
            scheduler.after(fault.length(), () -> startCold(w));
        });
    }

    private int affectedDispatchers(Fault fault) {
        return (int)
                Math.max(1, Math.round(fault.part() * simulation.dispatchers().size()));
    }

    /** Starts a replacement at once, while the old worker drains for {@code size} seconds. */
    private void replace(Fault fault, Worker old) {
        old.drain();
        simulation.registry.changed(old, simulation.registry.settings().notice());
        Worker replacement = simulation.addReplacement(old);
        replacement.start(true);
        simulation.registry.changed(replacement, simulation.registry.settings().add());
        scheduler.after(Math.round(Math.max(0.1, fault.size()) * 1e6), () -> {
            old.crash();
            simulation.registry.changed(old, simulation.registry.settings().notice());
        });
    }

    /** Replaces workers one after another over the length of the fault; each drains for {@code size} seconds. */
    private void deploy(Fault fault, List<Worker> all) {
        long intervalUs = fault.length() / all.size();
        long drainUs = Math.round(Math.max(0.1, fault.size()) * 1e6);
        for (int i = 0; i < all.size(); i++) {
            Worker old = all.get(i);
            scheduler.after(i * intervalUs, () -> {
                if (!old.up()) {
                    return;
                }
                old.drain();
                simulation.registry.changed(old, simulation.registry.settings().notice());
                scheduler.after(drainUs, () -> {
                    if (old.up()) {
                        old.crash();
                        simulation.registry.changed(
                                old, simulation.registry.settings().notice());
                    }
                    Worker replacement = simulation.addReplacement(old);
                    replacement.start(true);
                    simulation.registry.changed(
                            replacement, simulation.registry.settings().add());
                });
            });
        }
    }

    /**
     * Restarts a share of the dispatchers, evenly spread over the length of the fault (0.001 s: all at once). Each
     * is down for {@code size} seconds.
     */
    private void restartDispatchers(Fault fault, UniformRandomProvider random) {
        List<EmulatedDispatcher> dispatchers = new ArrayList<>(simulation.dispatchers());
        Collections.rotate(dispatchers, random.nextInt(dispatchers.size()));
        int n = (int) Math.max(1, Math.round(fault.part() * dispatchers.size()));
        for (int i = 0; i < n; i++) {
            EmulatedDispatcher dispatcher = dispatchers.get(i);
            scheduler.after(
                    fault.length() * i / n,
                    () -> simulation.restartDispatcher(dispatcher, Math.round(Math.max(0.01, fault.size()) * 1e6)));
        }
    }

    private void addTenantLoad(Fault fault, int index) {
        int tenant = 0;
        while (!simulation.scenario.tenants().get(tenant).name().equals(fault.tenant())) {
            tenant++;
        }
        double extraPerSecond = Math.max(0, fault.size() - 1) * simulation.requestsPerSecond(tenant);
        if (extraPerSecond > 0) {
            simulation.clients.startArrivals(
                    "burst",
                    index,
                    extraPerSecond,
                    tenant,
                    scheduler.now(),
                    scheduler.now() + fault.length(),
                    ClusterSimulation.STEADY_RATE);
        }
    }
}
