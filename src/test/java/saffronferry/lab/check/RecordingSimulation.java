package saffronferry.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import saffronferry.Balancer;
import saffronferry.BalancerEvent;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Settings;
import saffronferry.Contract.Tenant;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.fleet.WatchEnd;
import saffronferry.lab.scenario.Scenario;
import saffronferry.ops.Metrics;
import saffronferry.state.CallAttempt;
import saffronferry.state.Channel;
import saffronferry.state.Clock;
import saffronferry.state.ListUpdate;
import saffronferry.state.OutboundOperations;
import saffronferry.state.RpcCoordinator;
import saffronferry.state.RpcInfo;

/** Runs the product's request state and balancers in virtual time and records all their inputs and outputs. */
final class RecordingSimulation {
    private static final long START_TIME_US = 1_000_000_000;

    final Scenario scenario;
    private final StringBuilder output = new StringBuilder();
    /** Keyed by the time in the upper bits and a sequence number in the lower 20 bits. */
    private final TreeMap<Long, Runnable> events = new TreeMap<>();

    private final Map<Integer, TestDispatcher> dispatchers = new HashMap<>();
    private final Map<String, Double> requestWork = new HashMap<>();
    private final SplittableRandom random;
    private long now;
    private int sequence;

    RecordingSimulation(Scenario scenario, long seed) {
        this.scenario = scenario;
        random = new SplittableRandom(seed);
    }

    /** The recorded events, in the format that {@link History} reads. */
    String output() {
        return output.toString();
    }

    private void at(long time, Runnable action) {
        events.put(Math.max(time, now) << 20 | sequence++ & 0xFFFFF, action);
    }

    private void run(long until) {
        while (!events.isEmpty() && events.firstKey() >> 20 <= until) {
            Map.Entry<Long, Runnable> next = events.pollFirstEntry();
            now = next.getKey() >> 20;
            next.getValue().run();
        }
        now = until;
    }

    private void write(String format, Object... values) {
        output.append(String.format(Locale.ROOT, "%.6f ", now / 1e6))
                .append(String.format(Locale.ROOT, format, values))
                .append('\n');
    }

    private TestDispatcher dispatcher(int number) {
        return dispatchers.computeIfAbsent(number, TestDispatcher::new);
    }

    // ---- replay of a recorded history ----

    /** Replays the inputs of a history at their times; the outputs are those of the code under test. */
    void replay(History history) {
        for (History.Line l : history.lines) {
            switch (l.event()) {
                case "list" ->
                    at(
                            l.at(),
                            () -> dispatcher(l.whole(0)).receiveList(l.workers(scenario), "whole".equals(l.text(1))));
                case "request" ->
                    at(
                            l.at(),
                            () -> dispatcher(l.whole(0))
                                    .receiveRequest(l.text(1), l.text(2), l.micros(3), l.micros(4) / 1e6));
                case "worker" ->
                    at(
                            l.at(),
                            () -> dispatcher(l.whole(0))
                                    .finishAttempt(l.text(1), l.whole(2), l.oneOf(Outcome.class, l.text(3))));
                case "ban" -> at(l.at(), () -> dispatcher(l.whole(0)).ban(l.text(1), true));
                case "back" -> at(l.at(), () -> dispatcher(l.whole(0)).ban(l.text(1), false));
                case "gone" -> at(l.at(), () -> dispatcher(l.whole(0)).cancelRequest(l.text(1)));
                case "capacity" -> at(l.at(), () -> write("capacity %s %s", l.text(0), l.text(1)));
                default -> {}
            }
        }
        run(history.lines.get(history.lines.size() - 1).at());
        write("end");
    }

    // ---- random load ----

    private final Map<String, WorkerInfo> workers = new HashMap<>();
    private final Map<String, Long> coldSince = new HashMap<>();
    private static final long COLD_DURATION_US = 8_600_000;

