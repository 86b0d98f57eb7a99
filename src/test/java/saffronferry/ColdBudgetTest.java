package saffronferry;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static saffronferry.DispatcherHarness.MS;
import static saffronferry.DispatcherHarness.S;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;

/** Many dispatchers together must not overload a cold worker. */
class ColdBudgetTest {
    private static final int DISPATCHERS = 8;
    private static final long JOB = 400 * MS;
    private static final int SLOTS = 5;

    /** Sends to the cold worker, by time after its start. If {@code silent}, no peer message is ever delivered. */
    private static List<Long> sendsToCold(boolean silent) {
        DispatcherHarness.Options options = new DispatcherHarness.Options();
        options.peers = DISPATCHERS;
        List<DispatcherHarness> harnesses = new ArrayList<>();
        WorkerInfo[] warm = new WorkerInfo[8];
        for (int i = 0; i < warm.length; i++) {
            warm[i] = DispatcherHarness.worker("warm" + i);
        }
        for (int d = 0; d < DISPATCHERS; d++) {
            options.self = d;
            options.seed = 7 + d;
            harnesses.add(new DispatcherHarness(options.settings()).list(warm));
        }
        int[] read = new int[DISPATCHERS];
        int[] done = new int[DISPATCHERS];
        long id = 1;
        long coldAt = harnesses.get(0).now + (silent ? 500 * MS : 3 * S);
        long start = harnesses.get(0).now;
        List<Long> cold = new ArrayList<>();
        for (long t = 0; t < 6 * S; t += 5 * MS) {
            for (int d = 0; d < DISPATCHERS; d++) {
                DispatcherHarness harness = harnesses.get(d);
                if (start + t == coldAt) {
                    harness.change(DispatcherHarness.worker("cold", 0, WorkerState.IN_SERVICE, coldAt));
                }
                String reporting = "warm" + t / (5 * MS) % warm.length;
                harness.report(reporting, Math.max(0, SLOTS - running(harnesses, done, reporting)));
                harness.request(id++);
                for (;
                        done[d] < harness.sends.size()
                                && harness.sends.get(done[d]).at() + JOB <= harness.now;
                        done[d]++) {
                    DispatcherHarness.Send s = harness.sends.get(done[d]);
                    harness.endAttempt(s.id(), s.attempt(), Outcome.OK);
                }
                harness.advance(5 * MS);
                for (; read[d] < harness.sentMessages.size(); read[d]++) {
                    DispatcherHarness to = harnesses.get(harness.messageReceivers.get(read[d]));
                    if (!silent) {
                        to.dispatcher.peerMessage(to.now, d, harness.sentMessages.get(read[d]));
                    }
                }
            }
        }
        for (DispatcherHarness harness : harnesses) {
            harness.sends.stream().filter(s -> s.worker().equals("cold")).forEach(s -> cold.add(s.at() - coldAt));
        }
        cold.sort(null);
        return cold;
    }

    private static int running(List<DispatcherHarness> harnesses, int[] done, String worker) {
        int n = 0;
        for (int d = 0; d < harnesses.size(); d++) {
            List<DispatcherHarness.Send> sends = harnesses.get(d).sends;
            n += (int) sends.subList(done[d], sends.size()).stream()
                    .filter(s -> s.worker().equals(worker))
                    .count();
        }
        return n;
    }

    private static void check(List<Long> sends) {
        for (int i = 0; i < sends.size(); i++) {
            long from = sends.get(i);
            int k = i;
            while (k < sends.size() && sends.get(k) < from + S) {
                k++;
            }
            double share = 0.2 + 0.8 * Math.min(1, from / (10.0 * S));
            double budget = 3 * share * SLOTS * S; // allowed slot time within one second
            assertTrue((k - i) * JOB <= budget + JOB, (k - i) + " jobs within a second at " + from);
        }
    }

    @Test
    void dispatchersInContactStayWithinTheBudget() {
        List<Long> sends = sendsToCold(false);
        assertTrue(sends.size() >= 3, "a cold worker must be warmed up: " + sends.size());
        check(sends);
    }

    @Test
    void dispatchersWithoutContactStayWithinTheBudget() {
        check(sendsToCold(true));
    }
}
