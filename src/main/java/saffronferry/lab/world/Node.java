package saffronferry.lab.world;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.Contract.WorkerInfo;
import saffronferry.News;
import saffronferry.Step;
import saffronferry.fleet.WatchEnd;
import saffronferry.lab.check.RuleChecker;
import saffronferry.lab.policy.DispatchLogic;

/** An emulated dispatcher: carries out what its brain decides, over the emulated network. */
final class Node {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    /** Who makes a brain, anew for each life; {@code life} counts from 0. */
    interface Maker {
        DispatchLogic make(int dispatcher, int life);
    }

    private static final long PROBE_PATIENCE = 500_000;

    private static final class Attempt {
        final Worker worker;
        final long sentAt;
        Job job;
        boolean over;

        Attempt(Worker worker, long sentAt) {
            this.worker = worker;
            this.sentAt = sentAt;
        }
    }

    private static final class Rpc {
        final Call call;
        final long id;
        final long validUntil;
        final List<Attempt> attempts = new ArrayList<>();
        boolean answered;
        int out;
        long nowhereSince;

        Rpc(Call call, long id, long validUntil, long now) {
            nowhereSince = now;
            this.call = call;
            this.id = id;
            this.validUntil = validUntil;
        }
    }

    final int number;
    final int zone;
    private final ClusterSimulation world;
    private final Simulation sim;
    private final RuleChecker checker;
    private final Maker maker;
    private final Map<Long, Rpc> open = new HashMap<>();
    private final Map<String, WorkerInfo> listed = new HashMap<>();
    private DispatchLogic logic;
    private boolean up;
    private int life = -1;
    private long lastId;
    private int watch;
    private long busy; // processor time that decisions took, ns: for the report alone
    private int depth;
    private final List<Runnable> waiting = new ArrayList<>();

    Node(int number, int zone, ClusterSimulation world, Maker maker) {
        this.number = number;
        this.zone = zone;
        this.world = world;
        this.maker = maker;
        sim = world.sim;
        checker = world.checker;
    }

    int life() {
        return life;
    }

    boolean up() {
        return up;
    }

    long busyNanos() {
        return busy;
    }

    /** Starts with the list as it was last held. */
    void start(List<WorkerInfo> known) {
        life++;
        up = true;
        logic = maker.make(number, life);
        learn(known, ListKind.WARM_COPY);
    }

    /** Ends at once: clients and workers see their connections break. */
    List<WorkerInfo> kill() {
        up = false;
        watch = 0;
        checker.dispatcherStopped(number);
        for (Rpc rpc : open.values()) {
            rpc.attempts.stream().filter(a -> !a.over && a.job != null).forEach(a -> a.worker.cancel(a.job));
            if (!rpc.answered) {
                world.clients.broken(rpc.call, this);
            }
        }
        open.clear();
        List<WorkerInfo> known = new ArrayList<>(listed.values());
        listed.clear();
        return known;
    }

    // ---- what comes in ----

    /** A client's request has arrived; false if nobody listens. */
    boolean take(Call call) {
        if (!up) {
            return false;
        }
        long id = ++lastId;
        Rpc rpc = new Rpc(call, id, call.deadline - world.scenario.network().client(), sim.now());
        open.put(id, rpc);
        RuleChecker.Id name = name(id);
        checker.requestAccepted(sim.now(), name, call.rpcClass, rpc.validUntil);
        int mine = life;
        sim.at(rpc.validUntil, () -> {
            if (mine == life && up) {
                expire(rpc);
            }
        });
        sim.at(rpc.validUntil + world.scenario.rules().slack() + 1, () -> checker.deadlinePassed(sim.now(), name));
        Request request = new Request(id, call.rpcClass, call.tenant, rpc.validUntil, 1, false);
        decide(b -> b.pick(sim.now(), request));
        return true;
    }

    private RuleChecker.Id name(long id) {
        return new RuleChecker.Id(number, life, id);
    }

    private void expire(Rpc rpc) {
        for (int i = 0; i < rpc.attempts.size(); i++) {
            Attempt a = rpc.attempts.get(i);
            if (!a.over) {
                letGo(a);
                ended(rpc.id, i, Outcome.TIMEOUT);
            }
        }
    }

