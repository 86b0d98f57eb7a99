package saffronferry;

import saffronferry.DispatcherState.Attempt;
import saffronferry.DispatcherState.Worker;

/** Computes how improbable a worker's silence would be if the worker were healthy. */
final class SuspicionLevel {
    /** Time without a start report after which it counts as missing, where workers report job starts. */
    private static final long START_REPORT_TIMEOUT_US = 400_000;
    /** Evidence of a missing start report; weak, because the slot may not have been free. */
    private static final double MISSING_START_NATS = 2;
    /** Evidence of a missing progress report. */
    private static final double MISSING_PROGRESS_NATS = 8;
    /** Progress counts as missing after this many report intervals. */
    private static final int MISSED_PROGRESS_REPORTS = 3;

    private SuspicionLevel() {}

    /** Negative log-probability, in nats, that a healthy worker has answered none of our jobs there yet. */
    static double nats(Worker worker, long now, LearnedEstimates estimates, Contract.Settings settings) {
        double nats = 0;
        long quietFrom = Math.max(worker.lastSignOfLifeAt, worker.busySince);
        for (Attempt attempt : worker.attempts) {
            if (attempt.cancelled) {
                continue;
            }
            long since = Math.max(attempt.sentAt, quietFrom);
            double mean = estimates.meanRunTime[attempt.job.request.jobClass()] * Math.max(1, worker.runningTimeRatio);
            boolean startMissing =
                    settings.reportsJobStart() && attempt.startedAt == 0 && now - since > START_REPORT_TIMEOUT_US;
            nats += startMissing ? MISSING_START_NATS : 0;
            boolean progressMissing = settings.progressInterval() > 0
                    && attempt.lastProgressAt > 0
                    && now - attempt.lastProgressAt > MISSED_PROGRESS_REPORTS * settings.progressInterval();
            nats += progressMissing ? MISSING_PROGRESS_NATS : 0;
            // A heavy-tailed running time is assumed, so that one long job alone is little evidence.
            nats += 3 * Math.log((2 * mean + now - attempt.sentAt) / (2 * mean + since - attempt.sentAt));
        }
        return nats;
    }
}
