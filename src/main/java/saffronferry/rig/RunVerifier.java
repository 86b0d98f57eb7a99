package saffronferry.rig;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.json.JSONArray;
import org.json.JSONObject;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.WorkerState;
import saffronferry.lab.check.RuleChecker;
import saffronferry.lab.scenario.Scenario;

/**
 * Checks a run against the scenario's rules and bounds, using only what clients, workers and discovery observe
 * and no internal state of the dispatchers. Times are microseconds of the clock passed in.
 */
final class RunVerifier implements StandInWorker.JobListener, StandInDiscovery.UpdateListener {
    /** A request without an active attempt for this long counts as waiting; before that it is in transit. */
    private static final long WAITING_AFTER_US = 100_000;
    /** Minimum slack of all time bounds: many processes on one machine delay each other. */
    private static final long MACHINE_SLACK_US = 400_000;

    /** One request as its client and the workers observe it. */
    static final class Request {
        final String txn;
        final int rpcClass;
        final double work;
        final int dispatcher;
        final RuleChecker.Id id;
        final long createdAt;
        final List<StandInWorker> attempts = new ArrayList<>();
        int activeAttempts;
        long unassignedSince;
        boolean completed;
        /** The dispatcher was paused meanwhile, so the timing rules do not apply to the answer. */
        boolean excludedFromTiming;

        /** The dispatcher process has ended, so later attempts of this request are not checked. */
        boolean dispatcherKilled;

        Request(String txn, int rpcClass, double work, int dispatcher, RuleChecker.Id id, long createdAt) {
            this.txn = txn;
            this.rpcClass = rpcClass;
            this.work = work;
            this.dispatcher = dispatcher;
            this.id = id;
            this.createdAt = createdAt;
            unassignedSince = createdAt;
        }
    }

    /** How a request ended for its client. The names are written to results. */
    enum ClientOutcome {
        SERVED,
        REFUSED,
        FAILED,
        UNREACHABLE,
        DIED_WITH_IT,
        NO_ANSWER
    }

    private record Arrival(long at, double work) {}

    /** The work that reached a cold worker, and the work that it did. */
    private static final class ColdWorkerStats {
        final Deque<Arrival> window = new ArrayDeque<>();
        double maxMultiple;
        boolean crashed;
        double[] lastProgress = new double[2];
        double[] totalProgress = new double[2];
        double[] progressWhileWaiting = new double[2];
    }

    /** Called when work beyond the limit of a cold worker crashes it. */
    interface OverloadCrashListener {
        void onOverloadCrash(StandInWorker worker);
    }

    private final Scenario scenario;
    private final RuleChecker checker;
    private final Map<String, Request> openRequests = new HashMap<>();
    private final Set<String> endedRequests = new HashSet<>();
    private final Map<StandInWorker, ColdWorkerStats> coldWorkers = new LinkedHashMap<>();
    private final Map<Integer, Set<String>> announcedStarts = new HashMap<>();
    private final List<int[]> countsBySecond = new ArrayList<>();
    private final int[] outcomeCounts = new int[ClientOutcome.values().length];
    private final Map<String, StandInWorker> workers;
    private final LongSupplier clock;
    private OverloadCrashListener overloadListener = w -> {};
    private long start;
    private long lastRefusalAt = Long.MIN_VALUE / 2;
    private int requestCount;
    private int attemptCount;
    private int concurrentAttempts;
    private double worthRequested;
    private double worthServed;
    private int servedInTime;
    /** Jobs with an id that no client has sent. */
    private int inventedJobs;

    RunVerifier(Scenario scenario, Map<String, StandInWorker> workers, LongSupplier clock) {
        Scenario.Rules r = scenario.rules();
        this.scenario = scenario;
        this.workers = workers;
        this.clock = clock;
        checker = new RuleChecker(scenario.with(new Scenario.Rules(
                Math.max(r.slack(), MACHINE_SLACK_US),
                r.drain() + MACHINE_SLACK_US,
                r.coldOverloadMultiple(),
                r.coldWindow(),
                r.maxAttempts(),
                r.maxRetryAfter())));
    }

