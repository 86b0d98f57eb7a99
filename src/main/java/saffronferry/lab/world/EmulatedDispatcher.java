package saffronferry.lab.world;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import saffronferry.BalancerAction;
import saffronferry.BalancerEvent;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.Contract.WorkerInfo;
import saffronferry.fleet.WatchEnd;
import saffronferry.lab.check.RuleChecker;
import saffronferry.lab.policy.DispatchLogic;

/** An emulated dispatcher: carries out the actions of its dispatch logic over the emulated network. */
final class EmulatedDispatcher {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final long PROBE_TIMEOUT_US = 500_000;

    /** Creates the dispatch logic for each incarnation of a dispatcher, counted from 0. */
    interface LogicFactory {
        DispatchLogic make(int dispatcher, int incarnation);
    }

    private static final class Attempt {
        final Worker worker;
        final long sentAt;
        Job job;
        boolean ended;

        Attempt(Worker worker, long sentAt) {
            this.worker = worker;
            this.sentAt = sentAt;
        }
    }

    private static final class Rpc {
        final ClientRequest clientRequest;
        final long id;
        final long validUntil;
        final List<Attempt> attempts = new ArrayList<>();
        boolean answered;
        int attemptsInFlight;
        long idleSince;

        Rpc(ClientRequest clientRequest, long id, long validUntil, long now) {
            idleSince = now;
            this.clientRequest = clientRequest;
            this.id = id;
            this.validUntil = validUntil;
        }
    }

    final int number;
    final int zone;
    private final ClusterSimulation simulation;
    private final EventScheduler scheduler;
    private final RuleChecker checker;
    private final LogicFactory logicFactory;
    private final Map<Long, Rpc> openRpcs = new HashMap<>();
    private final Map<String, WorkerInfo> knownWorkers = new HashMap<>();
    private DispatchLogic logic;
    private boolean up;
    private int incarnation = -1;
    private long lastId;
    private int watchNumber;
    /** CPU time of all decisions; it is only reported and has no influence on the simulation. */
    private long decisionNanos;

    private int decisionDepth;
    private final List<Runnable> deferredDecisions = new ArrayList<>();

    EmulatedDispatcher(int number, int zone, ClusterSimulation simulation, LogicFactory logicFactory) {
        this.number = number;
        this.zone = zone;
        this.simulation = simulation;
        this.logicFactory = logicFactory;
        scheduler = simulation.scheduler;
        checker = simulation.checker;
    }

    int incarnation() {
        return incarnation;
    }

    boolean up() {
        return up;
    }

    long decisionCpuNanos() {
        return decisionNanos;
    }

    /** Starts the process with the worker list that the previous incarnation held last. */
    void start(List<WorkerInfo> known) {
        incarnation++;
        up = true;
        logic = logicFactory.make(number, incarnation);
        applyList(known, ListKind.WARM_COPY);
    }

    /** Ends the process at once, which breaks its connections to clients and workers. Returns its worker list. */
    List<WorkerInfo> kill() {
        up = false;
        watchNumber = 0;
        checker.dispatcherStopped(number);
        for (Rpc rpc : openRpcs.values()) {
            rpc.attempts.stream().filter(a -> !a.ended && a.job != null).forEach(a -> a.worker.cancel(a.job));
            if (!rpc.answered) {
                simulation.clients.connectionLost(rpc.clientRequest, this);
            }
        }
        openRpcs.clear();
        List<WorkerInfo> known = new ArrayList<>(knownWorkers.values());
        knownWorkers.clear();
        return known;
    }

    // ---- incoming events ----

