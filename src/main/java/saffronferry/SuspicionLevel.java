package saffronferry;

import saffronferry.Book.Attempt;
import saffronferry.Book.Worker;

/** How improbable a worker's silence is, if it is well. {@link Dispatcher} decides what follows from it. */
final class SuspicionLevel {
    private static final long START_NOTICE = 400_000; // where starts are told: silent too long
    private static final double NOTICE_NATS = 2; // how strong: the slot may not have been free
    private static final double NO_PROGRESS_NATS = 8; // nothing told in three times the time between notes

    private SuspicionLevel() {}

    /** What the running times of their classes make of all our jobs there staying unanswered, in nats. */
    static double nats(Worker w, long now, LearnedEstimates known, Contract.Settings s) {
        double nats = 0;
        long quietFrom = Math.max(w.lastSign, w.busySince);
        for (Attempt a : w.attempts) {
            if (a.cancelled) {
                continue;
            }
            long since = Math.max(a.sentAt, quietFrom);
            double m = known.mean[a.job.request.jobClass()] * Math.max(1, w.speed);
            nats += s.tellsStart() && a.startedAt == 0 && now - since > START_NOTICE ? NOTICE_NATS : 0;
            boolean told = s.progressEvery() > 0 && a.lastNote > 0;
            nats += told && now - a.lastNote > 3 * s.progressEvery() ? NO_PROGRESS_NATS : 0;
            // a heavy tail is assumed: a long job alone proves little
            nats += 3 * Math.log((2 * m + now - a.sentAt) / (2 * m + since - a.sentAt));
        }
        return nats;
    }
}
