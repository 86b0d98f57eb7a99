package saffronferry.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import saffronferry.Balancer;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Settings;
import saffronferry.Contract.Tenant;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.News;
import saffronferry.fleet.WatchEnd;
import saffronferry.lab.scenario.Scenario;
import saffronferry.ops.Figures;
import saffronferry.state.CallAttempt;
import saffronferry.state.Channel;
import saffronferry.state.Clock;
import saffronferry.state.Ledger;
import saffronferry.state.ListUpdate;
import saffronferry.state.Ports;
import saffronferry.state.RpcInfo;

/** The program's own ledgers and balancers in virtual time; writes down what crosses their wires. */
final class Stage {
    private static final long START = 1_000_000_000;

    final Scenario scenario;
    private final StringBuilder written = new StringBuilder();
    private final TreeMap<Long, Runnable> queue = new TreeMap<>(); // time in the upper bits, then order
    private final Map<Integer, Front> fronts = new HashMap<>();
    private final Map<String, Double> work = new HashMap<>();
    private final SplittableRandom dice;
    private long now;
    private int order;

    Stage(Scenario scenario, long seed) {
        this.scenario = scenario;
        dice = new SplittableRandom(seed);
    }

    /** What has crossed the wires, in the form that {@link History} reads. */
    String written() {
        return written.toString();
    }

    private void at(long time, Runnable what) {
        queue.put(Math.max(time, now) << 20 | order++ & 0xFFFFF, what);
    }

    private void run(long until) {
        while (!queue.isEmpty() && queue.firstKey() >> 20 <= until) {
            Map.Entry<Long, Runnable> next = queue.pollFirstEntry();
            now = next.getKey() >> 20;
            next.getValue().run();
        }
        now = until;
    }

    private void write(String format, Object... values) {
        written.append(String.format(Locale.ROOT, "%.6f ", now / 1e6))
                .append(String.format(Locale.ROOT, format, values))
                .append('\n');
    }

    private Front front(int number) {
        return fronts.computeIfAbsent(number, Front::new);
    }

    // ---- a recorded history's clients, workers and discovery, played to the real code ----

    /** Plays what came in, at its times; what goes out is the real code's. */
    void replay(History h) {
        for (History.Line l : h.lines) {
            switch (l.what()) {
                case "list" -> at(l.at(), () -> front(l.whole(0)).told(l.workers(scenario), "whole".equals(l.text(1))));
                case "request" ->
                    at(l.at(), () -> front(l.whole(0)).asked(l.text(1), l.text(2), l.micros(3), l.micros(4) / 1e6));
                case "worker" ->
                    at(
                            l.at(),
                            () -> front(l.whole(0)).answered(l.text(1), l.whole(2), l.oneOf(Outcome.class, l.text(3))));
                case "ban" -> at(l.at(), () -> front(l.whole(0)).ban(l.text(1), true));
                case "back" -> at(l.at(), () -> front(l.whole(0)).ban(l.text(1), false));
                case "gone" -> at(l.at(), () -> front(l.whole(0)).left(l.text(1)));
                case "capacity" -> at(l.at(), () -> write("capacity %s %s", l.text(0), l.text(1)));
                default -> {}
            }
        }
        run(h.lines.get(h.lines.size() - 1).at());
        write("end");
    }

    // ---- a seeded day ----

    private final Map<String, WorkerInfo> fleet = new HashMap<>();
    private final Map<String, Long> coldSince = new HashMap<>();
    private static final long COLD = 8_600_000;

    /** Clients, workers and discovery by the seed's dice, for so many seconds and a quiet end. */
    void day(int dispatchers, int workers, double perSecond, int seconds) {
        for (int i = 0; i < workers; i++) {
            put("w" + i, WorkerState.IN_SERVICE, 0);
        }
        for (int d = 0; d < dispatchers; d++) {
            front(d).told(List.copyOf(fleet.values()), true);
        }
        at(now, () -> clients(dispatchers, perSecond, seconds * 1_000_000L));
        for (int s = 1; s < seconds; s++) {
            at(s * 1_000_000L, () -> discovery(workers));
            at(s * 1_000_000L + 1, this::capacities);
            if (s % 3 == 0) {
                at(s * 1_000_000L + 2, () -> operators(dispatchers, workers));
            }
        }
        run(seconds * 1_000_000L + 40_000_000L);
        write("end");
    }

