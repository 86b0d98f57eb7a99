package saffronferry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;

/** Many dispatchers together must not overload a cold worker. */
class ColdBudgetTest {
    private static final int DISPATCHERS = 8;
    private static final long JOB = 400 * Rig.MS;
    private static final int SLOTS = 5;

    /** Sends to the cold worker, by time after its start. If {@code silent}, no peer message is ever delivered. */
    private static List<Long> sendsToCold(boolean silent) {
        Rig.Plan plan = new Rig.Plan();
        plan.peers = DISPATCHERS;
        List<Rig> rigs = new ArrayList<>();
        WorkerInfo[] warm = new WorkerInfo[8];
        for (int i = 0; i < warm.length; i++) {
            warm[i] = Rig.worker("warm" + i);
        }
        for (int d = 0; d < DISPATCHERS; d++) {
            plan.self = d;
            plan.seed = 7 + d;
            rigs.add(new Rig(plan.settings()).list(warm));
        }
        int[] read = new int[DISPATCHERS];
        int[] done = new int[DISPATCHERS];
        long id = 1;
        long coldAt = rigs.get(0).now + (silent ? 500 * Rig.MS : 3 * Rig.S);
        long start = rigs.get(0).now;
        List<Long> cold = new ArrayList<>();
        for (long t = 0; t < 6 * Rig.S; t += 5 * Rig.MS) {
            for (int d = 0; d < DISPATCHERS; d++) {
                Rig rig = rigs.get(d);
                if (start + t == coldAt) {
                    rig.change(Rig.worker("cold", 0, WorkerState.IN_SERVICE, coldAt));
                }
                String reporting = "warm" + t / (5 * Rig.MS) % warm.length;
                rig.report(reporting, Math.max(0, SLOTS - running(rigs, done, reporting)));
                rig.ask(id++);
                for (; done[d] < rig.sends.size() && rig.sends.get(done[d]).at() + JOB <= rig.now; done[d]++) {
                    Rig.Send s = rig.sends.get(done[d]);
                    rig.answer(s.id(), s.attempt(), Outcome.OK);
                }
                rig.run(5 * Rig.MS);
                for (; read[d] < rig.told.size(); read[d]++) {
                    Rig to = rigs.get(rig.toldTo.get(read[d]));
                    if (!silent) {
                        to.module.peerMessage(to.now, d, rig.told.get(read[d]));
                    }
                }
            }
        }
        for (Rig rig : rigs) {
            rig.sends.stream().filter(s -> s.worker().equals("cold")).forEach(s -> cold.add(s.at() - coldAt));
        }
        cold.sort(null);
        return cold;
    }

    private static int running(List<Rig> rigs, int[] done, String worker) {
        int n = 0;
        for (int d = 0; d < rigs.size(); d++) {
            List<Rig.Send> sends = rigs.get(d).sends;
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
            while (k < sends.size() && sends.get(k) < from + Rig.S) {
                k++;
            }
            double share = 0.2 + 0.8 * Math.min(1, from / (10.0 * Rig.S));
            double budget = 3 * share * SLOTS * Rig.S; // allowed slot time within one second
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
