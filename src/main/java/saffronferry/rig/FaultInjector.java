package saffronferry.rig;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.scenario.Scenario.Trouble;

/** Makes go wrong what the scenario says; datagrams are {@link DatagramRelay}'s. */
final class FaultInjector {
    /** How long new connections still come after SIGTERM, and until SIGKILL, as on the platform. */
    private static final long TERM_NEW_MS = 300;

    private static final long TERM_KILL_MS = 3_700;
    private static final long LOOK_UP_MS = 100;

    private final FaultRig rig;
    private final LoadGenerator front;
    private final Vertx vertx;
    private final Scenario scenario;

    FaultInjector(FaultRig rig, LoadGenerator front) {
        this.rig = rig;
        this.front = front;
        vertx = rig.vertx;
        scenario = rig.scenario;
    }

    void plan() {
        for (Trouble t : scenario.troubles()) {
            SplittableRandom random = rig.random.split();
            vertx.setTimer(Math.max(1, t.at() / 1000), x -> begin(t, random));
        }
    }

    private List<StandInWorker> workers(Trouble t, SplittableRandom random) {
        List<StandInWorker> up = new ArrayList<>(rig.workers.values().stream()
                .filter(w -> !w.down() && !w.draining())
                .toList());
        int n = (int) Math.min(up.size(), Math.max(1, Math.round(t.part() * up.size())));
        for (int i = 0; i < n; i++) {
            Collections.swap(up, i, i + random.nextInt(up.size() - i));
        }
        return up.subList(0, n);
    }

    /** The first ones, so that a file can name them: part of all. */
    private List<DispatcherProcess> dispatchers(Trouble t) {
        int n = rig.dispatchers.size();
        return rig.dispatchers.subList(0, (int) Math.min(n, Math.max(1, Math.round(t.part() * n))));
    }

    private void after(long micros, Runnable what) {
        vertx.setTimer(Math.max(1, micros / 1000), x -> what.run());
    }

    private void begin(Trouble t, SplittableRandom random) {
        long size = Math.round(t.size() * 1e6);
        switch (t.kind()) {
            case "slow" ->
                workers(t, random).forEach(w -> {
                    w.slow(Math.max(1, t.size()));
                    after(t.length(), () -> w.slow(1));
                });
            case "crash" ->
                workers(t, random).forEach(w -> {
                    w.crash();
                    rig.listed(w, "DELETED", scenario.discovery().silentNotice());
                    replaced(w, 0);
                });
            case "replace" -> workers(t, random).forEach(w -> replace(w, size));
            case "deploy" -> {
                List<StandInWorker> all = workers(t, random);
                for (int i = 0; i < all.size(); i++) {
                    StandInWorker w = all.get(i);
                    after(t.length() / all.size() * i, () -> replace(w, size));
                }
            }
            case "stale_reports" ->
                workers(t, random).forEach(w -> {
                    w.silent(true);
                    after(t.length(), () -> w.silent(false));
                });
            case "discovery_outage" ->
                rig.discoveries.forEach(d -> {
                    d.outage(true);
                    after(t.length(), () -> d.outage(false));
                });
            case "list_withheld" ->
                dispatchers(t).forEach(d -> {
                    rig.discoveries.get(d.number).withhold(true);
                    after(t.length(), () -> rig.discoveries.get(d.number).withhold(false));
                });
            case "list_disorder" ->
                dispatchers(t).forEach(d -> {
                    rig.discoveries.get(d.number).disorder(size, random.split());
                    after(t.length(), () -> rig.discoveries.get(d.number).disorder(0, random.split()));
                });
            case "dispatcher_restart" ->
                spread(t, d -> {
                    end(d);
                    after(size, () -> start(d));
                });
            case "dispatcher_term" -> spread(t, d -> term(d, size));
            case "dispatcher_stop" -> spread(t, d -> stop(d, size));
            case "dispatcher_hup" -> spread(t, d -> signal(d, "HUP"));
            case "peer_cut" -> {} // PeerLinks looks at the clock itself
            default -> throw new IllegalStateException("trouble " + t.kind() + " is not played by the rig");
        }
    }

    private interface DispatcherAction {
        void to(DispatcherProcess d);
    }

    private void spread(Trouble t, DispatcherAction deed) {
        List<DispatcherProcess> all = dispatchers(t);
        for (int i = 0; i < all.size(); i++) {
            DispatcherProcess d = all.get(i);
            after(t.length() * i / all.size(), () -> deed.to(d));
        }
    }

    /** A successor starts at once, cold; the old one finishes for so long. */
    private void replace(StandInWorker old, long drain) {
        old.drain();
        rig.listed(old, "DRAINING", scenario.discovery().notice());
        replaced(old, 0);
        after(Math.max(drain, 100_000), () -> {
            old.crash();
            rig.listed(old, "DELETED", scenario.discovery().notice());
        });
    }

    private void replaced(StandInWorker old, long after) {
        rig.successor(old)
                .onSuccess(w -> rig.listed(w, "SERVING", scenario.discovery().add() + after));
    }

    private void end(DispatcherProcess d) {
        d.kill();
        rig.judge.died(d.number);
        front.dead(d.number, true);
    }

    private void start(DispatcherProcess d) {
        if (d.alive()) { // killed a moment ago, and not ended yet
            after(20_000, () -> start(d));
            return;
        }
        try {
            rig.launch(d);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        admit(d);
    }

    private void admit(DispatcherProcess d) {
        rig.up(d).onComplete(up -> {
            if (Boolean.TRUE.equals(up.result())) {
                front.dead(d.number, false);
            } else {
                vertx.setTimer(LOOK_UP_MS, t -> admit(d));
            }
        });
    }

    private void signal(DispatcherProcess d, String name) {
        try {
            d.signal(name);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A planned restart as the platform does it. */
    private void term(DispatcherProcess d, long down) {
        signal(d, "TERM");
        vertx.setTimer(TERM_NEW_MS, t -> front.gone(d.number));
        vertx.setTimer(TERM_KILL_MS, t -> {
            end(d);
            after(down, () -> start(d));
        });
    }

    /** It does nothing for so long, and then goes on as if nothing had been. */
    private void stop(DispatcherProcess d, long length) {
        signal(d, "STOP");
        rig.judge.stopped(d.number);
        front.dead(d.number, true);
        after(length, () -> {
            rig.judge.stopped(d.number);
            signal(d, "CONT");
            admit(d);
        });
    }
}
