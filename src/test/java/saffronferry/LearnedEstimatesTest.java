package saffronferry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.Idempotency;

/** Estimates for workers that several dispatchers use. */
class LearnedEstimatesTest {
    private final LearnedEstimates known = new LearnedEstimates(2, List.of(DispatcherHarness.jobClass(Idempotency.SAFE, DedupScope.ALL)), 500_000);

    @Test
    void availableAndTotalSlotsAreLearnedSeparately() {
        for (int i = 0; i < 40; i++) {
            known.recordSlots(0, 1.2); // slots left by other dispatchers
            known.recordFreeSlots(0, i % 4 == 0 ? 5 : 0); // one report in four is from an idle worker
        }
        assertEquals(1.2, known.availableSlots(0), 0.01);
        assertTrue(known.totalSlots(0) > 4.5 && known.totalSlots(0) <= 5, "whole " + known.totalSlots(0));
        known.recordFreeSlots(0, 1e9);
        known.recordFreeSlots(0, Double.NaN);
        assertTrue(known.totalSlots(0) <= 5, "an absurd report is ignored");
        assertEquals(known.availableSlots(1), known.totalSlots(1), "no report yet");
    }

    @Test
    void aJobTakesLongerOnASlowKind() {
        for (int i = 0; i < 400; i++) {
            known.recordRunTime(0, i % 2, i % 2 == 0 ? 400_000 : 800_000);
        }
        Contract.Request job = new Contract.Request(1, 0, 0, 0, 1, false);
        assertEquals(2, known.expectedSlotTime(job, 1) / known.expectedSlotTime(job, 0), 0.1);
        assertTrue(known.expectedSlotTime(job, 0) < 500_000, "cost " + known.expectedSlotTime(job, 0));
    }
}
