package saffronferry;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static saffronferry.DispatcherHarness.MS;
import static saffronferry.DispatcherHarness.S;

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
    private static final long SLOT = 25 * MS;

    private static List<DispatcherHarness> start(DispatcherHarness.Options options, String... workers) {
        List<DispatcherHarness> all = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS; i++) {
            options.seed = 1_000 + i;
            DispatcherHarness harness = new DispatcherHarness(options.settings());
            harness.list(Arrays.stream(workers).map(DispatcherHarness::worker).toArray(Contract.WorkerInfo[]::new));
            all.add(harness);
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

    private static List<Long> told(List<DispatcherHarness> all, String action) {
        List<Long> times = new ArrayList<>();
        all.forEach(harness -> harness.trace.stream()
                .filter(line -> line.contains(" " + action + " "))
                .mapToLong(line -> Long.parseLong(line.substring(0, line.indexOf(' '))))
                .distinct()
                .forEach(times::add));
        return times;
    }

    /** Requests at a rate of their own for each dispatcher; whatever is sent ends so. When it was sent. */
    private static List<Long> play(List<DispatcherHarness> all, long span, long every, Outcome outcome) {
        List<Long> sent = new ArrayList<>();
        for (DispatcherHarness harness : all) {
            long end = harness.now + span;
            int seen = harness.sends.size();
            long id = 1_000_000 + harness.now;
            while (harness.now < end) {
                harness.request(++id, 0, -1, 200 * MS, false);
                harness.advance(every);
                for (; seen < harness.sends.size(); seen++) {
                    DispatcherHarness.Send s = harness.sends.get(seen);
                    sent.add(s.at());
                    harness.endAttempt(s.id(), s.attempt(), outcome);
                }
            }
        }
        return sent;
    }

    /** Exchange and probes: over two minutes from a common start, and two more after a common stop of 20 s. */
    @Test
    void exchangesAndProbesOfAFleetThatStartsTogetherDoNotKeepStep() {
        DispatcherHarness.Options options = new DispatcherHarness.Options();
        options.peers = DISPATCHERS;
        options.zones = 2;
        options.peerPrice = 1; // messages are dear: the period is its longest
        List<DispatcherHarness> all = start(options, "a", "b", "c");
        long begin = all.get(0).now;
        play(all, 120 * S, 250 * MS, Outcome.OK);
        all.forEach(harness -> harness.now = begin + 140 * S); // stopped: what is overdue comes at one instant
        play(all, 120 * S, 250 * MS, Outcome.OK);
        List<Double> spreads = new ArrayList<>();
        for (String action : new String[] {"tell", "probe"}) {
            List<Long> times = told(all, action);
            for (long from : new long[] {begin + 20 * S, begin + 160 * S}) {
                spreads.add(spread(action, times, from, from + 99 * S));
            }
        }
        assertTrue(spreads.stream().allMatch(x -> x < 3), "spreads " + spreads);
    }

    /** One outage hits the workers of all dispatchers: their trials must not come back together. */
    @Test
    void trialsAndRestsAfterACommonOutageAreSpread() {
        List<Double> spreads = new ArrayList<>();
        for (Outcome outcome : new Outcome[] {Outcome.CONNECT_FAILED, Outcome.FULL}) {
            DispatcherHarness.Options options = new DispatcherHarness.Options();
            options.maxAttempts = 1;
            options.classes = List.of(DispatcherHarness.jobClass(Effect.SAFE, Group.ALL));
            List<DispatcherHarness> all = start(options, "a");
            long begin = all.get(0).now;
            List<Long> asked = play(all, 120 * S, 5 * MS, outcome);
            spreads.add(spread(outcome.name(), asked, begin + 20 * S, begin + 120 * S));
        }
        assertTrue(spreads.stream().allMatch(x -> x < 3), "spreads " + spreads);
    }

    /** Refused at one instant, clients must not be told to come back at one; and none sooner than is of use. */
    @Test
    void whatRefusedClientsAreToldIsSpreadAndNeverTooShort() {
        DispatcherHarness.Options options = new DispatcherHarness.Options();
        options.maxRetryAfter = 10 * S;
        List<DispatcherHarness> all = start(options, "a");
        List<Long> back = new ArrayList<>();
        for (DispatcherHarness harness : all) {
            for (long id = 1; id <= 6; id++) {
                harness.request(id);
            }
            long at = harness.now;
            for (long id = 7; id <= 12; id++) {
                harness.request(id, 0, -1, 10 * MS, false);
                long told = harness.retryAfters.get(id);
                // four held jobs beside two slots: two rounds of 500 ms
                assertTrue(told >= S, "told " + told);
                back.add(at + told);
            }
        }
        long from = all.get(0).now;
        double spread = spread("told to come back", back, from, from + 2 * S);
        assertTrue(spread < 40, "spread " + spread);
    }
}
