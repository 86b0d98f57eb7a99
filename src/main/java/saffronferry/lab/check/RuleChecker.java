package saffronferry.lab.check;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import saffronferry.Contract.Effect;
import saffronferry.Contract.Group;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.WorkerState;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.scenario.Scenario.RpcClass;

/**
 * Watches the four rules from outside: it sees what dispatchers are told, send and answer, knows nothing of
 * how they decide, and keeps the story of each open RPC for the case that one is broken. Microseconds.
 */
public final class RuleChecker {
    /** Calls of mean work beyond a cold worker's budget that are chance, however large the budget is. */
    private static final double MOST_CHANCE = 6;
    /** A rule that was broken, when, by which dispatcher, and all that happened to the RPC. */
    public record Broken(String rule, long at, int dispatcher, String what, List<String> story) {
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "rule broken: %s, at %.6f s, by dispatcher %d: %s%n  %s",
                    rule,
                    at / 1e6,
                    dispatcher,
                    what,
                    String.join(System.lineSeparator() + "  ", story));
        }
    }

    /** Names one RPC: ids may come again in a dispatcher's next life. */
    public record Id(int dispatcher, int life, long rpc) {}

    private record Told(WorkerState state, long at) {}

    private record Arrival(long at, double work, boolean informed) {}

    private static final class Attempt {
        final String worker;
        final int zone;
        final int cell;
        final long sentAt;
        boolean served;
        boolean neverRan;

        Attempt(String worker, int zone, int cell, long sentAt) {
            this.worker = worker;
            this.zone = zone;
            this.cell = cell;
            this.sentAt = sentAt;
        }
    }

    private static final class Open {
        final RpcClass spec;
        final long validUntil;
        final List<Attempt> attempts = new ArrayList<>();
        final List<String> story = new ArrayList<>();
        boolean answered;

        Open(RpcClass spec, long validUntil) {
            this.spec = spec;
            this.validUntil = validUntil;
        }

        void tell(long now, String what) {
            story.add(String.format(Locale.ROOT, "%.6f s  %s", now / 1e6, what));
        }

        Attempt doubt() {
            return attempts.stream().filter(a -> !a.neverRan).findFirst().orElse(null);
        }
    }

    private final Scenario scenario;
    private final Map<Id, Open> open = new HashMap<>();
    private final Map<Integer, Map<String, Told>> told = new HashMap<>();
    private final Map<String, Deque<Arrival>> arrivals = new HashMap<>();
    private final Map<Integer, Map<String, Long>> bans = new HashMap<>();
    private final List<Broken> broken = new ArrayList<>();
    /** The one made last: a list tells thousands the same at one time, and hundreds hear it. */
    private Told last = new Told(WorkerState.GONE, Long.MIN_VALUE);

    private double mostCold;
    private int count;
    private int judged;

    public RuleChecker(Scenario scenario) {
        this.scenario = scenario;
    }

    /** The first of those broken, with their stories. */
    public List<Broken> broken() {
        return broken;
    }

    /** How many were broken in all. */
    public int count() {
        return count;
    }

    /** How many sends, answers and overdue RPCs were held against the rules: 0 proves nothing. */
    public int judged() {
        return judged;
    }

    private void breaks(String rule, long now, int dispatcher, String what, Open o) {
        count++;
        if (broken.size() < 10) {
            broken.add(new Broken(rule, now, dispatcher, what, o == null ? List.of() : List.copyOf(o.story)));
        }
    }

    /** A dispatcher has taken an RPC; {@link #due} is to be called just after its time and slack. */
    public void taken(long now, Id id, int rpcClass, long validUntil) {
        Open o = new Open(scenario.classes().get(rpcClass), validUntil);
        o.tell(now, "taken, " + o.spec.name() + ", valid until " + validUntil / 1e6 + " s");
        open.put(id, o);
    }

    /** The RPC's time and slack are over. */
    public void due(long now, Id id) {
        Open o = open.remove(id);
        judged += o != null ? 1 : 0;
        if (o != null && !o.answered) {
            breaks("lost", now, id.dispatcher(), "RPC " + id.rpc() + " has no final answer in time", o);
        }
    }

    /** A dispatcher's process has ended: what it held is the clients' loss, and no rule's. */
    public void died(int dispatcher) {
        open.keySet().removeIf(id -> id.dispatcher() == dispatcher);
        told.remove(dispatcher);
    }

    /** The client has gone, or the answer is for nobody. */
    public void left(Id id) {
        Open o = open.get(id);
        if (o != null) {
            o.answered = true;
        }
    }

    /** The module sends an attempt. */
    public void sent(long now, Id id, String worker, int zone, int cell) {
        judged++;
        Open o = open.get(id);
        if (o == null || o.answered) {
            breaks("lost", now, id.dispatcher(), "a send for RPC " + id.rpc() + ", which is over", o);
            return;
        }
        o.tell(now, "attempt " + o.attempts.size() + " sent to " + worker);
        Attempt doubt = o.doubt();
        if (doubt != null && !mayRepeat(o, doubt, zone, cell, now)) {
            breaks(
                    "duplicate",
                    now,
                    id.dispatcher(),
                    "RPC " + id.rpc() + " of " + o.spec.name()
                            + " goes to " + worker
                            + " though attempt at " + doubt.worker + " may have run",
                    o);
        }
        if (o.attempts.size() >= scenario.rules().mostTries()) {
            breaks("tries", now, id.dispatcher(), "RPC " + id.rpc() + " has too many attempts", o);
        }
        Told t = told.getOrDefault(id.dispatcher(), Map.of()).get(worker);
        if (t == null) {
            breaks(
                    "unlisted",
                    now,
                    id.dispatcher(),
                    worker + " is sent RPC " + id.rpc() + ", but no list has named it",
                    o);
        } else if (t.state != WorkerState.IN_SERVICE
                && now > t.at + scenario.rules().drain()) {
            breaks(
                    "drain",
                    now,
                    id.dispatcher(),
                    worker + " is sent RPC " + id.rpc()
                            + String.format(
                                    Locale.ROOT, " %.3f s after the word that it is %s", (now - t.at) / 1e6, t.state),
                    o);
        }
        Long since = bans.getOrDefault(id.dispatcher(), Map.of()).get(worker);
        if (since != null && now > since) {
            breaks(
                    "ban",
                    now,
                    id.dispatcher(),
                    worker + " is sent RPC " + id.rpc()
                            + String.format(Locale.ROOT, " %.3f s after an operator took it out", (now - since) / 1e6),
                    o);
        }
        o.attempts.add(new Attempt(worker, zone, cell, now));
    }

    private static boolean mayRepeat(Open o, Attempt doubt, int zone, int cell, long now) {
        return switch (o.spec.effect()) {
            case SAFE -> true;
            case UNSAFE -> false;
            case KEYED ->
                now <= doubt.sentAt + o.spec.keyTtl()
                        && (o.spec.group() == Group.ALL
                                || zone == doubt.zone && (o.spec.group() == Group.ZONE || cell == doubt.cell));
        };
    }

    /** The dispatcher has been told how an attempt ended. */
    public void ended(long now, Id id, int attempt, Outcome outcome) {
        Open o = open.get(id);
        if (o != null && attempt < o.attempts.size()) {
            o.attempts.get(attempt).served = outcome == Outcome.OK;
            o.attempts.get(attempt).neverRan = outcome.neverRan;
            o.tell(now, "attempt " + attempt + " ended: " + outcome);
        }
    }

    /** The final answer: {@code refused} promises that a retry does no harm. */
    public void answered(long now, Id id, String how, boolean refused) {
        judged++;
        Open o = open.get(id);
        if (o == null || o.answered) {
            breaks("answers", now, id.dispatcher(), "RPC " + id.rpc() + " is answered again: " + how, o);
            return;
        }
        o.tell(now, "answered: " + how);
        o.answered = true;
        if (how.equals("served") && o.attempts.stream().noneMatch(a -> a.served)) {
            breaks("invented", now, id.dispatcher(), "RPC " + id.rpc() + " is served, but by no worker", o);
        }
        boolean harmless = o.doubt() == null
                || o.spec.effect() == Effect.SAFE
                || o.spec.effect() == Effect.KEYED && o.spec.group() == Group.ALL;
        if (refused && !harmless) {
            breaks("duplicate", now, id.dispatcher(), "RPC " + id.rpc() + " is refused though it may have run", o);
        }
        if (now > o.validUntil + scenario.rules().slack()) {
            breaks("lost", now, id.dispatcher(), "RPC " + id.rpc() + " is answered after its time", o);
        }
    }

    /** A dispatcher has said yes to taking a worker out: nothing more goes there, whatever a list says. */
    public void banned(long now, int dispatcher, String worker) {
        bans.computeIfAbsent(dispatcher, d -> new HashMap<>()).putIfAbsent(worker, now);
    }

    /** The worker is put back; one call is enough, and the end of a process does not count as one. */
    public void putBack(int dispatcher, String worker) {
        bans.getOrDefault(dispatcher, new HashMap<>()).remove(worker);
    }

    /** A dispatcher is told a worker's state. */
    public void told(long now, int dispatcher, String worker, WorkerState state) {
        told.computeIfAbsent(dispatcher, d -> new HashMap<>())
                .compute(
                        worker,
                        (w, old) ->
                                old != null && old.state != WorkerState.IN_SERVICE && state != WorkerState.IN_SERVICE
                                        ? old
                                        : same(state, now));
    }

    private Told same(WorkerState state, long now) {
        last = last.state == state && last.at == now ? last : new Told(state, now);
        return last;
    }

    /** A dispatcher is told a whole list: who is not in it is gone. */
    public void toldWhole(long now, int dispatcher, Collection<String> named) {
        List.copyOf(told.getOrDefault(dispatcher, Map.of()).keySet()).stream()
                .filter(w -> !named.contains(w))
                .forEach(w -> told(now, dispatcher, w, WorkerState.GONE));
    }

    /** The most work that reached a cold worker in the rule's time, as a multiple of what it could do. */
    public double mostCold() {
        return mostCold;
    }

    /**
     * Work reaches a worker that is cold and can do so much a second now; true if that makes it fall over.
     * {@code informed}: the sender has been told of its start.
     */
    public boolean reachesCold(
            long now, String worker, double capacity, double work, int dispatcher, boolean informed) {
        Deque<Arrival> window = arrivals.computeIfAbsent(worker, w -> new ArrayDeque<>());
        window.add(new Arrival(now, work / 1e6, informed));
        while (window.peek().at < now - scenario.rules().fall()) {
            window.poll();
        }
        double sum = window.stream().mapToDouble(Arrival::work).sum();
        mostCold = Math.max(mostCold, sum / (capacity * scenario.rules().fall() / 1e6));
        double mean = scenario.meanWork() / 1e6;
        double budget =
                scenario.rules().fallMultiple() * capacity * scenario.rules().fall() / 1e6;
        // beyond a budget of N calls, 2 x root of N + 2 are put down to chance, however many send
        double slack = Math.min(MOST_CHANCE, 2 * Math.sqrt(budget / mean) + 2) * mean;
        if (sum <= budget + slack) {
            return false;
        }
        double known = window.stream()
                .filter(Arrival::informed)
                .mapToDouble(Arrival::work)
                .sum();
        if (known >= sum * 2 / 3) {
            breaks(
                    "cold",
                    now,
                    dispatcher,
                    String.format(
                            Locale.ROOT,
                            "%s falls over: %.2f s of work in %.1f s "
                                    + "with a capacity of %.2f; %d jobs, the largest of %.2f s",
                            worker,
                            sum,
                            scenario.rules().fall() / 1e6,
                            capacity,
                            window.size(),
                            window.stream().mapToDouble(Arrival::work).max().orElse(0)),
                    null);
        }
        window.clear();
        return true;
    }
}