    /** They take a worker out at each dispatcher, by hand and so not at once, and put it back later. */
    private void operators(int dispatchers, int workers) {
        String worker = "w" + dice.nextInt(workers);
        for (int d = 0; d < dispatchers; d++) {
            Front front = front(d);
            long out = now + dice.nextLong(300_000);
            at(out, () -> front.ban(worker, true));
            at(out + 500_000 + dice.nextLong(3_000_000), () -> front.ban(worker, false));
        }
    }

    private WorkerInfo put(String name, WorkerState state, long startedAt) {
        int n = Integer.parseInt(name.substring(1));
        int zone = n % scenario.zones().size();
        WorkerInfo w = new WorkerInfo(name, state, 0, zone, startedAt, zone * 100 + n / 4);
        fleet.put(name, w);
        return w;
    }

    private void clients(int dispatchers, double perSecond, long until) {
        if (now < until) {
            int d = dice.nextInt(dispatchers);
            Scenario.RpcClass c =
                    scenario.classes().get(dice.nextInt(scenario.classes().size()));
            String rpc = Integer.toString(++order);
            long valid = dice.nextInt(10) == 0 ? 1 + dice.nextLong(200_000) : c.deadline();
            front(d).asked(rpc, c.name(), valid, c.work() / 1e6 * (0.3 + dice.nextDouble()));
            if (dice.nextInt(50) == 0) {
                at(now + dice.nextLong(2_000_000), () -> front(d).left(rpc));
            }
            at(
                    now + 1 + (long) (-Math.log(1 - dice.nextDouble()) / perSecond * 1e6),
                    () -> clients(dispatchers, perSecond, until));
        }
    }

    /** A worker drains, goes, or comes back cold; each dispatcher hears of it late, in order. */
    private void discovery(int workers) {
        String name = "w" + dice.nextInt(workers);
        WorkerInfo old = fleet.get(name);
        WorkerInfo next = switch (old.state()) {
            case IN_SERVICE -> put(name, dice.nextInt(3) == 0 ? WorkerState.GONE : WorkerState.DRAINING, 0);
            case DRAINING -> put(name, WorkerState.GONE, 0);
            case GONE -> {
                coldSince.put(name, now);
                yield put(name, WorkerState.IN_SERVICE, START + now);
            }
        };
        if (next.state() != WorkerState.DRAINING) {
            fronts.values().forEach(f -> f.breaks(name));
        }
        long late = dice.nextLong(900_000);
        boolean whole = dice.nextInt(6) == 0;
        List<WorkerInfo> list = whole
                ? fleet.values().stream()
                        .filter(w -> w.state() != WorkerState.GONE)
                        .toList()
                : List.of(next);
        fronts.values().forEach(f -> at(now + late, () -> f.told(list, whole)));
    }

    private double capacity(String worker) {
        long since = now - coldSince.getOrDefault(worker, Long.MIN_VALUE / 2);
        return since < COLD ? 4 * (0.33 + 0.67 * since / COLD) : 0;
    }

    private void capacities() {
        coldSince.keySet().forEach(w -> write("capacity %s %.3f", w, capacity(w)));
    }

    /** What a worker makes of an attempt, and when. */
    private void work(Front f, String rpc, int number, String worker, double jobs) {
        if (fleet.get(worker).state() == WorkerState.GONE) {
            at(now + 1_000, () -> f.answered(rpc, number, Outcome.CONNECT_FAILED));
            return;
        }
        int x = dice.nextInt(100);
        Outcome outcome = fleet.get(worker).state() == WorkerState.DRAINING || x < 8
                ? Outcome.FULL
                : x < 12 ? Outcome.ERROR : x < 15 ? Outcome.RESET : Outcome.OK;
        if (x < 97) { // the others hang
            at(now + 500 + (outcome == Outcome.FULL ? 0 : (long) (jobs * 1e6)), () -> f.answered(rpc, number, outcome));
        }
    }

    /** One dispatcher: the real ledger and balancer behind ports of ours. */
    private final class Front implements Ports<String> {
        private final int number;
        private final Ledger<String> ledger;
        private final Map<Long, Long> timers = new HashMap<>();
        private final Map<String, Long> ids = new HashMap<>();
        private final Map<String, List<CallAttempt>> attempts = new HashMap<>();
        private final Map<CallAttempt, String> places = new HashMap<>();
        private long revision;
        private long lastTimer;

