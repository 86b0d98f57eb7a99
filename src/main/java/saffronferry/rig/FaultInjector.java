package saffronferry.rig;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.scenario.Scenario.Fault;

/** Injects the faults of a scenario; faults of peer links are applied by {@link DatagramRelay}. */
final class FaultInjector {
    /** How long new connections still arrive after SIGTERM, as on the platform. */
    private static final long TERM_ACCEPT_MS = 300;

    /** Time from SIGTERM to SIGKILL, as on the platform. */
    private static final long TERM_KILL_MS = 3_700;

    private static final long READINESS_POLL_MS = 100;
    private static final long EXIT_POLL_US = 20_000;
    private static final long MIN_DRAIN_US = 100_000;

    private final FaultRig rig;
    private final LoadGenerator loadGenerator;
    private final Vertx vertx;
    private final Scenario scenario;

    FaultInjector(FaultRig rig, LoadGenerator loadGenerator) {
        this.rig = rig;
        this.loadGenerator = loadGenerator;
        vertx = rig.vertx;
        scenario = rig.scenario;
    }

    void scheduleAll() {
        for (Fault t : scenario.faults()) {
            SplittableRandom random = rig.random.split();
            vertx.setTimer(Math.max(1, t.at() / 1000), x -> inject(t, random));
        }
    }

    private List<StandInWorker> workers(Fault t, SplittableRandom random) {
        List<StandInWorker> up = new ArrayList<>(rig.workers.values().stream()
                .filter(w -> !w.down() && !w.draining())
                .toList());
        int n = (int) Math.min(up.size(), Math.max(1, Math.round(t.part() * up.size())));
        for (int i = 0; i < n; i++) {
            Collections.swap(up, i, i + random.nextInt(up.size() - i));
        }
        return up.subList(0, n);
    }

    /** The affected share of the dispatchers, lowest numbers first, so that a scenario can predict which. */
    private List<DispatcherProcess> dispatchers(Fault t) {
        int n = rig.dispatchers.size();
        return rig.dispatchers.subList(0, (int) Math.min(n, Math.max(1, Math.round(t.part() * n))));
    }

    private void schedule(long micros, Runnable task) {
        vertx.setTimer(Math.max(1, micros / 1000), x -> task.run());
    }

    private void inject(Fault t, SplittableRandom random) {
        long size = Math.round(t.size() * 1e6);
        switch (t.kind()) {
            case "slow" ->
                workers(t, random).forEach(w -> {
                    w.setSlowdown(Math.max(1, t.size()));
                    schedule(t.length(), () -> w.setSlowdown(1));
                });
            case "crash" ->
                workers(t, random).forEach(w -> {
                    w.crash();
                    rig.announce(w, "DELETED", scenario.discovery().silentNotice());
                    startReplacement(w, 0);
                });
            case "replace" -> workers(t, random).forEach(w -> replaceWorker(w, size));
            case "deploy" -> {
                List<StandInWorker> all = workers(t, random);
                for (int i = 0; i < all.size(); i++) {
                    StandInWorker w = all.get(i);
                    schedule(t.length() / all.size() * i, () -> replaceWorker(w, size));
                }
            }
            case "stale_reports" ->
                workers(t, random).forEach(w -> {
                    w.setReportsEmpty(true);
                    schedule(t.length(), () -> w.setReportsEmpty(false));
                });
            case "discovery_outage" ->
                rig.discoveries.forEach(d -> {
                    d.setOutage(true);
                    schedule(t.length(), () -> d.setOutage(false));
                });
            case "list_withheld" ->
                dispatchers(t).forEach(d -> {
                    rig.discoveries.get(d.number).setWithheld(true);
                    schedule(t.length(), () -> rig.discoveries.get(d.number).setWithheld(false));
                });
            case "list_disorder" ->
                dispatchers(t).forEach(d -> {
                    rig.discoveries.get(d.number).setDisorder(size, random.split());
                    schedule(t.length(), () -> rig.discoveries.get(d.number).setDisorder(0, random.split()));
                });
            case "dispatcher_restart" ->
                spread(t, d -> {
                    killDispatcher(d);
                    schedule(size, () -> startDispatcher(d));
                });
            case "dispatcher_term" -> spread(t, d -> restartByTerm(d, size));
            case "dispatcher_stop" -> spread(t, d -> pauseDispatcher(d, size));
            case "dispatcher_hup" -> spread(t, d -> signal(d, "HUP"));
            case "peer_cut" -> {} // PeerLinks evaluates the time itself
            default -> throw new IllegalStateException("trouble " + t.kind() + " is not supported by the fault rig");
        }
    }

    private interface DispatcherAction {
        void apply(DispatcherProcess d);
    }

    private void spread(Fault t, DispatcherAction action) {
        List<DispatcherProcess> all = dispatchers(t);
        for (int i = 0; i < all.size(); i++) {
            DispatcherProcess d = all.get(i);
            schedule(t.length() * i / all.size(), () -> action.apply(d));
        }
    }

    /** Starts a cold replacement at once; the old worker drains for {@code drain} microseconds. */
    private void replaceWorker(StandInWorker old, long drain) {
        old.drain();
        rig.announce(old, "DRAINING", scenario.discovery().notice());
        startReplacement(old, 0);
        schedule(Math.max(drain, MIN_DRAIN_US), () -> {
            old.crash();
            rig.announce(old, "DELETED", scenario.discovery().notice());
        });
    }

    private void startReplacement(StandInWorker old, long delay) {
        rig.startReplacement(old)
                .onSuccess(w -> rig.announce(w, "SERVING", scenario.discovery().add() + delay));
    }

    private void killDispatcher(DispatcherProcess d) {
        d.kill();
        rig.verifier.dispatcherKilled(d.number);
        loadGenerator.setDead(d.number, true);
    }

    private void startDispatcher(DispatcherProcess d) {
        if (d.alive()) { // SIGKILL was sent, but the process has not exited yet
            schedule(EXIT_POLL_US, () -> startDispatcher(d));
            return;
        }
        try {
            rig.launch(d);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        readmitWhenServing(d);
    }

    private void readmitWhenServing(DispatcherProcess d) {
        rig.isServing(d).onComplete(up -> {
            if (Boolean.TRUE.equals(up.result())) {
                loadGenerator.setDead(d.number, false);
            } else {
                vertx.setTimer(READINESS_POLL_MS, t -> readmitWhenServing(d));
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

    /** A planned restart as the platform does it: SIGTERM, grace period, SIGKILL, start. */
    private void restartByTerm(DispatcherProcess d, long downtime) {
        signal(d, "TERM");
        vertx.setTimer(TERM_ACCEPT_MS, t -> loadGenerator.removeFromRotation(d.number));
        vertx.setTimer(TERM_KILL_MS, t -> {
            killDispatcher(d);
            schedule(downtime, () -> startDispatcher(d));
        });
    }

    /** Pauses the process with SIGSTOP for {@code length} microseconds and resumes it with SIGCONT. */
    private void pauseDispatcher(DispatcherProcess d, long length) {
        signal(d, "STOP");
        rig.verifier.dispatcherPausedOrResumed(d.number);
        loadGenerator.setDead(d.number, true);
        schedule(length, () -> {
            rig.verifier.dispatcherPausedOrResumed(d.number);
            signal(d, "CONT");
            readmitWhenServing(d);
        });
    }
}
