package saffronferry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saffronferry.Contract.Effect;
import saffronferry.Contract.Group;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.Contract.Settings;
import saffronferry.Contract.Tenant;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;

/** Drives one module through the contract with a hand-set clock, and records what it does. */
final class Rig implements Contract.Actions {
    static final long MS = 1_000;
    static final long S = 1_000_000;

    record Send(long id, int attempt, String worker, long at) {}

    final List<Send> sends = new ArrayList<>();
    final Map<Long, String> finals = new HashMap<>();
    final Map<Long, Long> retryAfters = new HashMap<>();
    final List<String> trace = new ArrayList<>();
    final List<byte[]> told = new ArrayList<>();
    final List<Integer> toldTo = new ArrayList<>();
    final TreeMap<Long, List<Long>> timers = new TreeMap<>();
    private final Map<Long, Integer> tries = new HashMap<>();
    final Dispatcher module;
    long now = 10 * S;
    int subscriptions;

    Rig(Settings settings) {
        module = new Dispatcher(settings, this);
    }

    /** Settings to vary: one zone unless said otherwise, two kinds, no tenants. */
    static final class Plan {
        long seed = 1;
        int self;
        int peers = 1;
        int zone;
        int zones = 1;
        List<JobClass> classes = List.of(jobClass(Effect.KEYED, Group.ALL));
        List<Tenant> tenants = List.of();
        int maxAttempts = 3;
        boolean parallel = true;
        boolean onDemand;
        boolean tellsStart;
        long maxRetryAfter;
        double peerPrice = 0.01;

        Settings settings() {
            return new Settings(
                    seed,
                    self,
                    peers,
                    zone,
                    zones,
                    2,
                    classes,
                    tenants,
                    maxAttempts,
                    parallel,
                    true,
                    true,
                    true,
                    true,
                    onDemand,
                    tellsStart,
                    0,
                    10 * S,
                    0.2,
                    3,
                    maxRetryAfter,
                    peerPrice,
                    0.002,
                    40_000_000);
        }
    }

    static JobClass jobClass(Effect effect, Group group) {
        return new JobClass("c", 300 * MS, 2, 5 * S, 1, 0.2, effect, group, 7 * S, -1);
    }

    static WorkerInfo worker(String address, int zone, WorkerState state, long startedAt) {
        return new WorkerInfo(address, state, 0, zone, startedAt, zone);
    }

    static WorkerInfo worker(String address) {
        return worker(address, 0, WorkerState.IN_SERVICE, 0);
    }

    Rig list(WorkerInfo... workers) {
        module.workers(now, ListKind.WHOLE, List.of(workers));
        return this;
    }

    void change(WorkerInfo... workers) {
        module.workers(now, ListKind.CHANGES, List.of(workers));
    }

    void ask(long id) {
        ask(id, 0, -1, 5 * S, false);
    }

    void ask(long id, int jobClass, int tenant, long within, boolean repeat) {
        module.request(now, new Request(id, jobClass, tenant, now + within, 1, repeat));
    }

    void answer(long id, int attempt, Outcome outcome) {
        Send s = sends.stream()
                .filter(x -> x.id == id && x.attempt == attempt)
                .findFirst()
                .orElseThrow();
        boolean over = outcome == Outcome.OK;
        if (over) {
            finals.put(id, "served");
        }
        module.attemptEnded(now, id, attempt, outcome, now - s.at, over, null);
    }

    /** Tells the module of a worker's load: free slots and nothing waiting. */
    void report(String worker, int freeSlots) {
        module.probed(now, worker, Outcome.OK, new Report(Double.NaN, 0, freeSlots));
    }

    /** Lets the clock run and delivers timers on the way. */
    void run(long span) {
        long end = now + span;
        while (!timers.isEmpty() && timers.firstKey() <= end) {
            Map.Entry<Long, List<Long>> next = timers.pollFirstEntry();
            now = Math.max(now, next.getKey());
            for (long token : next.getValue()) {
                module.timer(now, token);
            }
        }
        now = end;
    }

    long sentTo(String worker) {
        return sends.stream().filter(s -> s.worker.equals(worker)).count();
    }

    String workerOf(long id) {
        return sends.stream()
                .filter(s -> s.id == id)
                .reduce((a, b) -> b)
                .map(Send::worker)
                .orElse(null);
    }

    private void note(String action) {
        trace.add(now + " " + action);
    }

    @Override
    public void send(long id, String worker) {
        int attempt = tries.merge(id, 1, Integer::sum) - 1;
        sends.add(new Send(id, attempt, worker, now));
        note("send " + id + " " + worker);
    }

    @Override
    public void cancel(long id, int attempt) {
        note("cancel " + id + " " + attempt);
    }

    @Override
    public void refuse(long id, long retryAfter) {
        retryAfters.put(id, retryAfter);
        finish(id, "refused");
    }

    @Override
    public void fail(long id) {
        finish(id, "failed");
    }

    private void finish(long id, String how) {
        String before = finals.put(id, how);
        if (before != null) {
            throw new AssertionError("request " + id + " ended twice: " + before + ", " + how);
        }
        note("log " + how + " " + id);
    }

    @Override
    public void timer(long token, long delay) {
        timers.computeIfAbsent(now + Math.max(1, delay), k -> new ArrayList<>()).add(token);
    }

    @Override
    public void probe(String worker) {
        note("probe " + worker);
    }

    @Override
    public void tell(int peer, byte[] bytes) {
        toldTo.add(peer);
        told.add(bytes);
        note("tell " + peer + " " + java.util.Arrays.hashCode(bytes));
    }

    @Override
    public void subscribe() {
        subscriptions++;
    }
}
