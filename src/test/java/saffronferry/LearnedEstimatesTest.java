package saffronferry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import saffronferry.Contract.Effect;
import saffronferry.Contract.Group;

/** Estimates for workers that several dispatchers use. */
class LearnedEstimatesTest {
    private final LearnedEstimates known =
            new LearnedEstimates(2, List.of(DispatcherHarness.jobClass(Effect.SAFE, Group.ALL)), 500_000);

    @Test
    void availableAndTotalSlotsAreLearnedSeparately() {
        for (int i = 0; i < 40; i++) {
            known.learnSlots(0, 1.2); // slots left by other dispatchers
            known.learnIdle(0, i % 4 == 0 ? 5 : 0); // one report in four is from an idle worker
        }
        assertEquals(1.2, known.ours(0), 0.01);
        assertTrue(known.whole(0) > 4.5 && known.whole(0) <= 5, "whole " + known.whole(0));
        known.learnIdle(0, 1e9);
        known.learnIdle(0, Double.NaN);
        assertTrue(known.whole(0) <= 5, "an absurd report is ignored");
        assertEquals(known.ours(1), known.whole(1), "no report yet");
    }

    @Test
    void aJobTakesLongerOnASlowKind() {
        for (int i = 0; i < 400; i++) {
            known.ran(0, i % 2, i % 2 == 0 ? 400_000 : 800_000);
        }
        Contract.Request job = new Contract.Request(1, 0, 0, 0, 1, false);
        assertEquals(2, known.cost(job, 1) / known.cost(job, 0), 0.1);
        assertTrue(known.cost(job, 0) < 500_000, "cost " + known.cost(job, 0));
    }
}