    /** Starts the observation of the load. */
    void begin(long at, OverloadCrashListener listener) {
        start = at;
        overloadListener = listener;
    }

    int openRequestCount() {
        return openRequests.size();
    }

    // ---- clients ----

    /** A client is about to send; the dispatcher is responsible from {@link #recordSent} on. */
    Request openRequest(long now, String txn, int rpcClass, double work, int dispatcher, int generation) {
        Request r = new Request(
                txn, rpcClass, work, dispatcher, new RuleChecker.Id(dispatcher, generation, requestCount), now);
        openRequests.put(txn, r);
        requestCount++;
        worthRequested += scenario.classes().get(rpcClass).worth();
        countsAt(now)[0]++;
        return r;
    }

    /** The request is written; {@code paused}: the dispatcher process is stopped by SIGSTOP. */
    void recordSent(long now, Request r, boolean paused) {
        r.excludedFromTiming = paused;
        checker.requestAccepted(
                now, r.id, r.rpcClass, now + scenario.classes().get(r.rpcClass).deadline());
    }

    /** Counts of requests sent, served and refused or failed in the second of a time. */
    private int[] countsAt(long at) {
        int second = (int) Math.max(0, (at - start) / 1_000_000);
        while (countsBySecond.size() <= second) {
            countsBySecond.add(new int[3]);
        }
        return countsBySecond.get(second);
    }

    /** The client has received its answer, or has given up. */
    void recordOutcome(long now, Request r, ClientOutcome outcome) {
        if (r.completed) {
            return;
        }
        r.completed = true;
        openRequests.remove(r.txn);
        endedRequests.add(r.txn);
        outcomeCounts[outcome.ordinal()]++;
        Scenario.RpcClass spec = scenario.classes().get(r.rpcClass);
        if (outcome == ClientOutcome.SERVED) {
            double latencyGoal = Math.min(spec.deadline(), spec.aim() + spec.stretch() * r.work);
            boolean inTime = now - r.createdAt <= latencyGoal;
            servedInTime += inTime ? 1 : 0;
            worthServed += spec.worth() * (inTime ? 1 : spec.lateWorth());
            countsAt(r.createdAt)[1]++;
        } else if (outcome == ClientOutcome.REFUSED || outcome == ClientOutcome.FAILED) {
            countsAt(r.createdAt)[2]++;
            lastRefusalAt = now;
        }
        if (r.excludedFromTiming) {
            checker.clientGone(r.id);
            checker.deadlinePassed(now, r.id);
            return;
        }
        switch (outcome) {
            case SERVED -> checker.requestCompleted(now, r.id, "served", false);
            case REFUSED -> checker.requestCompleted(now, r.id, "refused", true);
            case FAILED -> checker.requestCompleted(now, r.id, "failed", false);
            case NO_ANSWER -> {} // deadline and slack are over: due() reports the violation
            default -> checker.clientGone(r.id);
        }
        checker.deadlinePassed(now, r.id);
    }

    /** A dispatcher process was killed: rules no longer apply to the requests that it held. */
    void dispatcherKilled(int dispatcher) {
        checker.dispatcherStopped(dispatcher);
        dispatcherPausedOrResumed(dispatcher);
        openRequests.values().stream().filter(r -> r.dispatcher == dispatcher).forEach(r -> r.dispatcherKilled = true);
    }

    /** A dispatcher was paused or resumed: timing rules do not apply to the requests that it holds, all others do. */
    void dispatcherPausedOrResumed(int dispatcher) {
        openRequests.values().stream()
                .filter(r -> r.dispatcher == dispatcher)
                .forEach(r -> r.excludedFromTiming = true);
    }

    // ---- discovery ----