    /** Simulates random clients, workers and discovery for some seconds, followed by a time without load. */
    void runRandomLoad(int dispatcherCount, int workerCount, double perSecond, int seconds) {
        for (int i = 0; i < workerCount; i++) {
            setWorker("w" + i, WorkerState.IN_SERVICE, 0);
        }
        for (int d = 0; d < dispatcherCount; d++) {
            dispatcher(d).receiveList(List.copyOf(workers.values()), true);
        }
        at(now, () -> clients(dispatcherCount, perSecond, seconds * 1_000_000L));
        for (int s = 1; s < seconds; s++) {
            at(s * 1_000_000L, () -> discovery(workerCount));
            at(s * 1_000_000L + 1, this::capacities);
            if (s % 3 == 0) {
                at(s * 1_000_000L + 2, () -> operators(dispatcherCount, workerCount));
            }
        }
        run(seconds * 1_000_000L + 40_000_000L);
        write("end");
    }

    /** Operators ban a worker at each dispatcher at different times, and lift the bans later. */
    private void operators(int dispatcherCount, int workerCount) {
        String worker = "w" + random.nextInt(workerCount);
        for (int d = 0; d < dispatcherCount; d++) {
            TestDispatcher dispatcher = dispatcher(d);
            long out = now + random.nextLong(300_000);
            at(out, () -> dispatcher.ban(worker, true));
            at(out + 500_000 + random.nextLong(3_000_000), () -> dispatcher.ban(worker, false));
        }
    }

    private WorkerInfo setWorker(String name, WorkerState state, long startedAt) {
        int n = Integer.parseInt(name.substring(1));
        int zone = n % scenario.zones().size();
        WorkerInfo w = new WorkerInfo(name, state, 0, zone, startedAt, zone * 100 + n / 4);
        workers.put(name, w);
        return w;
    }

    private void clients(int dispatcherCount, double perSecond, long until) {
        if (now < until) {
            int d = random.nextInt(dispatcherCount);
            Scenario.RpcClass c =
                    scenario.classes().get(random.nextInt(scenario.classes().size()));
            String rpc = Integer.toString(++sequence);
            long validFor = random.nextInt(10) == 0 ? 1 + random.nextLong(200_000) : c.deadline();
            dispatcher(d).receiveRequest(rpc, c.name(), validFor, c.work() / 1e6 * (0.3 + random.nextDouble()));
            if (random.nextInt(50) == 0) {
                at(now + random.nextLong(2_000_000), () -> dispatcher(d).cancelRequest(rpc));
            }
            at(
                    now + 1 + (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e6),
                    () -> clients(dispatcherCount, perSecond, until));
        }
    }

    /** A worker drains, disappears, or returns cold; dispatchers learn of it after a delay, in order. */
    private void discovery(int workerCount) {
        String name = "w" + random.nextInt(workerCount);
        WorkerInfo old = workers.get(name);
        WorkerInfo next = switch (old.state()) {
            case IN_SERVICE -> setWorker(name, random.nextInt(3) == 0 ? WorkerState.GONE : WorkerState.DRAINING, 0);
            case DRAINING -> setWorker(name, WorkerState.GONE, 0);
            case GONE -> {
                coldSince.put(name, now);
                yield setWorker(name, WorkerState.IN_SERVICE, START_TIME_US + now);
            }
        };
        if (next.state() != WorkerState.DRAINING) {
            dispatchers.values().forEach(d -> d.resetConnections(name));
        }
        long delay = random.nextLong(900_000);
        boolean whole = random.nextInt(6) == 0;
        List<WorkerInfo> list = whole
                ? workers.values().stream()
                        .filter(w -> w.state() != WorkerState.GONE)
                        .toList()
                : List.of(next);
        dispatchers.values().forEach(d -> at(now + delay, () -> d.receiveList(list, whole)));
    }

    private double capacity(String worker) {
        long since = now - coldSince.getOrDefault(worker, Long.MIN_VALUE / 2);
        return since < COLD_DURATION_US ? 4 * (0.33 + 0.67 * since / COLD_DURATION_US) : 0;
    }