    /** Accepts a client's request; returns false if the process is down. */
    boolean acceptRequest(ClientRequest clientRequest) {
        if (!up) {
            return false;
        }
        long id = ++lastId;
        Rpc rpc = new Rpc(
                clientRequest,
                id,
                clientRequest.deadline - simulation.scenario.network().client(),
                scheduler.now());
        openRpcs.put(id, rpc);
        RuleChecker.Id requestId = checkerId(id);
        checker.requestAccepted(scheduler.now(), requestId, clientRequest.rpcClass, rpc.validUntil);
        int currentIncarnation = incarnation;
        scheduler.at(rpc.validUntil, () -> {
            if (currentIncarnation == incarnation && up) {
                expire(rpc);
            }
        });
        scheduler.at(
                rpc.validUntil + simulation.scenario.rules().slack() + 1,
                () -> checker.deadlinePassed(scheduler.now(), requestId));
        Request request = new Request(id, clientRequest.rpcClass, clientRequest.tenant, rpc.validUntil, 1, false);
        decide(b -> b.pick(scheduler.now(), request));
        return true;
    }

    private RuleChecker.Id checkerId(long id) {
        return new RuleChecker.Id(number, incarnation, id);
    }

    private void expire(Rpc rpc) {
        for (int i = 0; i < rpc.attempts.size(); i++) {
            Attempt a = rpc.attempts.get(i);
            if (!a.ended) {
                cancelAtWorker(a);
                attemptEnded(rpc.id, i, Outcome.TIMEOUT);
            }
        }
    }

    private void cancelAtWorker(Attempt a) {
        Job job = a.job;
        if (job != null) {
            scheduler.after(simulation.network.delayBetween(zone, a.worker.zone), () -> a.worker.cancel(job));
        }
    }

    /** Delivers an event from a worker after the network delay, unless the process has restarted by then. */
    void deliverFromWorker(Worker from, int targetIncarnation, Consumer<EmulatedDispatcher> event) {
        scheduler.after(simulation.network.delayBetween(from.zone, zone), () -> {
            if (up && incarnation == targetIncarnation) {
                event.accept(this);
            }
        });
    }

    void attemptMoved(long id, int attempt) {
        Rpc rpc = openRpcs.get(id);
        if (rpc != null && !rpc.attempts.get(attempt).ended) {
            decide(b -> b.report(scheduler.now(), new BalancerEvent.AttemptProgressed(id, attempt, true)));
        }
    }

    void attemptEnded(long id, int attempt, Outcome outcome) {
        Rpc rpc = openRpcs.get(id);
        if (rpc == null || rpc.attempts.get(attempt).ended) {
            return;
        }
        Attempt a = rpc.attempts.get(attempt);
        a.ended = true;
        rpc.attemptsInFlight--;
        rpc.idleSince = rpc.attemptsInFlight == 0 ? scheduler.now() : rpc.idleSince;
        checker.attemptEnded(scheduler.now(), checkerId(id), attempt, outcome);
        if (outcome == Outcome.OK && !rpc.answered) {
            sendAnswer(rpc, "served", false, 0);
        }
        if (!rpc.answered && scheduler.now() >= rpc.validUntil) {
            sendAnswer(rpc, "failed at its deadline", false, 0);
        }
        boolean answered = rpc.answered;
        removeIfDone(rpc);
        decide(b -> b.report(
                scheduler.now(),
                new BalancerEvent.AttemptEnded(id, attempt, outcome, scheduler.now() - a.sentAt, answered, null)));
    }

    private void removeIfDone(Rpc rpc) {
        if (rpc.answered && rpc.attemptsInFlight == 0) {
            openRpcs.remove(rpc.id);
        }
    }

    /** Whether an open request has had no attempt in flight for longer than the threshold. */
    boolean hasRequestWaitingLongerThan(long thresholdUs) {
        return up
                && openRpcs.values().stream()
                        .anyMatch(r ->
                                !r.answered && r.attemptsInFlight == 0 && scheduler.now() - r.idleSince > thresholdUs);
    }

    void peerMessageReceived(int peer, byte[] bytes) {
        if (up) {
            decide(b -> b.report(scheduler.now(), new BalancerEvent.PeerMessageReceived(peer, bytes)));
        }
    }