    @Override
    public void onUpdateSent(int dispatcher, JSONObject update) {
        long now = clock.getAsLong();
        List<String> listedIds = new ArrayList<>();
        for (Object o : update.getJSONArray("members")) {
            JSONObject entry = (JSONObject) o;
            String id = entry.getString("id");
            listedIds.add(id);
            checker.workerStateReceived(
                    now,
                    dispatcher,
                    id,
                    switch (entry.getString("phase")) {
                        case "SERVING" -> WorkerState.IN_SERVICE;
                        case "DRAINING" -> WorkerState.DRAINING;
                        default -> WorkerState.GONE;
                    });
            if (entry.getLong("up_since_ms") > 0) {
                announcedStarts
                        .computeIfAbsent(dispatcher, d -> new HashSet<>())
                        .add(id);
            }
        }
        if (update.getBoolean("complete")) {
            checker.fullListReceived(now, dispatcher, listedIds);
        }
    }

    // ---- workers ----

    @Override
    public double onJobArrived(StandInWorker at, String txn) {
        long now = clock.getAsLong();
        Request r = openRequests.get(txn);
        attemptCount++;
        if (r == null) {
            // the client was answered or gave up while this attempt was in transit
            boolean known = endedRequests.contains(txn);
            inventedJobs += known ? 0 : 1;
            return known ? 1 : -1;
        }
        concurrentAttempts += r.activeAttempts > 0 ? 1 : 0;
        r.attempts.add(at);
        r.activeAttempts++;
        if (!r.dispatcherKilled) {
            checker.attemptStarted(now, r.id, at.id, at.zone, at.cell);
        }
        if (at.model.cold(now)) {
            recordColdArrival(now, at, r);
        }
        return r.work;
    }

    private void recordColdArrival(long now, StandInWorker at, Request r) {
        ColdWorkerStats c = coldWorkers.computeIfAbsent(at, w -> new ColdWorkerStats());
        c.window.add(new Arrival(now, r.work / 1e6));
        while (c.window.peek().at < now - scenario.rules().coldWindow()) {
            c.window.poll();
        }
        double arrivedWork = c.window.stream().mapToDouble(Arrival::work).sum();
        double possibleWork = at.model.capacity(now) * scenario.rules().coldWindow() / 1e6;
        c.maxMultiple = Math.max(c.maxMultiple, arrivedWork / possibleWork);
        boolean startAnnounced =
                announcedStarts.getOrDefault(r.dispatcher, Set.of()).contains(at.id);
        if (checker.coldArrivalOverloads(now, at.id, at.model.capacity(now), r.work, r.dispatcher, startAnnounced)) {
            c.crashed = true;
            overloadListener.onOverloadCrash(at);
        }
    }

    @Override
    public void onJobEnded(StandInWorker at, String txn, String ending) {
        Request r = openRequests.get(txn);
        if (r == null) {
            return;
        }
        r.activeAttempts--;
        r.unassignedSince = r.activeAttempts == 0 ? clock.getAsLong() : r.unassignedSince;
        checker.attemptEnded(
                clock.getAsLong(),
                r.id,
                r.attempts.lastIndexOf(at),
                switch (ending) {
                    case "served" -> Outcome.OK;
                    case "full" -> Outcome.FULL;
                    default -> Outcome.RESET;
                });
    }

    /**
     * Samples the work of cold workers since the last call, in total and while requests waited. To be called
     * frequently while the load lasts.
     */
    void sampleColdWorkers(long now) {
        boolean waiting = now - lastRefusalAt < WAITING_AFTER_US
                || openRequests.values().stream()
                        .anyMatch(r -> r.activeAttempts == 0 && now - r.unassignedSince > WAITING_AFTER_US);
        for (StandInWorker w : workers.values()) {
            if (w.startedAt == 0 || w.down() || w.draining() || !w.model.cold(now)) {
                continue;
            }
            ColdWorkerStats c = coldWorkers.computeIfAbsent(w, x -> new ColdWorkerStats());
            double[] progress = w.progress();
            for (int i = 0; i < 2; i++) {
                c.totalProgress[i] += progress[i] - c.lastProgress[i];
                c.progressWhileWaiting[i] += waiting ? progress[i] - c.lastProgress[i] : 0;
            }
            c.lastProgress = progress;
        }
    }

    // ---- result ----

    private static double share(double part, double whole) {
        return whole > 0 ? Math.round(part / whole * 1e4) / 1e4 : 0;
    }

    /** A bound, the observed value, and whether it holds. */
    private record Bound(String name, double bound, double seen, boolean held) {}