    private void letGo(Attempt a) {
        Job job = a.job;
        if (job != null) {
            sim.after(world.wires.between(zone, a.worker.zone), () -> a.worker.cancel(job));
        }
    }

    /** A worker's word for a former life is for nobody. */
    void hears(Worker from, int itsLife, Consumer<Node> what) {
        sim.after(world.wires.between(from.zone, zone), () -> {
            if (up && life == itsLife) {
                what.accept(this);
            }
        });
    }

    void moved(long id, int attempt) {
        Rpc rpc = open.get(id);
        if (rpc != null && !rpc.attempts.get(attempt).over) {
            decide(b -> b.report(sim.now(), new News.AttemptMoved(id, attempt, true)));
        }
    }

    void ended(long id, int attempt, Outcome outcome) {
        Rpc rpc = open.get(id);
        if (rpc == null || rpc.attempts.get(attempt).over) {
            return;
        }
        Attempt a = rpc.attempts.get(attempt);
        a.over = true;
        rpc.out--;
        rpc.nowhereSince = rpc.out == 0 ? sim.now() : rpc.nowhereSince;
        checker.attemptEnded(sim.now(), name(id), attempt, outcome);
        if (outcome == Outcome.OK && !rpc.answered) {
            answer(rpc, "served", false, 0);
        }
        if (!rpc.answered && sim.now() >= rpc.validUntil) {
            answer(rpc, "failed at its deadline", false, 0);
        }
        boolean answered = rpc.answered;
        forget(rpc);
        decide(b ->
                b.report(sim.now(), new News.AttemptEnded(id, attempt, outcome, sim.now() - a.sentAt, answered, null)));
    }

    private void forget(Rpc rpc) {
        if (rpc.answered && rpc.out == 0) {
            open.remove(rpc.id);
        }
    }

    /** Whether it has a request that has been at no worker for longer than that. */
    boolean waits(long longer) {
        return up
                && open.values().stream()
                        .anyMatch(r -> !r.answered && r.out == 0 && sim.now() - r.nowhereSince > longer);
    }

    void peerSaid(int peer, byte[] bytes) {
        if (up) {
            decide(b -> b.report(sim.now(), new News.PeerSaid(peer, bytes)));
        }
    }

    /** The watch of that number tells; others are of the past. */
    void listTells(int itsWatch, List<WorkerInfo> entries, ListKind kind) {
        if (up && itsWatch == watch) {
            learn(entries, kind);
        }
    }

    void watchLost(int itsWatch) {
        if (up && itsWatch == watch) {
            decide(b -> b.report(sim.now(), new News.WatchLost(WatchEnd.ENDED)));
        }
    }

    private void learn(List<WorkerInfo> entries, ListKind kind) {
        if (kind != ListKind.CHANGES) {
            listed.clear();
            checker.fullListReceived(
                    sim.now(), number, entries.stream().map(WorkerInfo::address).toList());
        }
        for (WorkerInfo info : entries) {
            listed.put(info.address(), info);
            checker.workerStateReceived(sim.now(), number, info.address(), info.state());
        }
        decide(b -> b.report(sim.now(), new News.Resolved(kind, entries)));
    }

    // ---- what the brain says ----

    private interface Decision {
        List<Step> of(DispatchLogic logic);
    }

    /** News that steps make waits its turn, so that the brain is never entered twice. */
    private void decide(Decision decision) {
        if (depth > 0) {
            int mine = life;
            waiting.add(() -> {
                if (mine == life && up) {
                    run(decision);
                }
            });
            return;
        }
        depth++;
        run(decision);
        while (!waiting.isEmpty()) {
            waiting.remove(0).run();
        }
        depth--;
    }

    private void run(Decision decision) {
        // danger: on a machine with other work, real time counts what others had of the core
        long begun = THREADS.getCurrentThreadCpuTime();
        List<Step> steps = decision.of(logic);
        busy += THREADS.getCurrentThreadCpuTime() - begun;
        world.tally.decisions++;
        steps.forEach(this::perform);
    }

