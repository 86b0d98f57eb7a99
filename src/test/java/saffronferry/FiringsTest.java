package saffronferry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import saffronferry.Contract.Effect;
import saffronferry.Contract.Group;
import saffronferry.Contract.Outcome;

/**
 * Many dispatchers from one instant, and again after an outage that stopped all of them: what they do by the
 * clock must not fall together. Counted in slots of 25 ms; chance alone gives a spread (variance over mean)
 * of about 1.
 */
class FiringsTest {
    private static final int DISPATCHERS = 60;
    private static final long SLOT = 25 * Rig.MS;

    private static List<Rig> start(Rig.Plan plan, String... workers) {
        List<Rig> all = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS; i++) {
            plan.seed = 1_000 + i;
            Rig rig = new Rig(plan.settings());
            rig.list(Arrays.stream(workers).map(Rig::worker).toArray(Contract.WorkerInfo[]::new));
            all.add(rig);
        }
        return all;
    }

    /** Variance over mean of the firings in each slot of a span. */
    private static double spread(String what, List<Long> firings, long from, long until) {
        int[] slots = new int[(int) ((until - from) / SLOT)];
        firings.stream()
                .filter(t -> t >= from && t < until)
                .forEach(t -> slots[(int) Math.min(slots.length - 1, (t - from) / SLOT)]++);
        double mean = Arrays.stream(slots).average().orElse(0);
        double variance = Arrays.stream(slots)
                .mapToDouble(n -> (n - mean) * (n - mean))
                .average()
                .orElse(0);
        double result = mean == 0 ? 0 : variance / mean;
        System.out.printf(
                Locale.ROOT,
                "%s: %d in %d slots, most in one %d, spread %.2f%n",
                what,
                Arrays.stream(slots).sum(),
                slots.length,
                Arrays.stream(slots).max().orElse(0),
                result);
        return result;
    }

    private static List<Long> told(List<Rig> all, String action) {
        List<Long> times = new ArrayList<>();
        all.forEach(rig -> rig.trace.stream()
                .filter(line -> line.contains(" " + action + " "))
                .mapToLong(line -> Long.parseLong(line.substring(0, line.indexOf(' '))))
                .distinct()
                .forEach(times::add));
        return times;
    }

    /** Requests at a rate of their own for each dispatcher; whatever is sent ends so. When it was sent. */
    private static List<Long> play(List<Rig> all, long span, long every, Outcome outcome) {
        List<Long> sent = new ArrayList<>();
        for (Rig rig : all) {
            long end = rig.now + span;
            int seen = rig.sends.size();
            long id = 1_000_000 + rig.now;
            while (rig.now < end) {
                rig.ask(++id, 0, -1, 200 * Rig.MS, false);
                rig.run(every);
                for (; seen < rig.sends.size(); seen++) {
                    Rig.Send s = rig.sends.get(seen);
                    sent.add(s.at());
                    rig.answer(s.id(), s.attempt(), outcome);
                }
            }
        }
        return sent;
    }

    /** Exchange and probes: over two minutes from a common start, and two more after a common stop of 20 s. */
    @Test
    void exchangesAndProbesOfAFleetThatStartsTogetherDoNotKeepStep() {
        Rig.Plan plan = new Rig.Plan();
        plan.peers = DISPATCHERS;
        plan.zones = 2;
        plan.peerPrice = 1; // messages are dear: the period is its longest
        List<Rig> all = start(plan, "a", "b", "c");
        long begin = all.get(0).now;
        play(all, 120 * Rig.S, 250 * Rig.MS, Outcome.OK);
        all.forEach(rig -> rig.now = begin + 140 * Rig.S); // stopped: what is overdue comes at one instant
        play(all, 120 * Rig.S, 250 * Rig.MS, Outcome.OK);
        List<Double> spreads = new ArrayList<>();
        for (String action : new String[] {"tell", "probe"}) {
            List<Long> times = told(all, action);
            for (long from : new long[] {begin + 20 * Rig.S, begin + 160 * Rig.S}) {
                spreads.add(spread(action, times, from, from + 99 * Rig.S));
            }
        }
        assertTrue(spreads.stream().allMatch(x -> x < 3), "spreads " + spreads);
    }

    /** One outage hits the workers of all dispatchers: their trials must not come back together. */
    @Test
    void trialsAndRestsAfterACommonOutageAreSpread() {
        List<Double> spreads = new ArrayList<>();
        for (Outcome outcome : new Outcome[] {Outcome.CONNECT_FAILED, Outcome.FULL}) {
            Rig.Plan plan = new Rig.Plan();
            plan.maxAttempts = 1;
            plan.classes = List.of(Rig.jobClass(Effect.SAFE, Group.ALL));
            List<Rig> all = start(plan, "a");
            long begin = all.get(0).now;
            List<Long> asked = play(all, 120 * Rig.S, 5 * Rig.MS, outcome);
            spreads.add(spread(outcome.name(), asked, begin + 20 * Rig.S, begin + 120 * Rig.S));
        }
        assertTrue(spreads.stream().allMatch(x -> x < 3), "spreads " + spreads);
    }

    /** Refused at one instant, clients must not be told to come back at one; and none sooner than is of use. */
    @Test
    void whatRefusedClientsAreToldIsSpreadAndNeverTooShort() {
        Rig.Plan plan = new Rig.Plan();
        plan.maxRetryAfter = 10 * Rig.S;
        List<Rig> all = start(plan, "a");
        List<Long> back = new ArrayList<>();
        for (Rig rig : all) {
            for (long id = 1; id <= 6; id++) {
                rig.ask(id);
            }
            long at = rig.now;
            for (long id = 7; id <= 12; id++) {
                rig.ask(id, 0, -1, 10 * Rig.MS, false);
                long told = rig.retryAfters.get(id);
                // four held jobs beside two slots: two rounds of 500 ms
                assertTrue(told >= Rig.S, "told " + told);
                back.add(at + told);
            }
        }
        long from = all.get(0).now;
        double spread = spread("told to come back", back, from, from + 2 * Rig.S);
        assertTrue(spread < 40, "spread " + spread);
    }
}