    /** All observations; {@code held} is true if every rule and bound held. */
    JSONObject result() {
        Scenario.Bounds b = scenario.bounds();
        JSONArray coldWorkerResults = new JSONArray();
        double maxMultiple = 0;
        double usedSum = 0;
        double leastUsed = 1;
        int judgedWorkers = 0;
        for (Map.Entry<StandInWorker, ColdWorkerStats> e : coldWorkers.entrySet()) {
            ColdWorkerStats c = e.getValue();
            // less than 0.1 s of waiting requests is too little to judge a worker by
            double coldCapacity =
                    scenario.kinds().get(0).coldFrom() * e.getKey().model.warmCapacity();
            boolean judgeable = c.progressWhileWaiting[1] > 1e5 * coldCapacity;
            double usedShare = share(c.progressWhileWaiting[0], c.progressWhileWaiting[1]);
            maxMultiple = Math.max(maxMultiple, c.maxMultiple);
            if (judgeable) {
                judgedWorkers++;
                usedSum += usedShare;
                leastUsed = Math.min(leastUsed, usedShare);
            }
            coldWorkerResults.put(new JSONObject()
                    .put("worker", e.getKey().id)
                    .put("multiple", share(c.maxMultiple, 1))
                    .put("used", share(c.totalProgress[0], c.totalProgress[1]))
                    .put("used_while_jobs_wait", usedShare)
                    .put("fell", c.crashed));
        }
        double mean = judgedWorkers == 0 ? 1 : usedSum / judgedWorkers;
        int refused = outcomeCounts[ClientOutcome.REFUSED.ordinal()];
        int failed = outcomeCounts[ClientOutcome.FAILED.ordinal()];
        List<Bound> bounds = List.of(
                new Bound("refused", b.refused(), share(refused, requestCount), refused <= b.refused() * requestCount),
                new Bound("failed", b.failed(), share(failed, requestCount), failed <= b.failed() * requestCount),
                new Bound("cold_multiple", b.coldMultiple(), share(maxMultiple, 1), maxMultiple <= b.coldMultiple()),
                new Bound("cold_used", b.coldUsed(), share(mean, 1), mean >= b.coldUsed()),
                new Bound("cold_used_each", b.coldUsedEach(), share(leastUsed, 1), leastUsed >= b.coldUsedEach()),
                new Bound("rules_broken", 0, checker.violationCount(), checker.violationCount() == 0),
                new Bound("invented_jobs", 0, inventedJobs, inventedJobs == 0));
        JSONArray boundResults = new JSONArray();
        bounds.forEach(x -> boundResults.put(new JSONObject()
                .put("bound", x.name)
                .put("limit", x.bound)
                .put("seen", x.seen)
                .put("held", x.held)));
        JSONArray broken = new JSONArray();
        checker.violations()
                .forEach(x -> broken.put(new JSONObject()
                        .put("rule", x.rule())
                        .put("at_s", (x.atUs() - start) / 1e6)
                        .put("dispatcher", x.dispatcher())
                        .put("what", x.description())
                        .put("story", new JSONArray(x.history()))));
        JSONObject result = new JSONObject()
                .put("requests", requestCount)
                .put("attempts", attemptCount)
                .put("copies", concurrentAttempts)
                .put("in_time", servedInTime)
                .put("worth_served", share(worthServed, worthRequested));
        for (ClientOutcome outcome : ClientOutcome.values()) {
            result.put(outcome.name().toLowerCase(Locale.ROOT), outcomeCounts[outcome.ordinal()]);
        }
        JSONArray bySecond = new JSONArray();
        countsBySecond.forEach(s -> bySecond.put(new JSONArray(s)));
        return result.put("cold_workers", coldWorkerResults)
                .put("cold_used_mean", share(mean, 1))
                .put("cold_multiple", share(maxMultiple, 1))
                .put("judged", checker.checkCount())
                .put("bounds", boundResults)
                .put("broken", broken)
                .put("rules_broken", checker.violationCount())
                .put("asked_served_refused_by_second", bySecond)
                .put("held", bounds.stream().allMatch(Bound::held));
    }
}