    /** Applies a list from discovery, unless it belongs to an earlier watch. */
    void listReceived(int fromWatch, List<WorkerInfo> entries, ListKind kind) {
        if (up && fromWatch == watchNumber) {
            applyList(entries, kind);
        }
    }

    void watchLost(int fromWatch) {
        if (up && fromWatch == watchNumber) {
            decide(b -> b.report(scheduler.now(), new BalancerEvent.WatchLost(WatchEnd.ENDED)));
        }
    }

    private void applyList(List<WorkerInfo> entries, ListKind kind) {
        if (kind != ListKind.CHANGES) {
            knownWorkers.clear();
            checker.fullListReceived(
                    scheduler.now(),
                    number,
                    entries.stream().map(WorkerInfo::address).toList());
        }
        for (WorkerInfo info : entries) {
            knownWorkers.put(info.address(), info);
            checker.workerStateReceived(scheduler.now(), number, info.address(), info.state());
        }
        decide(b -> b.report(scheduler.now(), new BalancerEvent.Resolved(kind, entries)));
    }

    // ---- actions of the dispatch logic ----

    private interface Decision {
        List<BalancerAction> apply(DispatchLogic logic);
    }

    /** Runs a decision. Decisions caused by its actions are deferred, so that calls are never nested. */
    private void decide(Decision decision) {
        if (decisionDepth > 0) {
            int currentIncarnation = incarnation;
            deferredDecisions.add(() -> {
                if (currentIncarnation == incarnation && up) {
                    runDecision(decision);
                }
            });
            return;
        }
        decisionDepth++;
        runDecision(decision);
        while (!deferredDecisions.isEmpty()) {
            deferredDecisions.remove(0).run();
        }
        decisionDepth--;
    }

    private void runDecision(Decision decision) {
        // CPU time of this thread: on a busy machine elapsed time would include the time slices of other processes
        long startNanos = THREADS.getCurrentThreadCpuTime();
        List<BalancerAction> actions = decision.apply(logic);
        decisionNanos += THREADS.getCurrentThreadCpuTime() - startNanos;
        simulation.statistics.decisions++;
        actions.forEach(this::perform);
    }

    private void perform(BalancerAction action) {
        if (action instanceof BalancerAction.StartAttempt s) {
            startAttempt(s);
        } else if (action instanceof BalancerAction.CancelAttempt c) {
            Rpc rpc = openRpcs.get(c.rpc());
            if (rpc != null && c.attempt() < rpc.attempts.size() && !rpc.attempts.get(c.attempt()).ended) {
                cancelAtWorker(rpc.attempts.get(c.attempt()));
                attemptEnded(c.rpc(), c.attempt(), Outcome.CANCELLED);
            }
        } else if (action instanceof BalancerAction.Refuse r) {
            complete(r.rpc(), "refused", true, r.retryAfter());
        } else if (action instanceof BalancerAction.Fail f) {
            complete(f.rpc(), "failed", false, 0);
        } else if (action instanceof BalancerAction.Probe p) {
            probe(p.subchannel());
        } else if (action instanceof BalancerAction.SendToPeer t) {
            simulation.sendDatagram(this, t.peer(), t.bytes());
        } else if (action instanceof BalancerAction.WatchWorkerList) {
            simulation.registry.watch(this, ++watchNumber);
        } else if (action instanceof BalancerAction.StartTimer w) {
            int currentIncarnation = incarnation;
            scheduler.after(w.delay(), () -> {
                if (up && currentIncarnation == incarnation) {
                    decide(b -> b.tick(scheduler.now(), w.token()));
                }
            });
        }
    }

    private void complete(long id, String outcome, boolean refused, long retryAfter) {
        Rpc rpc = openRpcs.get(id);
        if (rpc == null) {
            checker.requestCompleted(scheduler.now(), checkerId(id), outcome, refused);
            return;
        }
        sendAnswer(rpc, outcome, refused, retryAfter);
        removeIfDone(rpc);
    }

