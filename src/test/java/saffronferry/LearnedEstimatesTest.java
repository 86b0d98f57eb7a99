package saffronferry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.Idempotency;

/** Estimates for workers that several dispatchers use. */
class LearnedEstimatesTest {
    private final LearnedEstimates estimates =
            new LearnedEstimates(2, List.of(DispatcherHarness.jobClass(Idempotency.SAFE, DedupScope.ALL)), 500_000);

    @Test
    void availableAndTotalSlotsAreLearnedSeparately() {
        for (int i = 0; i < 40; i++) {
            estimates.recordSlots(0, 1.2); // slots left by other dispatchers
            estimates.recordFreeSlots(0, i % 4 == 0 ? 5 : 0); // one report in four is from an idle worker
        }
        assertEquals(1.2, estimates.availableSlots(0), 0.01);
        assertTrue(
                estimates.totalSlots(0) > 4.5 && estimates.totalSlots(0) <= 5,
                "total slots " + estimates.totalSlots(0));
        estimates.recordFreeSlots(0, 1e9);
        estimates.recordFreeSlots(0, Double.NaN);
        assertTrue(estimates.totalSlots(0) <= 5, "an absurd report is ignored");
        assertEquals(estimates.availableSlots(1), estimates.totalSlots(1), "no report yet");
    }

    @Test
    void aJobTakesLongerOnASlowKind() {
        for (int i = 0; i < 400; i++) {
            estimates.recordRunTime(0, i % 2, i % 2 == 0 ? 400_000 : 800_000);
        }
        Contract.Request job = new Contract.Request(1, 0, 0, 0, 1, false);
        assertEquals(2, estimates.expectedSlotTime(job, 1) / estimates.expectedSlotTime(job, 0), 0.1);
        assertTrue(
                estimates.expectedSlotTime(job, 0) < 500_000,
                "expected slot time " + estimates.expectedSlotTime(job, 0));
    }
}
