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
 * Sees what clients and workers see, and holds it against rules and bounds. It knows nothing of what
 * dispatchers believe. Clock in microseconds, handed in.
 */
final class RunVerifier implements StandInWorker.Watcher, StandInDiscovery.Watcher {
    /** A request that is at no worker so long waits; before that it is on its way. */
    private static final long ON_ITS_WAY = 100_000;
    /** A machine that runs many processes is late by itself; no bound is judged by less. */
    private static final long MACHINE_SLACK = 400_000;

    /** One request as its client and the workers know it. */
    static final class Request {
        final String txn;
        final int rpcClass;
        final double work;
        final int dispatcher;
        final RuleChecker.Id id;
        final long asked;
        final List<StandInWorker> tries = new ArrayList<>();
        int atWorkers;
        long nowhereSince;
        boolean over;
        boolean excused; // its dispatcher was stopped meanwhile: when it answers is no rule's
        boolean died; // its dispatcher's process has ended: what is still under way is nobody's

        Request(String txn, int rpcClass, double work, int dispatcher, RuleChecker.Id id, long asked) {
            this.txn = txn;
            this.rpcClass = rpcClass;
            this.work = work;
            this.dispatcher = dispatcher;
            this.id = id;
            this.asked = asked;
            nowhereSince = asked;
        }
    }

    /** How a request ended for its client. */
    enum ClientOutcome {
        SERVED,
        REFUSED,
        FAILED,
        UNREACHABLE,
        DIED_WITH_IT,
        NO_ANSWER
    }

    private record Arrival(long at, double work) {}

    /** What reached a cold worker, and what it made of it. */
    private static final class ColdWorkerStats {
        final Deque<Arrival> window = new ArrayDeque<>();
        double multiple;
        boolean fell;
        double[] last = new double[2];
        double[] all = new double[2];
        double[] waiting = new double[2];
    }

    /** Whom to tell that a worker has fallen over. */
    interface OverloadCrashListener {
        void fell(StandInWorker worker);
    }

    private final Scenario scenario;
    private final RuleChecker checker;
    private final Map<String, Request> open = new HashMap<>();
    private final Set<String> ended = new HashSet<>();
    private final Map<StandInWorker, ColdWorkerStats> cold = new LinkedHashMap<>();
    private final Map<Integer, Set<String>> startsTold = new HashMap<>();
    private final List<int[]> seconds = new ArrayList<>();
    private final int[] ends = new int[ClientOutcome.values().length];
    private final Map<String, StandInWorker> workers;
    private final LongSupplier clock;
    private OverloadCrashListener faller = w -> {};
    private long start;
    private long refusedAt = Long.MIN_VALUE / 2;
    private int asked;
    private int attempts;
    private int copies;
    private double worthAsked;
    private double worthServed;
    private int inTime;
    /** Jobs that no client sent. */
    private int invented;

    RunVerifier(Scenario scenario, Map<String, StandInWorker> workers, LongSupplier clock) {
        Scenario.Rules r = scenario.rules();
        this.scenario = scenario;
        this.workers = workers;
        this.clock = clock;
        checker = new RuleChecker(scenario.with(new Scenario.Rules(
                Math.max(r.slack(), MACHINE_SLACK),
                r.drain() + MACHINE_SLACK,
                r.fallMultiple(),
                r.fall(),
                r.mostTries(),
                r.maxRetryAfter())));
    }

    /** The load begins. */
    void begin(long at, OverloadCrashListener onFall) {
        start = at;
        faller = onFall;
    }

    int unanswered() {
        return open.size();
    }

    // ---- clients ----

    /** A client is about to send; the request is the dispatcher's once it is written. */
    Request asks(long now, String txn, int rpcClass, double work, int dispatcher, int life) {
        Request r = new Request(txn, rpcClass, work, dispatcher, new RuleChecker.Id(dispatcher, life, asked), now);
        open.put(txn, r);
        asked++;
        worthAsked += scenario.classes().get(rpcClass).worth();
        second(now)[0]++;
        return r;
    }

    /** {@code stopped}: its dispatcher's process stands still. */
    void written(long now, Request r, boolean stopped) {
        r.excused = stopped;
        checker.taken(
                now, r.id, r.rpcClass, now + scenario.classes().get(r.rpcClass).deadline());
    }

    private int[] second(long at) {
        int s = (int) Math.max(0, (at - start) / 1_000_000);
        while (seconds.size() <= s) {
            seconds.add(new int[3]);
        }
        return seconds.get(s);
    }