        Front(int number) {
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
            ledger = new Ledger<>(
                    new Balancer(new Settings(
                            dice.nextLong(),
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
                            COLD,
                            0.33,
                            r.coldOverloadMultiple(),
                            r.maxRetryAfter(),
                            0.008,
                            0.01,
                            40_000_000)),
                    new Clock() {
                        @Override
                        public long now() {
                            return START + now;
                        }
                    },
                    this,
                    new Figures(classes.stream().map(JobClass::name).toList()));
        }

        void ban(String worker, boolean out) {
            write((out ? "ban" : "back") + " %d %s", number, worker);
            ledger.ban(out ? ledger.bans().with(worker) : ledger.bans().without(worker));
        }

        void told(List<WorkerInfo> entries, boolean whole) {
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
            ledger.resolved(
                    new ListUpdate(
                            ++revision,
                            whole,
                            entries.stream()
                                    .map(w -> new ListUpdate.Entry(w, w.address()))
                                    .toList()),
                    revision == 1);
        }

        void asked(String rpc, String rpcClass, long valid, double jobs) {
            write("request %d %s %s %.6f %.6f", number, rpc, rpcClass, valid / 1e6, jobs);
            work.put(number + "/" + rpc, jobs);
            int c = scenario.classes().stream()
                    .map(Scenario.RpcClass::name)
                    .toList()
                    .indexOf(rpcClass);
            ids.put(rpc, ledger.open(new RpcInfo(rpc, c, 0, valid, 1, false), rpc, new Channel() {
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

        void left(String rpc) {
            write("gone %d %s", number, rpc);
            ledger.clientGone(ids.getOrDefault(rpc, 0L));
        }

        /** A worker's word; none where the real code made no such attempt, or gave it up. */
        void answered(String rpc, int attempt, Outcome outcome) {
            List<CallAttempt> all = attempts.getOrDefault(rpc, List.of());
            if (attempt < all.size() && !all.get(attempt).over()) {
                write("worker %d %s %d %s", number, rpc, attempt, outcome);
                if (outcome == Outcome.OK) {
                    all.get(attempt).served("done", null);
                } else {
                    all.get(attempt).ended(outcome, null);
                }
            }
        }

        /** A worker's process ended. */
        void breaks(String worker) {
            attempts.forEach((rpc, all) -> all.stream()
                    .filter(a -> !a.over() && worker.equals(places.get(a)))
                    .forEach(a -> at(now + 1, () -> answered(rpc, all.indexOf(a), Outcome.RESET))));
        }

        @Override
        public Runnable start(String rpc, String address, long remaining, CallAttempt attempt) {
            write("reaches %d %s %s", number, rpc, address);
            attempt.begun();
            List<CallAttempt> all = attempts.computeIfAbsent(rpc, x -> new ArrayList<>());
            all.add(attempt);
            places.put(attempt, address);
            int mine = all.size() - 1;
            if (!fleet.isEmpty()) {
                work(this, rpc, mine, address, work.get(number + "/" + rpc));
            }
            return () -> {};
        }

        @Override
        public void probe(String worker, String address) {
            at(
                    now + 1_000,
                    () -> ledger.report(
                            new News.Probed(worker, Outcome.OK, new Report(Double.NaN, 0, 1 + dice.nextInt(4)))));
        }

        @Override
        public void tell(int peer, byte[] bytes) {
            if (dice.nextInt(20) > 0) {
                at(now + 1_000 + dice.nextLong(30_000), () -> {
                    if (fronts.containsKey(peer)) {
                        fronts.get(peer).ledger.report(new News.PeerSaid(number, bytes));
                    }
                });
            }
        }

        @Override
        public void watch(long from) {
            if (dice.nextInt(4) == 0) {
                at(now + 300_000, () -> ledger.report(new News.WatchLost(WatchEnd.ENDED)));
            }
        }

        @Override
        public long wake(long delay, Runnable what) {
            long id = ++lastTimer;
            long key = now + Math.max(1, delay) << 20 | order++ & 0xFFFFF;
            timers.put(id, key);
            queue.put(key, what);
            return id;
        }

        @Override
        public void unwake(long timer) {
            queue.remove(timers.remove(timer));
        }

        @Override
        public void log(String line) {
            throw new AssertionError(line);
        }
    }
}
