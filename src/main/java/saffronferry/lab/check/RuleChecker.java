package saffronferry.lab.check;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.Idempotency;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.WorkerState;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.scenario.Scenario.RpcClass;

/**
 * Verifies the four dispatcher rules from the outside. It observes what dispatchers receive, send and answer,
 * knows nothing of how they decide, and records the events of each open RPC for the report of a violation.
 * Times are in microseconds.
 */
public final class RuleChecker {
    /** Upper limit of the tolerated excess over a cold worker's budget, in calls of mean work. */
    private static final double MAX_CHANCE_CALLS = 6;

    private static final int MAX_LISTED_VIOLATIONS = 10;

    /** A violation of a rule: the time, the dispatcher, and the recorded events of the RPC. */
    public record Violation(String rule, long atUs, int dispatcher, String description, List<String> history) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "rule broken: %s, at %.6f s, by dispatcher %d: %s%n  %s",
                    rule,
                    atUs / 1e6,
                    dispatcher,
                    description,
                    String.join(System.lineSeparator() + "  ", history));
        }
    }

    /** Identifies an RPC. A dispatcher may reuse ids after a restart, so its incarnation is part of the key. */
    public record Id(int dispatcher, int incarnation, long rpc) {}

    private record KnownState(WorkerState state, long atUs) {}

    private record Arrival(long atUs, double work, boolean informed) {}

    private static final class Attempt {
        final String worker;
        final int zone;
        final int cell;
        final long sentAt;
        boolean served;
        boolean knownNotRun;

        Attempt(String worker, int zone, int cell, long sentAt) {
            this.worker = worker;
            this.zone = zone;
            this.cell = cell;
            this.sentAt = sentAt;
        }
    }

    private static final class OpenRequest {
        final RpcClass rpcClass;
        final long validUntil;
        final List<Attempt> attempts = new ArrayList<>();
        final List<String> history = new ArrayList<>();
        boolean completed;

        OpenRequest(RpcClass rpcClass, long validUntil) {
            this.rpcClass = rpcClass;
            this.validUntil = validUntil;
        }

        void log(long now, String description) {
            history.add(String.format(Locale.ROOT, "%.6f s  %s", now / 1e6, description));
        }

        Attempt mayHaveRun() {
            return attempts.stream().filter(a -> !a.knownNotRun).findFirst().orElse(null);
        }
    }

    private final Scenario scenario;
    private final Map<Id, OpenRequest> openRequests = new HashMap<>();
    private final Map<Integer, Map<String, KnownState>> knownStates = new HashMap<>();
    private final Map<String, Deque<Arrival>> arrivals = new HashMap<>();
    private final Map<Integer, Map<String, Long>> bannedSince = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();
    /** The latest instance, reused for equal entries: one list gives thousands of workers the same state. */
    private KnownState lastState = new KnownState(WorkerState.GONE, Long.MIN_VALUE);

    private double maxColdMultiple;
    private int violationCount;
    private int checkCount;

    public RuleChecker(Scenario scenario) {
        this.scenario = scenario;
    }

    /** The first ten violations, each with the recorded events of its RPC. */
    public List<Violation> violations() {
        return violations;
    }

    /** The number of all violations, including those that are not listed. */
    public int violationCount() {
        return violationCount;
    }

    /** The number of attempts, answers and deadlines that were checked. With 0 a run proves nothing. */
    public int checkCount() {
        return checkCount;
    }

    private void report(String rule, long now, int dispatcher, String description, OpenRequest request) {
        violationCount++;
        if (violations.size() < MAX_LISTED_VIOLATIONS) {
            violations.add(new Violation(
                    rule, now, dispatcher, description, request == null ? List.of() : List.copyOf(request.history)));
        }
    }

    /** A dispatcher has accepted an RPC. Call {@link #deadlinePassed} just after its deadline and slack. */
    public void requestAccepted(long now, Id id, int rpcClassIndex, long validUntil) {
        OpenRequest request = new OpenRequest(scenario.classes().get(rpcClassIndex), validUntil);
        request.log(now, "taken, " + request.rpcClass.name() + ", valid until " + validUntil / 1e6 + " s");
        openRequests.put(id, request);
    }

    /** The deadline of an RPC and the slack after it have passed. */
    public void deadlinePassed(long now, Id id) {
        OpenRequest request = openRequests.remove(id);
        checkCount += request != null ? 1 : 0;
        if (request != null && !request.completed) {
            report("lost", now, id.dispatcher(), "RPC " + id.rpc() + " has no final answer in time", request);
        }
    }

    /** A dispatcher's process has ended. Its open RPCs fail at the clients and violate no rule. */
    public void dispatcherStopped(int dispatcher) {
        openRequests.keySet().removeIf(id -> id.dispatcher() == dispatcher);
        knownStates.remove(dispatcher);
    }

    /** The client has disconnected, so an answer is no longer required. */
    public void clientGone(Id id) {
        OpenRequest request = openRequests.get(id);
        if (request != null) {
            request.completed = true;
        }
    }

    /** A dispatcher sends a call attempt to a worker. */
    public void attemptStarted(long now, Id id, String worker, int zone, int cell) {
        checkCount++;
        OpenRequest request = openRequests.get(id);
        if (request == null || request.completed) {
            report("lost", now, id.dispatcher(), "a send for RPC " + id.rpc() + ", which is over", request);
            return;
        }
        request.log(now, "attempt " + request.attempts.size() + " sent to " + worker);
        Attempt mayHaveRun = request.mayHaveRun();
        if (mayHaveRun != null && !mayRetryOn(request, mayHaveRun, zone, cell, now)) {
            report(
                    "duplicate",
                    now,
                    id.dispatcher(),
                    "RPC " + id.rpc() + " of " + request.rpcClass.name()
                            + " goes to " + worker
                            + " though attempt at " + mayHaveRun.worker + " may have run",
                    request);
        }
        if (request.attempts.size() >= scenario.rules().maxAttempts()) {
            report("tries", now, id.dispatcher(), "RPC " + id.rpc() + " has too many attempts", request);
        }
        KnownState known = knownStates.getOrDefault(id.dispatcher(), Map.of()).get(worker);
        if (known == null) {
            report(
                    "unlisted",
                    now,
                    id.dispatcher(),
                    worker + " is sent RPC " + id.rpc() + ", but no list has named it",
                    request);
        } else if (known.state != WorkerState.IN_SERVICE
                && now > known.atUs + scenario.rules().drain()) {
            report(
                    "drain",
                    now,
                    id.dispatcher(),
                    worker + " is sent RPC " + id.rpc()
                            + String.format(
                                    Locale.ROOT,
                                    " %.3f s after the word that it is %s",
                                    (now - known.atUs) / 1e6,
                                    known.state),
                    request);
        }
        Long bannedAt = bannedSince.getOrDefault(id.dispatcher(), Map.of()).get(worker);
        if (bannedAt != null && now > bannedAt) {
            report(
                    "ban",
                    now,
                    id.dispatcher(),
                    worker + " is sent RPC " + id.rpc()
                            + String.format(
                                    Locale.ROOT, " %.3f s after an operator took it out", (now - bannedAt) / 1e6),
                    request);
        }
        request.attempts.add(new Attempt(worker, zone, cell, now));
    }

    private static boolean mayRetryOn(OpenRequest request, Attempt mayHaveRun, int zone, int cell, long now) {
        return switch (request.rpcClass.effect()) {
            case SAFE -> true;
            case UNSAFE -> false;
            case KEYED ->
                now <= mayHaveRun.sentAt + request.rpcClass.keyTtl()
                        && (request.rpcClass.group() == DedupScope.ALL
                                || zone == mayHaveRun.zone
                                        && (request.rpcClass.group() == DedupScope.ZONE || cell == mayHaveRun.cell));
        };
    }

    /** The dispatcher has received the outcome of an attempt. */
    public void attemptEnded(long now, Id id, int attempt, Outcome outcome) {
        OpenRequest request = openRequests.get(id);
        if (request != null && attempt < request.attempts.size()) {
            request.attempts.get(attempt).served = outcome == Outcome.OK;
            request.attempts.get(attempt).knownNotRun = outcome.neverRan;
            request.log(now, "attempt " + attempt + " ended: " + outcome);
        }
    }

    /** A dispatcher gives the final answer; {@code refused} promises the client that a retry is safe. */
    public void requestCompleted(long now, Id id, String outcome, boolean refused) {
        checkCount++;
        OpenRequest request = openRequests.get(id);
        if (request == null || request.completed) {
            report("answers", now, id.dispatcher(), "RPC " + id.rpc() + " is answered again: " + outcome, request);
            return;
        }
        request.log(now, "answered: " + outcome);
        request.completed = true;
        if (outcome.equals("served") && request.attempts.stream().noneMatch(a -> a.served)) {
            report("invented", now, id.dispatcher(), "RPC " + id.rpc() + " is served, but by no worker", request);
        }
        boolean retryIsSafe = request.mayHaveRun() == null
                || request.rpcClass.effect() == Idempotency.SAFE
                || request.rpcClass.effect() == Idempotency.KEYED && request.rpcClass.group() == DedupScope.ALL;
        if (refused && !retryIsSafe) {
            report(
                    "duplicate",
                    now,
                    id.dispatcher(),
                    "RPC " + id.rpc() + " is refused though it may have run",
                    request);
        }
        if (now > request.validUntil + scenario.rules().slack()) {
            report("lost", now, id.dispatcher(), "RPC " + id.rpc() + " is answered after its time", request);
        }
    }

    /** A dispatcher has confirmed a ban: it must send nothing more to the worker, whatever lists contain. */
    public void workerBanned(long now, int dispatcher, String worker) {
        bannedSince.computeIfAbsent(dispatcher, d -> new HashMap<>()).putIfAbsent(worker, now);
    }

    /** A ban was lifted. A dispatcher's restart does not lift a ban. */
    public void banLifted(int dispatcher, String worker) {
        bannedSince.getOrDefault(dispatcher, new HashMap<>()).remove(worker);
    }

    /** A dispatcher receives the state of a worker. */
    public void workerStateReceived(long now, int dispatcher, String worker, WorkerState state) {
        knownStates
                .computeIfAbsent(dispatcher, d -> new HashMap<>())
                .compute(
                        worker,
                        (w, previous) -> previous != null
                                        && previous.state != WorkerState.IN_SERVICE
                                        && state != WorkerState.IN_SERVICE
                                ? previous
                                : sharedState(state, now));
    }

    private KnownState sharedState(WorkerState state, long now) {
        lastState = lastState.state == state && lastState.atUs == now ? lastState : new KnownState(state, now);
        return lastState;
    }

    /** A dispatcher receives a full list: workers missing from it count as {@link WorkerState#GONE}. */
    public void fullListReceived(long now, int dispatcher, Collection<String> named) {
        List.copyOf(knownStates.getOrDefault(dispatcher, Map.of()).keySet()).stream()
                .filter(w -> !named.contains(w))
                .forEach(w -> workerStateReceived(now, dispatcher, w, WorkerState.GONE));
    }

    /** The most work a cold worker received within the rule's window, as a multiple of its capacity. */
    public double maxColdMultiple() {
        return maxColdMultiple;
    }

    /**
     * A cold worker receives an attempt.
     *
     * @param capacity the work it can currently do per second
     * @param work the work of the attempt in microseconds
     * @param informed whether the sender's list contains the worker's start time
     * @return whether the worker is overloaded and fails
     */
    public boolean coldArrivalOverloads(
            long now, String worker, double capacity, double work, int dispatcher, boolean informed) {
        Deque<Arrival> window = arrivals.computeIfAbsent(worker, w -> new ArrayDeque<>());
        window.add(new Arrival(now, work / 1e6, informed));
        while (window.peek().atUs < now - scenario.rules().coldWindow()) {
            window.poll();
        }
        double windowWork = window.stream().mapToDouble(Arrival::work).sum();
        maxColdMultiple = Math.max(
                maxColdMultiple, windowWork / (capacity * scenario.rules().coldWindow() / 1e6));
        double meanWork = scenario.meanWork() / 1e6;
        double budget = scenario.rules().coldOverloadMultiple()
                * capacity
                * scenario.rules().coldWindow()
                / 1e6;
        // an excess of 2 * sqrt(N) + 2 calls over a budget of N calls is attributed to chance, however many
        // dispatchers send
        double slack = Math.min(MAX_CHANCE_CALLS, 2 * Math.sqrt(budget / meanWork) + 2) * meanWork;
        if (windowWork <= budget + slack) {
            return false;
        }
        double informedWork = window.stream()
                .filter(Arrival::informed)
                .mapToDouble(Arrival::work)
                .sum();
        if (informedWork >= windowWork * 2 / 3) {
            report(
                    "cold",
                    now,
                    dispatcher,
                    String.format(
                            Locale.ROOT,
                            "%s falls over: %.2f s of work in %.1f s "
                                    + "with a capacity of %.2f; %d jobs, the largest of %.2f s",
                            worker,
                            windowWork,
                            scenario.rules().coldWindow() / 1e6,
                            capacity,
                            window.size(),
                            window.stream().mapToDouble(Arrival::work).max().orElse(0)),
                    null);
        }
        window.clear();
        return true;
    }
}