    private void capacities() {
        coldSince.keySet().forEach(w -> write("capacity %s %.3f", w, capacity(w)));
    }

    /** Schedules the outcome of an attempt at a worker. */
    private void simulateAttempt(TestDispatcher dispatcher, String rpc, int number, String worker, double jobs) {
        if (workers.get(worker).state() == WorkerState.GONE) {
            at(now + 1_000, () -> dispatcher.finishAttempt(rpc, number, Outcome.CONNECT_FAILED));
            return;
        }
        int percentile = random.nextInt(100);
        Outcome outcome = workers.get(worker).state() == WorkerState.DRAINING || percentile < 8
                ? Outcome.FULL
                : percentile < 12 ? Outcome.ERROR : percentile < 15 ? Outcome.RESET : Outcome.OK;
        if (percentile < 97) { // the other attempts never end
            at(
                    now + 500 + (outcome == Outcome.FULL ? 0 : (long) (jobs * 1e6)),
                    () -> dispatcher.finishAttempt(rpc, number, outcome));
        }
    }

    /** A dispatcher: the product's classes with simulated ports. */
    private final class TestDispatcher implements OutboundOperations<String> {
        private final int number;
        private final RpcCoordinator<String> ledger;
        private final Map<Long, Long> timers = new HashMap<>();
        private final Map<String, Long> ids = new HashMap<>();
        private final Map<String, List<CallAttempt>> attempts = new HashMap<>();
        private final Map<CallAttempt, String> attemptAddresses = new HashMap<>();
        private long revision;
        private long lastTimer;

        TestDispatcher(int number) {
            this.number = number;
            List<JobClass> classes = scenario.classes().stream()
                    .map(c -> new JobClass(
                            c.name(),
                            c.aim(),
                            c.stretch(),
                            c.deadline(),
                            c.worth(),
                            c.lateWorth(),
                            c.effect(),
                            c.group(),
                            c.keyTtl(),
                            -1))
                    .toList();
            Scenario.Rules r = scenario.rules();
            ledger = new RpcCoordinator<>(
                    new Balancer(new Settings(
                            random.nextLong(),
                            number,
                            scenario.dispatchers(),
                            number % scenario.zones().size(),
                            scenario.zones().size(),
                            1,
                            classes,
                            List.of(new Tenant("all", 0)),
                            r.maxAttempts(),
                            true,
                            true,
                            true,
                            true,
                            true,
                            true,
                            true,
                            0,
                            COLD_DURATION_US,
                            0.33,
                            r.coldOverloadMultiple(),
                            r.maxRetryAfter(),
                            0.008,
                            0.01,
                            40_000_000)),
                    new Clock() {
                        @Override
                        public long now() {
                            return START_TIME_US + now;
                        }
                    },
                    this,
                    new Metrics(classes.stream().map(JobClass::name).toList()));
        }

        void ban(String worker, boolean out) {
            write((out ? "ban" : "back") + " %d %s", number, worker);
            ledger.setBans(out ? ledger.bans().with(worker) : ledger.bans().without(worker));
        }

        void receiveList(List<WorkerInfo> entries, boolean whole) {
            StringBuilder text = new StringBuilder();
            entries.stream()
                    .sorted((a, b) -> a.address().compareTo(b.address()))
                    .forEach(w -> text.append(' ')
                            .append(w.address())
                            .append('=')
                            .append(w.state())
                            .append('@')
                            .append(scenario.zones().get(w.zone()))
                            .append('/')
                            .append(w.cell())
                            .append(w.startedAt() > 0 ? "+" + w.startedAt() / 1e6 : ""));
            write("list %d %s%s", number, whole ? "whole" : "changes", text);
            ledger.onListUpdate(
                    new ListUpdate(
                            ++revision,
                            whole,
                            entries.stream()
                                    .map(w -> new ListUpdate.Entry(w, w.address()))
                                    .toList()),
                    revision == 1);
        }