    private void sendAnswer(Rpc rpc, String outcome, boolean refused, long retryAfter) {
        checker.requestCompleted(scheduler.now(), checkerId(rpc.id), outcome, refused);
        if (!rpc.answered) {
            if (!outcome.equals("served")) {
                simulation.coldUtilization.requestNotServed(zone);
            }
            rpc.answered = true;
            simulation.clients.answerReceived(rpc.clientRequest, outcome.equals("served"), refused, retryAfter);
        }
    }

    private void startAttempt(BalancerAction.StartAttempt s) {
        Rpc rpc = openRpcs.get(s.rpc());
        Worker worker = simulation.worker(s.subchannel());
        checker.attemptStarted(
                scheduler.now(),
                checkerId(s.rpc()),
                s.subchannel(),
                worker == null ? -1 : worker.zone,
                worker == null ? -1 : worker.cell);
        if (rpc == null) {
            return;
        }
        simulation.statistics.attemptSent(rpc.clientRequest, rpc.attemptsInFlight > 0);
        int number = rpc.attempts.size();
        Attempt a = new Attempt(worker, scheduler.now());
        rpc.attempts.add(a);
        rpc.attemptsInFlight++;
        int currentIncarnation = incarnation;
        if (worker == null || scheduler.now() >= rpc.validUntil) {
            scheduler.after(
                    0,
                    () -> ifSameIncarnation(currentIncarnation, () -> attemptEnded(rpc.id, number, Outcome.NOT_SENT)));
            return;
        }
        boolean informed = knownWorkers.containsKey(worker.address)
                && knownWorkers.get(worker.address).startedAt() != 0;
        scheduler.after(simulation.network.delayBetween(zone, worker.zone), () -> {
            if (!worker.up()) {
                deliverFromWorker(
                        worker, currentIncarnation, n -> n.attemptEnded(rpc.id, number, Outcome.CONNECT_FAILED));
            } else if (!a.ended) {
                a.job = new Job(this, rpc.id, number, rpc.clientRequest.work);
                if (worker.cold()
                        && checker.coldArrivalOverloads(
                                scheduler.now(),
                                worker.address,
                                worker.capacity(),
                                rpc.clientRequest.work,
                                this.number,
                                informed)) {
                    simulation.overload(worker);
                }
                if (worker.up()) {
                    worker.deliver(a.job);
                } else {
                    deliverFromWorker(worker, currentIncarnation, n -> n.attemptEnded(rpc.id, number, Outcome.RESET));
                }
            }
        });
    }

    private void ifSameIncarnation(int targetIncarnation, Runnable action) {
        if (up && incarnation == targetIncarnation) {
            action.run();
        }
    }

    private void probe(String address) {
        simulation.statistics.probes++;
        Worker worker = simulation.worker(address);
        int currentIncarnation = incarnation;
        if (worker == null) {
            scheduler.after(
                    0,
                    () -> ifSameIncarnation(
                            currentIncarnation, () -> probeEnded(address, Outcome.CONNECT_FAILED, null)));
            return;
        }
        long oneWayDelay = simulation.network.delayBetween(zone, worker.zone);
        scheduler.after(oneWayDelay, () -> {
            if (!worker.up()) {
                deliverFromWorker(worker, currentIncarnation, n -> n.probeEnded(address, Outcome.CONNECT_FAILED, null));
            } else if (worker.hung()) {
                scheduler.after(
                        PROBE_TIMEOUT_US - oneWayDelay,
                        () -> ifSameIncarnation(currentIncarnation, () -> probeEnded(address, Outcome.TIMEOUT, null)));
            } else {
                Report report = worker.report();
                deliverFromWorker(worker, currentIncarnation, n -> n.probeEnded(address, Outcome.OK, report));
            }
        });
    }

    private void probeEnded(String address, Outcome outcome, Report report) {
        decide(b -> b.report(scheduler.now(), new BalancerEvent.Probed(address, outcome, report)));
    }
}