    private void perform(Step step) {
        if (step instanceof Step.StartAttempt s) {
            send(s);
        } else if (step instanceof Step.CancelAttempt c) {
            Rpc rpc = open.get(c.rpc());
            if (rpc != null && c.attempt() < rpc.attempts.size() && !rpc.attempts.get(c.attempt()).over) {
                letGo(rpc.attempts.get(c.attempt()));
                ended(c.rpc(), c.attempt(), Outcome.CANCELLED);
            }
        } else if (step instanceof Step.Refuse r) {
            finish(r.rpc(), "refused", true, r.retryAfter());
        } else if (step instanceof Step.Fail f) {
            finish(f.rpc(), "failed", false, 0);
        } else if (step instanceof Step.Probe p) {
            probe(p.subchannel());
        } else if (step instanceof Step.TellPeer t) {
            world.tell(this, t.peer(), t.bytes());
        } else if (step instanceof Step.Watch) {
            world.registry.watch(this, ++watch);
        } else if (step instanceof Step.WakeAfter w) {
            int mine = life;
            sim.after(w.delay(), () -> {
                if (up && mine == life) {
                    decide(b -> b.tick(sim.now(), w.token()));
                }
            });
        }
    }

    private void finish(long id, String how, boolean refused, long retryAfter) {
        Rpc rpc = open.get(id);
        if (rpc == null) {
            checker.requestCompleted(sim.now(), name(id), how, refused);
            return;
        }
        answer(rpc, how, refused, retryAfter);
        forget(rpc);
    }

    private void answer(Rpc rpc, String how, boolean refused, long retryAfter) {
        checker.requestCompleted(sim.now(), name(rpc.id), how, refused);
        if (!rpc.answered) {
            if (!how.equals("served")) {
                world.coldUse.refused(zone);
            }
            rpc.answered = true;
            world.clients.answered(rpc.call, how.equals("served"), refused, retryAfter);
        }
    }

    private void send(Step.StartAttempt s) {
        Rpc rpc = open.get(s.rpc());
        Worker worker = world.worker(s.subchannel());
        checker.attemptStarted(
                sim.now(),
                name(s.rpc()),
                s.subchannel(),
                worker == null ? -1 : worker.zone,
                worker == null ? -1 : worker.cell);
        if (rpc == null) {
            return;
        }
        world.tally.sent(rpc.call, rpc.out > 0);
        int number = rpc.attempts.size();
        Attempt a = new Attempt(worker, sim.now());
        rpc.attempts.add(a);
        rpc.out++;
        int mine = life;
        if (worker == null || sim.now() >= rpc.validUntil) {
            sim.after(0, () -> ifAlive(mine, () -> ended(rpc.id, number, Outcome.NOT_SENT)));
            return;
        }
        boolean informed =
                listed.containsKey(worker.address) && listed.get(worker.address).startedAt() != 0;
        sim.after(world.wires.between(zone, worker.zone), () -> {
            if (!worker.up()) {
                hears(worker, mine, n -> n.ended(rpc.id, number, Outcome.CONNECT_FAILED));
            } else if (!a.over) {
                a.job = new Job(this, rpc.id, number, rpc.call.work);
                if (worker.cold()
                        && checker.coldArrivalOverloads(
                                sim.now(), worker.address, worker.capacity(), rpc.call.work, this.number, informed)) {
                    world.fallsOver(worker);
                }
                if (worker.up()) {
                    worker.deliver(a.job);
                } else {
                    hears(worker, mine, n -> n.ended(rpc.id, number, Outcome.RESET));
                }
            }
        });
    }

    private void ifAlive(int itsLife, Runnable what) {
        if (up && life == itsLife) {
            what.run();
        }
    }

    private void probe(String address) {
        world.tally.probes++;
        Worker worker = world.worker(address);
        int mine = life;
        if (worker == null) {
            sim.after(0, () -> ifAlive(mine, () -> probed(address, Outcome.CONNECT_FAILED, null)));
            return;
        }
        long there = world.wires.between(zone, worker.zone);
        sim.after(there, () -> {
            if (!worker.up()) {
                hears(worker, mine, n -> n.probed(address, Outcome.CONNECT_FAILED, null));
            } else if (worker.hung()) {
                sim.after(PROBE_PATIENCE - there, () -> ifAlive(mine, () -> probed(address, Outcome.TIMEOUT, null)));
            } else {
                Report report = worker.report();
                hears(worker, mine, n -> n.probed(address, Outcome.OK, report));
            }
        });
    }

    private void probed(String address, Outcome outcome, Report report) {
        decide(b -> b.report(sim.now(), new News.Probed(address, outcome, report)));
    }
}
