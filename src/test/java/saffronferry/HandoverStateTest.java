package saffronferry;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.settings.SettingsReader;

/** Two processes of one dispatcher while one replaces the other: how each uses the other's state. */
class HandoverStateTest {
    private static final long S = 1_000_000;

    private static Balancer balancer() throws Exception {
        JSONObject config = new JSONObject(Files.readString(Path.of("examples/config.json")));
        Balancer b = new Balancer(new SettingsReader(7, config.getJSONObject("settings")).settings);
        b.report(
                S,
                new BalancerEvent.Resolved(
                        ListKind.WARM_COPY, List.of(new WorkerInfo("w", WorkerState.IN_SERVICE, 0, 0, 0, 1))));
        return b;
    }

    private static int sent(List<BalancerAction> steps) {
        return (int) steps.stream()
                .filter(BalancerAction.StartAttempt.class::isInstance)
                .count();
    }

    /** Submits a number of jobs at once and returns how many of them are sent. */
    private static int fill(Balancer b, long now, int jobs) {
        int n = 0;
        for (int i = 0; i < jobs; i++) {
            n += sent(b.pick(now, new Request(i + 1, 0, 0, now + 6 * S, 1, false)));
        }
        return n;
    }

    /** A balancer that has learned from reports that the worker has six slots. */
    private static Balancer balancerWithEstimates() throws Exception {
        Balancer b = balancer();
        for (int i = 1; i <= 10; i++) {
            b.report(S + i, new BalancerEvent.Probed("w", Outcome.OK, new Report(Double.NaN, Double.NaN, 6)));
        }
        return b;
    }

    @Test
    void aNewProcessStartsWithTheEstimatesOfTheOther() throws Exception {
        Balancer fresh = balancer();
        assertEquals(2, fill(fresh, 2 * S, 9), "without estimates: two slots per worker");
        Balancer next = balancer();
        next.report(
                2 * S,
                new BalancerEvent.OtherProcessState(new HandoverState(
                        Map.of(), balancerWithEstimates().handoverState().learned())));
        assertEquals(6, fill(next, 2 * S, 9));
    }

    @Test
    void slotsThatTheOtherProcessUsesCountAsTakenUntilItsNextState() throws Exception {
        Balancer b = balancerWithEstimates();
        b.report(
                2 * S,
                new BalancerEvent.OtherProcessState(new HandoverState(Map.of("w", 4, "unknown", 3), new double[0])));
        assertEquals(2, fill(b, 2 * S, 6));
        assertEquals(Map.of("w", 2), b.handoverState().busySlots());
        BalancerEvent three = new BalancerEvent.OtherProcessState(new HandoverState(Map.of("w", 3), new double[0]));
        assertEquals(1, sent(b.report(2 * S + 10_000, three)));
        assertEquals(3, sent(b.report(2 * S + 20_000, new BalancerEvent.OtherProcessState(HandoverState.NONE))));
    }

    /** If the other process's jobs were not counted, reports during an upgrade would make the worker seem smaller. */
    @Test
    void slotEstimatesAccountForJobsOfTheOtherProcess() throws Exception {
        Balancer b = balancer();
        long now = 2 * S;
        b.report(now, new BalancerEvent.OtherProcessState(new HandoverState(Map.of("w", 4), new double[0])));
        for (int i = 0; i < 40; i++) {
            now += S;
            b.tick(now, 1);
            b.report(now, new BalancerEvent.Probed("w", Outcome.OK, new Report(Double.NaN, Double.NaN, 2)));
        }
        b.report(now, new BalancerEvent.OtherProcessState(HandoverState.NONE));
        assertEquals(6, fill(b, now, 9));
    }

    @Test
    void invalidEstimatesAreIgnored() throws Exception {
        double[] before = balancer().handoverState().learned();
        double[] infinite = before.clone();
        infinite[0] = Double.POSITIVE_INFINITY;
        double[] negative = before.clone();
        negative[1] = -1;
        for (double[] learned : new double[][] {{}, {1, 2, 3}, infinite, negative}) {
            Balancer b = balancer();
            b.report(2 * S, new BalancerEvent.OtherProcessState(new HandoverState(new HashMap<>(), learned)));
            assertArrayEquals(before, b.handoverState().learned());
        }
        Balancer withOwnEstimates = balancerWithEstimates();
        double[] own = withOwnEstimates.handoverState().learned();
        withOwnEstimates.report(2 * S, new BalancerEvent.OtherProcessState(new HandoverState(Map.of(), before)));
        assertArrayEquals(
                own, withOwnEstimates.handoverState().learned(), "a process with estimates of its own keeps them");
        assertTrue(own[0] > 5);
    }

    /** Number of jobs sent to a cold worker in its first seconds, each of which ends as soon as it is sent. */
    private static int sentToColdWorker(Balancer b) {
        b.report(
                2 * S,
                new BalancerEvent.Resolved(
                        ListKind.WHOLE, List.of(new WorkerInfo("cold", WorkerState.IN_SERVICE, 0, 0, 2 * S, 1))));
        int n = 0;
        for (int i = 1; i <= 100; i++) {
            long now = 2 * S + i * 50_000L;
            for (BalancerAction step : b.pick(now, new Request(i, 0, 0, now + 6 * S, 1, false))) {
                if (step instanceof BalancerAction.StartAttempt a) {
                    n++;
                    b.report(now, new BalancerEvent.AttemptEnded(a.rpc(), 0, Outcome.OK, 500_000, true, null));
                }
            }
            b.tick(now, 1);
        }
        return n;
    }

    /** Both processes together may send to a cold worker what one may send alone. */
    @Test
    void bothProcessesShareTheBudgetOfColdWorkers() throws Exception {
        int alone = sentToColdWorker(balancerWithEstimates());
        Balancer one = balancerWithEstimates();
        one.report(2 * S, new BalancerEvent.OtherProcessState(new HandoverState(Map.of(), new double[] {1})));
        int withOtherProcess = sentToColdWorker(one);
        assertTrue(
                withOtherProcess > 0 && withOtherProcess <= alone / 2 + 1,
                withOtherProcess + " with another process, " + alone + " alone");
    }
}