    /** The client has its answer, or will have none. */
    void ended(long now, Request r, ClientOutcome end) {
        if (r.over) {
            return;
        }
        r.over = true;
        open.remove(r.txn);
        ended.add(r.txn);
        ends[end.ordinal()]++;
        Scenario.RpcClass spec = scenario.classes().get(r.rpcClass);
        if (end == ClientOutcome.SERVED) {
            double wanted = Math.min(spec.deadline(), spec.aim() + spec.stretch() * r.work);
            boolean timely = now - r.asked <= wanted;
            inTime += timely ? 1 : 0;
            worthServed += spec.worth() * (timely ? 1 : spec.lateWorth());
            second(r.asked)[1]++;
        } else if (end == ClientOutcome.REFUSED || end == ClientOutcome.FAILED) {
            second(r.asked)[2]++;
            refusedAt = now;
        }
        if (r.excused) {
            checker.left(r.id);
            checker.due(now, r.id);
            return;
        }
        switch (end) {
            case SERVED -> checker.answered(now, r.id, "served", false);
            case REFUSED -> checker.answered(now, r.id, "refused", true);
            case FAILED -> checker.answered(now, r.id, "failed", false);
            case NO_ANSWER -> {} // its time and slack are over: due() says what that means
            default -> checker.left(r.id);
        }
        checker.due(now, r.id);
    }

    /** A dispatcher's process has been ended: what it held is no rule's. */
    void died(int dispatcher) {
        checker.died(dispatcher);
        stopped(dispatcher);
        open.values().stream().filter(r -> r.dispatcher == dispatcher).forEach(r -> r.died = true);
    }

    /** It has been stopped, or goes on: what it holds is answered when it can be, and all else is judged. */
    void stopped(int dispatcher) {
        open.values().stream().filter(r -> r.dispatcher == dispatcher).forEach(r -> r.excused = true);
    }

    // ---- discovery ----

    @Override
    public void told(int dispatcher, JSONObject update) {
        long now = clock.getAsLong();
        List<String> named = new ArrayList<>();
        for (Object o : update.getJSONArray("members")) {
            JSONObject entry = (JSONObject) o;
            String id = entry.getString("id");
            named.add(id);
            checker.told(
                    now,
                    dispatcher,
                    id,
                    switch (entry.getString("phase")) {
                        case "SERVING" -> WorkerState.IN_SERVICE;
                        case "DRAINING" -> WorkerState.DRAINING;
                        default -> WorkerState.GONE;
                    });
            if (entry.getLong("up_since_ms") > 0) {
                startsTold.computeIfAbsent(dispatcher, d -> new HashSet<>()).add(id);
            }
        }
        if (update.getBoolean("complete")) {
            checker.toldWhole(now, dispatcher, named);
        }
    }

    // ---- workers ----

    @Override
    public double arrived(StandInWorker at, String txn) {
        long now = clock.getAsLong();
        Request r = open.get(txn);
        attempts++;
        if (r == null) {
            // its client has its answer, or has gone, while this attempt was under way
            boolean known = ended.contains(txn);
            invented += known ? 0 : 1;
            return known ? 1 : -1;
        }
        copies += r.atWorkers > 0 ? 1 : 0;
        r.tries.add(at);
        r.atWorkers++;
        if (!r.died) {
            checker.sent(now, r.id, at.id, at.zone, at.cell);
        }
        if (at.model.cold(now)) {
            reachesCold(now, at, r);
        }
        return r.work;
    }

    private void reachesCold(long now, StandInWorker at, Request r) {
        ColdWorkerStats c = cold.computeIfAbsent(at, w -> new ColdWorkerStats());
        c.window.add(new Arrival(now, r.work / 1e6));
        while (c.window.peek().at < now - scenario.rules().fall()) {
            c.window.poll();
        }
        double sum = c.window.stream().mapToDouble(Arrival::work).sum();
        double can = at.model.capacity(now) * scenario.rules().fall() / 1e6;
        c.multiple = Math.max(c.multiple, sum / can);
        boolean informed = startsTold.getOrDefault(r.dispatcher, Set.of()).contains(at.id);
        if (checker.reachesCold(now, at.id, at.model.capacity(now), r.work, r.dispatcher, informed)) {
            c.fell = true;
            faller.fell(at);
        }
    }

    @Override
    public void left(StandInWorker at, String txn, String how) {
        Request r = open.get(txn);
        if (r == null) {
            return;
        }
        r.atWorkers--;
        r.nowhereSince = r.atWorkers == 0 ? clock.getAsLong() : r.nowhereSince;
        checker.ended(
                clock.getAsLong(),
                r.id,
                r.tries.lastIndexOf(at),
                switch (how) {
                    case "served" -> Outcome.OK;
                    case "full" -> Outcome.FULL;
                    default -> Outcome.RESET;
                });
    }

