package saffronferry.lab.world;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import saffronferry.lab.scenario.Scenario.Fault;

/** Makes go wrong what the scenario says; each trouble draws from a stream of its own. */
final class Troubles {
    /** How long a process takes to be up again. */
    private static final long RESTART = 1_500_000;
    /** What an emulated dispatcher has no signals for. */
    private static final Set<String> SIGNALS = Set.of("dispatcher_stop", "dispatcher_hup");

    private final ClusterSimulation world;
    private final Simulation sim;

    Troubles(ClusterSimulation world) {
        this.world = world;
        sim = world.sim;
    }

    void plan(long start) {
        List<Fault> all = world.scenario.faults();
        for (int i = 0; i < all.size(); i++) {
            Fault t = all.get(i);
            if (SIGNALS.contains(t.kind())) {
                throw new IllegalArgumentException("trouble " + t.kind() + " is for processes: play it with rig fleet");
            }
            UniformRandomProvider random = world.streams.of("trouble", i);
            int index = i;
            sim.at(start + t.at(), () -> begin(t, index, random));
        }
    }

    private List<Worker> part(double part, UniformRandomProvider random) {
        List<Worker> up = new ArrayList<>(world.serving());
        ListSampler.shuffle(random, up);
        return up.subList(0, (int) Math.min(up.size(), Math.max(1, Math.round(part * up.size()))));
    }

    private void during(Fault t, Runnable begin, Runnable end) {
        begin.run();
        sim.after(t.length(), end);
    }

    private void begin(Fault t, int index, UniformRandomProvider random) {
        switch (t.kind()) {
            case "slow" ->
                part(t.part(), random).forEach(w -> during(t, () -> w.slow(Math.max(1, t.size())), () -> w.slow(1)));
            case "hung" ->
                part(t.part(), random)
                        .forEach(w -> during(t, () -> w.hang(true), () -> {
                            if (w.up()) {
                                w.crash();
                                restart(w);
                            }
                        }));
            case "crash" ->
                part(t.part(), random).forEach(w -> {
                    w.crash();
                    world.registry.changed(w, world.registry.settings().silentNotice());
                    restart(w);
                });
            case "zone_loss" -> lose(t, w -> w.zone == zone(t));
            case "rack_loss" ->
                world.serving().stream()
                        .filter(w -> w.zone == zone(t))
                        .findFirst()
                        .ifPresent(first -> lose(t, w -> w.zone == first.zone && w.cell == first.cell));
            case "region_loss" -> {
                int region = world.scenario.regionOf(zone(t));
                lose(t, w -> world.scenario.regionOf(w.zone) == region);
                world.nodes().stream()
                        .filter(n -> world.scenario.regionOf(n.zone) == region)
                        .forEach(n -> world.restart(n, t.length()));
            }
            case "deploy" -> deploy(t, part(t.part(), random));
            case "dispatcher_restart" -> restartNodes(t, random);
            case "tenant_burst" -> burst(t, index);
            case "stale_reports" ->
                part(t.part(), random)
                        .forEach(w -> during(t, () -> w.freezeReports(true), () -> w.freezeReports(false)));
            case "discovery_outage" -> during(t, () -> world.registry.outage(true), () -> world.registry.outage(false));
            case "peer_cut" -> {} // PeerLinks looks at the clock itself
            case "replace" -> part(t.part(), random).forEach(w -> replace(t, w));
            case "list_withheld" -> world.registry.withhold(firstOf(t), sim.now() + t.length());
            case "dispatcher_term" -> restartNodes(t, random);
            case "list_disorder" ->
                world.registry.disorder(firstOf(t), Math.round(t.size() * 1e6), sim.now() + t.length(), random);
            default -> throw new IllegalStateException("no trouble " + t.kind());
        }
    }

    private void restart(Worker w) {
        sim.after(RESTART, () -> up(w));
    }

    private void up(Worker w) {
        w.start(true);
        world.registry.changed(w, world.registry.settings().add());
    }

    private int zone(Fault t) {
        return world.scenario.zones().indexOf(t.zone());
    }

    /** They are gone at once, and back cold when the trouble is over. */
    private void lose(Fault t, Predicate<Worker> which) {
        world.serving().stream().filter(which).toList().forEach(w -> {
            w.crash();
            world.registry.changed(w, world.registry.settings().silentNotice());
            sim.after(t.length(), () -> up(w));
        });
    }

    private int firstOf(Fault t) {
        return (int) Math.max(1, Math.round(t.part() * world.nodes().size()));
    }

    /** Its successor starts at once; the old one finishes for {@code size} seconds. */
    private void replace(Fault t, Worker old) {
        old.drain();
        world.registry.changed(old, world.registry.settings().notice());
        Worker successor = world.successor(old);
        successor.start(true);
        world.registry.changed(successor, world.registry.settings().add());
        sim.after(Math.round(Math.max(0.1, t.size()) * 1e6), () -> {
            old.crash();
            world.registry.changed(old, world.registry.settings().notice());
        });
    }

    /** Batches, one after the other over the trouble's length; each drains for {@code size} seconds. */
    private void deploy(Fault t, List<Worker> all) {
        long gap = t.length() / all.size();
        long grace = Math.round(Math.max(0.1, t.size()) * 1e6);
        for (int i = 0; i < all.size(); i++) {
            Worker old = all.get(i);
            sim.after(i * gap, () -> {
                if (!old.up()) {
                    return;
                }
                old.drain();
                world.registry.changed(old, world.registry.settings().notice());
                sim.after(grace, () -> {
                    if (old.up()) {
                        old.crash();
                        world.registry.changed(old, world.registry.settings().notice());
                    }
                    Worker successor = world.successor(old);
                    successor.start(true);
                    world.registry.changed(successor, world.registry.settings().add());
                });
            });
        }
    }

    /**
     * A part of the dispatchers, spread evenly over the length (0.001 s: all at once); down {@code size} s.
     */
    private void restartNodes(Fault t, UniformRandomProvider random) {
        List<Node> nodes = new ArrayList<>(world.nodes());
        Collections.rotate(nodes, random.nextInt(nodes.size()));
        int n = (int) Math.max(1, Math.round(t.part() * nodes.size()));
        for (int i = 0; i < n; i++) {
            Node node = nodes.get(i);
            sim.after(t.length() * i / n, () -> world.restart(node, Math.round(Math.max(0.01, t.size()) * 1e6)));
        }
    }

    private void burst(Fault t, int index) {
        int tenant = 0;
        while (!world.scenario.tenants().get(tenant).name().equals(t.tenant())) {
            tenant++;
        }
        double more = Math.max(0, t.size() - 1) * world.askedPerSecond(tenant);
        if (more > 0) {
            world.clients.stream("burst", index, more, tenant, sim.now(), sim.now() + t.length(), ClusterSimulation.STEADY);
        }
    }
}
