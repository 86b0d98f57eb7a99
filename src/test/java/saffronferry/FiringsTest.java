package saffronferry;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static saffronferry.DispatcherHarness.MS;
import static saffronferry.DispatcherHarness.S;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.Idempotency;
import saffronferry.Contract.Outcome;

/**
 * Timers of dispatchers that start together, or resume together after a common outage, must not fire in step. Firings
 * are counted in intervals of 25 ms; independent ones give a dispersion (variance over mean) of about 1.
 */
class FiringsTest {
    private static final int DISPATCHERS = 60;
    private static final long INTERVAL_US = 25 * MS;

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

    /** Variance over mean of the number of firings in each interval of a span. */
    private static double dispersion(String what, List<Long> firings, long from, long until) {
        int[] counts = new int[(int) ((until - from) / INTERVAL_US)];
        firings.stream()
                .filter(t -> t >= from && t < until)
                .forEach(t -> counts[(int) Math.min(counts.length - 1, (t - from) / INTERVAL_US)]++);
        double mean = Arrays.stream(counts).average().orElse(0);
        double variance = Arrays.stream(counts)
                .mapToDouble(n -> (n - mean) * (n - mean))
                .average()
                .orElse(0);
        double result = mean == 0 ? 0 : variance / mean;
        System.out.printf(
                Locale.ROOT,
                "%s: %d in %d intervals, at most %d in one, dispersion %.2f%n",
                what,
                Arrays.stream(counts).sum(),
                counts.length,
                Arrays.stream(counts).max().orElse(0),
                result);
        return result;
    }

    /** The times at which the dispatchers did an action. */
    private static List<Long> timesOf(List<DispatcherHarness> all, String action) {
        List<Long> times = new ArrayList<>();
        all.forEach(harness -> harness.trace.stream()
                .filter(line -> line.contains(" " + action + " "))
                .mapToLong(line -> Long.parseLong(line.substring(0, line.indexOf(' '))))
                .distinct()
                .forEach(times::add));
        return times;
    }

    /** Sends requests to each dispatcher and ends all attempts with one outcome; returns when attempts were sent. */
    private static List<Long> sendRequests(List<DispatcherHarness> all, long span, long every, Outcome outcome) {
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

    /** Exchanges and probes, for two minutes after a common start and two more after a common stop of 20 s. */
    @Test
    void exchangesAndProbesOfAFleetThatStartsTogetherAreSpread() {
        DispatcherHarness.Options options = new DispatcherHarness.Options();
        options.peers = DISPATCHERS;
        options.zones = 2;
        options.peerPrice = 1; // messages are expensive: the exchange period is at its maximum
        List<DispatcherHarness> all = start(options, "a", "b", "c");
        long begin = all.get(0).now;
        sendRequests(all, 120 * S, 250 * MS, Outcome.OK);
        all.forEach(harness -> harness.now = begin + 140 * S); // after the stop all overdue timers fire at once
        sendRequests(all, 120 * S, 250 * MS, Outcome.OK);
        List<Double> dispersions = new ArrayList<>();
        for (String action : new String[] {"tell", "probe"}) {
            List<Long> times = timesOf(all, action);
            for (long from : new long[] {begin + 20 * S, begin + 160 * S}) {
                dispersions.add(dispersion(action, times, from, from + 99 * S));
            }
        }
        assertTrue(dispersions.stream().allMatch(x -> x < 3), "dispersions " + dispersions);
    }

    /** After an outage of the workers of all dispatchers, their trials must not come at the same time. */
    @Test
    void trialsAndBackoffsAfterACommonOutageAreSpread() {
        List<Double> dispersions = new ArrayList<>();
        for (Outcome outcome : new Outcome[] {Outcome.CONNECT_FAILED, Outcome.FULL}) {
            DispatcherHarness.Options options = new DispatcherHarness.Options();
            options.maxAttempts = 1;
            options.classes = List.of(DispatcherHarness.jobClass(Idempotency.SAFE, DedupScope.ALL));
            List<DispatcherHarness> all = start(options, "a");
            long begin = all.get(0).now;
            List<Long> sent = sendRequests(all, 120 * S, 5 * MS, outcome);
            dispersions.add(dispersion(outcome.name(), sent, begin + 20 * S, begin + 120 * S));
        }
        assertTrue(dispersions.stream().allMatch(x -> x < 3), "dispersions " + dispersions);
    }

    /** Clients refused at one time must not retry at one time, nor before there can be a free slot. */
    @Test
    void retryAfterIsSpreadAndNeverTooShort() {
        DispatcherHarness.Options options = new DispatcherHarness.Options();
        options.maxRetryAfter = 10 * S;
        List<DispatcherHarness> all = start(options, "a");
        List<Long> retryTimes = new ArrayList<>();
        for (DispatcherHarness harness : all) {
            for (long id = 1; id <= 6; id++) {
                harness.request(id);
            }
            long at = harness.now;
            for (long id = 7; id <= 12; id++) {
                harness.request(id, 0, -1, 10 * MS, false);
                long retryAfter = harness.retryAfters.get(id);
                // four held jobs for two slots: two rounds of 500 ms
                assertTrue(retryAfter >= S, "retry after " + retryAfter);
                retryTimes.add(at + retryAfter);
            }
        }
        long from = all.get(0).now;
        double dispersion = dispersion("retry after", retryTimes, from, from + 2 * S);
        assertTrue(dispersion < 40, "dispersion " + dispersion);
    }
}