    /** To be called often while the load lasts: what cold workers did meanwhile, and whether jobs waited. */
    void look(long now) {
        boolean waiting = now - refusedAt < ON_ITS_WAY
                || open.values().stream().anyMatch(r -> r.atWorkers == 0 && now - r.nowhereSince > ON_ITS_WAY);
        for (StandInWorker w : workers.values()) {
            if (w.startedAt == 0 || w.down() || w.draining() || !w.model.cold(now)) {
                continue;
            }
            ColdWorkerStats c = cold.computeIfAbsent(w, x -> new ColdWorkerStats());
            double[] progress = w.progress();
            for (int i = 0; i < 2; i++) {
                c.all[i] += progress[i] - c.last[i];
                c.waiting[i] += waiting ? progress[i] - c.last[i] : 0;
            }
            c.last = progress;
        }
    }

    // ---- the verdict ----

    private static double share(double part, double of) {
        return of > 0 ? Math.round(part / of * 1e4) / 1e4 : 0;
    }

    /** A bound, what was seen, and whether that keeps it. */
    private record Bound(String name, double bound, double seen, boolean held) {}

    /** All that was seen; {@code held} says whether every rule and bound held. */
    JSONObject verdict() {
        Scenario.Bounds b = scenario.bounds();
        JSONArray coldOnes = new JSONArray();
        double most = 0;
        double used = 0;
        double least = 1;
        int judged = 0;
        for (Map.Entry<StandInWorker, ColdWorkerStats> e : cold.entrySet()) {
            ColdWorkerStats c = e.getValue();
            // under a tenth of a second of waiting says nothing of a worker
            double cold = scenario.kinds().get(0).coldFrom() * e.getKey().model.full();
            boolean counts = c.waiting[1] > 1e5 * cold;
            double part = share(c.waiting[0], c.waiting[1]);
            most = Math.max(most, c.multiple);
            if (counts) {
                judged++;
                used += part;
                least = Math.min(least, part);
            }
            coldOnes.put(new JSONObject()
                    .put("worker", e.getKey().id)
                    .put("multiple", share(c.multiple, 1))
                    .put("used", share(c.all[0], c.all[1]))
                    .put("used_while_jobs_wait", part)
                    .put("fell", c.fell));
        }
        double mean = judged == 0 ? 1 : used / judged;
        int refused = ends[ClientOutcome.REFUSED.ordinal()];
        int failed = ends[ClientOutcome.FAILED.ordinal()];
        List<Bound> bounds = List.of(
                new Bound("refused", b.refused(), share(refused, asked), refused <= b.refused() * asked),
                new Bound("failed", b.failed(), share(failed, asked), failed <= b.failed() * asked),
                new Bound("cold_multiple", b.coldMultiple(), share(most, 1), most <= b.coldMultiple()),
                new Bound("cold_used", b.coldUsed(), share(mean, 1), mean >= b.coldUsed()),
                new Bound("cold_used_each", b.coldUsedEach(), share(least, 1), least >= b.coldUsedEach()),
                new Bound("rules_broken", 0, checker.count(), checker.count() == 0),
                new Bound("invented_jobs", 0, invented, invented == 0));
        JSONArray told = new JSONArray();
        bounds.forEach(x -> told.put(new JSONObject()
                .put("bound", x.name)
                .put("limit", x.bound)
                .put("seen", x.seen)
                .put("held", x.held)));
        JSONArray broken = new JSONArray();
        checker.broken()
                .forEach(x -> broken.put(new JSONObject()
                        .put("rule", x.rule())
                        .put("at_s", (x.at() - start) / 1e6)
                        .put("dispatcher", x.dispatcher())
                        .put("what", x.what())
                        .put("story", new JSONArray(x.story()))));
        JSONObject result = new JSONObject()
                .put("requests", asked)
                .put("attempts", attempts)
                .put("copies", copies)
                .put("in_time", inTime)
                .put("worth_served", share(worthServed, worthAsked));
        for (ClientOutcome end : ClientOutcome.values()) {
            result.put(end.name().toLowerCase(Locale.ROOT), ends[end.ordinal()]);
        }
        JSONArray bySecond = new JSONArray();
        seconds.forEach(s -> bySecond.put(new JSONArray(s)));
        return result.put("cold_workers", coldOnes)
                .put("cold_used_mean", share(mean, 1))
                .put("cold_multiple", share(most, 1))
                .put("judged", checker.judged())
                .put("bounds", told)
                .put("broken", broken)
                .put("rules_broken", checker.count())
                .put("asked_served_refused_by_second", bySecond)
                .put("held", bounds.stream().allMatch(Bound::held));
    }
}
