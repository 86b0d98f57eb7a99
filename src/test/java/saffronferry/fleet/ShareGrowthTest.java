package saffronferry.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Shares that grow on evidence from the cold worker: those of failed dispatchers get used, others are kept free. */
class ShareGrowthTest {
    private static final int STEP = 5_000;
    private static final double JOB = 600_000;
    private static final int SLOTS = 5;
    private static final double SPEED = 0.33;
    private static final double RATE = 1.5 * SLOTS * SPEED;

    /**
     * The largest load within 3 s as a multiple of the worker's capacity, and the time in seconds at which the load
     * within 2 s first reached nine tenths of it.
     */
    private record Outcome(double multiple, double at) {}

    /**
     * Simulates {@code living} of {@code n} dispatchers, without messages between them and always with jobs to send. If
     * {@code blind}, they take every job for promptly started.
     */
    private static Outcome simulate(int n, int live, boolean blind) {
        ColdShares[] shares = new ColdShares[live];
        ColdBudget[] budgets = new ColdBudget[live];
        int[] jobsAtWorker = new int[live];
        for (int i = 0; i < live; i++) {
            shares[i] = new ColdShares(i, n);
            budgets[i] = new ColdBudget();
        }
        List<double[]> running = new ArrayList<>(); // owner, work left
        List<long[]> queue = new ArrayList<>(); // owner, sent at
        double[] sent = new double[8_600_000 / STEP];
        double maxMultiple = 0;
        double reachedAt = Double.MAX_VALUE;
        for (int t = 0; t < sent.length; t++) {
            long now = 1_000_000_000L + (long) t * STEP;
            running.forEach(r -> r[1] -= STEP * SPEED);
            for (double[] finished : running.stream().filter(r -> r[1] <= 0).toList()) {
                running.remove(finished);
                jobsAtWorker[(int) finished[0]]--;
            }
            while (running.size() < SLOTS && !queue.isEmpty()) {
                long[] next = queue.remove(0);
                running.add(new double[] {next[0], JOB});
                if (!blind) {
                    budgets[(int) next[0]].growth.jobStarted(now, next[1]);
                }
            }
            for (int i = 0; i < live; i++) {
                double part = Math.min(1, 1.0 / n * budgets[i].growth.factor(now));
                while (jobsAtWorker[i] < SLOTS && budgets[i].covers(JOB, now, part, RATE, shares[i].phase(7))) {
                    budgets[i].spend(JOB);
                    sent[t] += JOB;
                    boolean full = queue.size() >= 10;
                    if (blind) {
                        budgets[i].growth.jobStarted(now, now);
                    } else if (full) {
                        budgets[i].growth.jobWaited(now);
                    } else {
                        budgets[i].growth.jobSent(now);
                    }
                    if (!full) {
                        jobsAtWorker[i]++;
                        queue.add(new long[] {i, now});
                    }
                }
            }
            double sum = 0;
            double sentInTwoSeconds = 0;
            for (int k = Math.max(0, t - 3_000_000 / STEP + 1); k <= t; k++) {
                sum += sent[k];
                sentInTwoSeconds += k > t - 2_000_000 / STEP ? sent[k] : 0;
            }
            maxMultiple = Math.max(maxMultiple, sum / (3e6 * SLOTS * SPEED));
            boolean nearCapacity = sentInTwoSeconds >= 0.9 * 2e6 * SLOTS * SPEED;
            reachedAt = nearCapacity ? Math.min(reachedAt, t * STEP / 1e6) : reachedAt;
        }
        return new Outcome(maxMultiple, reachedAt);
    }

    @Test
    void sharesOfFailedDispatchersAreUsedAndThoseOfLiveOnesAreNot() {
        record Case(int n, int live, double atMost, double within) {}

        for (Case c : new Case[] {
            new Case(2, 2, 2.3, 3),
            new Case(8, 8, 2.3, 3),
            new Case(16, 16, 2.3, 3),
            new Case(48, 48, 2.3, 3),
            new Case(16, 5, 2.3, 4),
            new Case(16, 2, 2.3, 7),
            new Case(8, 1, 2.3, 5)
        }) {
            Outcome outcome = simulate(c.n, c.live, false);
            assertTrue(outcome.multiple <= c.atMost && outcome.at <= c.within, c + ": " + outcome);
        }
        Outcome blind = simulate(8, 8, true);
        assertTrue(blind.multiple > 3, "growth without evidence overloads the worker: " + blind);
    }

    @Test
    void aWaitingJobResetsGrowthAndMissingJobsHalveIt() {
        ShareGrowth growth = new ShareGrowth();
        long now = 10_000_000;
        for (int i = 0; i < 4; i++) {
            growth.jobSent(now);
            growth.jobStarted(now + 20_000, now);
            now += ShareGrowth.DOUBLING_TIME_US;
            growth.factor(now);
        }
        assertEquals(16, growth.factor(now));
        now += ShareGrowth.HALVING_TIME_US;
        assertEquals(8, growth.factor(now), "no jobs, no evidence");
        growth.jobSent(now);
        assertEquals(8, growth.factor(now + ShareGrowth.MAX_START_DELAY_US));
        assertEquals(1, growth.factor(now + ShareGrowth.MAX_START_DELAY_US + 1), "its start was not reported");
        now += ShareGrowth.MAX_START_DELAY_US + 1;
        growth.jobSent(now);
        growth.jobStarted(now + 1, now);
        assertEquals(1, growth.factor(now + ShareGrowth.DOUBLING_TIME_US), "too soon after a wait");
        assertEquals(2, growth.factor(now + 2 * ShareGrowth.DOUBLING_TIME_US));
        growth.reset();
        assertEquals(1, growth.factor(now + 2 * ShareGrowth.DOUBLING_TIME_US + 1), "after a restart of the worker");
    }
}
