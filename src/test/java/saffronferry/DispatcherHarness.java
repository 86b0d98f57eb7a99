package saffronferry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.Idempotency;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.Contract.Settings;
import saffronferry.Contract.Tenant;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;

/** Drives one {@link Dispatcher} through the contract with a simulated clock, and records its actions. */
final class DispatcherHarness implements Contract.Actions {
    /** A millisecond, in microseconds. */
    static final long MS = 1_000;
    /** A second, in microseconds. */
    static final long S = 1_000_000;

    record Send(long id, int attempt, String worker, long at) {}

    final List<Send> sends = new ArrayList<>();
    final Map<Long, String> finals = new HashMap<>();
    final Map<Long, Long> retryAfters = new HashMap<>();
    final List<String> trace = new ArrayList<>();
    final List<byte[]> sentMessages = new ArrayList<>();
    final List<Integer> messageReceivers = new ArrayList<>();
    final TreeMap<Long, List<Long>> timers = new TreeMap<>();
    private final Map<Long, Integer> attemptCounts = new HashMap<>();
    final Dispatcher dispatcher;
    long now = 10 * S;
    int subscriptions;

    DispatcherHarness(Settings settings) {
        dispatcher = new Dispatcher(settings, this);
    }

    /** The settings that tests vary; by default one zone, two kinds and no tenants. */
    static final class Options {
        long seed = 1;
        int self;
        int peers = 1;
        int zone;
        int zones = 1;
        List<JobClass> classes = List.of(jobClass(Idempotency.KEYED, DedupScope.ALL));
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

    static JobClass jobClass(Idempotency effect, DedupScope group) {
        return new JobClass("c", 300 * MS, 2, 5 * S, 1, 0.2, effect, group, 7 * S, -1);
    }

    static WorkerInfo worker(String address, int zone, WorkerState state, long startedAt) {
        return new WorkerInfo(address, state, 0, zone, startedAt, zone);
    }

    static WorkerInfo worker(String address) {
        return worker(address, 0, WorkerState.IN_SERVICE, 0);
    }

    DispatcherHarness list(WorkerInfo... workers) {
        dispatcher.workerList(now, ListKind.WHOLE, List.of(workers));
        return this;
    }

    void change(WorkerInfo... workers) {
        dispatcher.workerList(now, ListKind.CHANGES, List.of(workers));
    }

    void request(long id) {
        request(id, 0, -1, 5 * S, false);
    }

    void request(long id, int jobClass, int tenant, long within, boolean repeat) {
        dispatcher.request(now, new Request(id, jobClass, tenant, now + within, 1, repeat));
    }

    void endAttempt(long id, int attempt, Outcome outcome) {
        Send send = sends.stream()
                .filter(x -> x.id == id && x.attempt == attempt)
                .findFirst()
                .orElseThrow();
        boolean answered = outcome == Outcome.OK;
        if (answered) {
            finals.put(id, "served");
        }
        dispatcher.attemptEnded(now, id, attempt, outcome, now - send.at, answered, null);
    }

    /** Reports a worker's load: free slots, and no request waiting. */
    void report(String worker, int freeSlots) {
        dispatcher.probeEnded(now, worker, Outcome.OK, new Report(Double.NaN, 0, freeSlots));
    }

    /** Advances the clock and fires the timers that are due on the way. */
    void advance(long span) {
        long end = now + span;
        while (!timers.isEmpty() && timers.firstKey() <= end) {
            Map.Entry<Long, List<Long>> next = timers.pollFirstEntry();
            now = Math.max(now, next.getKey());
            for (long token : next.getValue()) {
                dispatcher.timerFired(now, token);
            }
        }
        now = end;
    }

    /** Number of attempts sent to a worker. */
    long sendCount(String worker) {
        return sends.stream().filter(send -> send.worker.equals(worker)).count();
    }

    /** The worker of a request's last attempt, or null. */
    String lastWorkerOf(long id) {
        return sends.stream()
                .filter(send -> send.id == id)
                .reduce((first, second) -> second)
                .map(Send::worker)
                .orElse(null);
    }

    private void appendTrace(String action) {
        trace.add(now + " " + action);
    }

    @Override
    public void startAttempt(long id, String worker) {
        int attempt = attemptCounts.merge(id, 1, Integer::sum) - 1;
        sends.add(new Send(id, attempt, worker, now));
        appendTrace("send " + id + " " + worker);
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        appendTrace("cancel " + id + " " + attempt);
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

    private void finish(long id, String result) {
        String before = finals.put(id, result);
        if (before != null) {
            throw new AssertionError("request " + id + " ended twice: " + before + ", " + result);
        }
        appendTrace("log " + result + " " + id);
    }

    @Override
    public void startTimer(long token, long delay) {
        timers.computeIfAbsent(now + Math.max(1, delay), k -> new ArrayList<>()).add(token);
    }

    @Override
    public void probe(String worker) {
        appendTrace("probe " + worker);
    }

    @Override
    public void sendToPeer(int peer, byte[] bytes) {
        messageReceivers.add(peer);
        sentMessages.add(bytes);
        appendTrace("tell " + peer + " " + Arrays.hashCode(bytes));
    }

    @Override
    public void subscribe() {
        subscriptions++;
    }
}