        void receiveRequest(String rpc, String rpcClass, long validFor, double jobs) {
            write("request %d %s %s %.6f %.6f", number, rpc, rpcClass, validFor / 1e6, jobs);
            requestWork.put(number + "/" + rpc, jobs);
            int c = scenario.classes().stream()
                    .map(Scenario.RpcClass::name)
                    .toList()
                    .indexOf(rpcClass);
            ids.put(rpc, ledger.open(new RpcInfo(rpc, c, 0, validFor, 1, false), rpc, new Channel() {
                @Override
                public void served(String result) {
                    write("answer %d %s served", number, rpc);
                }

                @Override
                public void refused(long retryAfter) {
                    write("answer %d %s refused", number, rpc);
                }

                @Override
                public void failed() {
                    write("answer %d %s failed", number, rpc);
                }
            }));
        }

        void cancelRequest(String rpc) {
            write("gone %d %s", number, rpc);
            ledger.clientDisconnected(ids.getOrDefault(rpc, 0L));
        }

        /** Reports the outcome of an attempt, unless it was never made or has already ended. */
        void finishAttempt(String rpc, int attempt, Outcome outcome) {
            List<CallAttempt> all = attempts.getOrDefault(rpc, List.of());
            if (attempt < all.size() && !all.get(attempt).isEnded()) {
                write("worker %d %s %d %s", number, rpc, attempt, outcome);
                if (outcome == Outcome.OK) {
                    all.get(attempt).served("done", null);
                } else {
                    all.get(attempt).ended(outcome, null);
                }
            }
        }

        /** A worker's process ended, which resets its connections. */
        void resetConnections(String worker) {
            attempts.forEach((rpc, all) -> all.stream()
                    .filter(a -> !a.isEnded() && worker.equals(attemptAddresses.get(a)))
                    .forEach(a -> at(now + 1, () -> finishAttempt(rpc, all.indexOf(a), Outcome.RESET))));
        }

        @Override
        public Runnable startAttempt(String rpc, String address, long remaining, CallAttempt attempt) {
            write("reaches %d %s %s", number, rpc, address);
            attempt.sendStarted();
            List<CallAttempt> all = attempts.computeIfAbsent(rpc, x -> new ArrayList<>());
            all.add(attempt);
            attemptAddresses.put(attempt, address);
            int attemptNumber = all.size() - 1;
            if (!workers.isEmpty()) {
                simulateAttempt(this, rpc, attemptNumber, address, requestWork.get(number + "/" + rpc));
            }
            return () -> {};
        }

        @Override
        public void probeLoad(String worker, String address) {
            at(
                    now + 1_000,
                    () -> ledger.report(new BalancerEvent.Probed(
                            worker, Outcome.OK, new Report(Double.NaN, 0, 1 + random.nextInt(4)))));
        }

        @Override
        public void sendToPeer(int peer, byte[] bytes) {
            if (random.nextInt(20) > 0) {
                at(now + 1_000 + random.nextLong(30_000), () -> {
                    if (dispatchers.containsKey(peer)) {
                        dispatchers.get(peer).ledger.report(new BalancerEvent.PeerMessageReceived(number, bytes));
                    }
                });
            }
        }

        @Override
        public void watchList(long from) {
            if (random.nextInt(4) == 0) {
                at(now + 300_000, () -> ledger.report(new BalancerEvent.WatchLost(WatchEnd.ENDED)));
            }
        }

        @Override
        public long schedule(long delay, Runnable action) {
            long id = ++lastTimer;
            long key = now + Math.max(1, delay) << 20 | sequence++ & 0xFFFFF;
            timers.put(id, key);
            events.put(key, action);
            return id;
        }

        @Override
        public void cancelTimer(long timer) {
            events.remove(timers.remove(timer));
        }

        @Override
        public void log(String line) {
            throw new AssertionError(line);
        }
    }
}
