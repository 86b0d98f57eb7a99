package saffronferry.lab.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.scenario.Scenario.WorkerKind;

/**
 * An emulated worker. Jobs in its slots share its cores; further jobs wait in FIFO order, or are rejected when
 * the queue is full. Its speed falls with the number of jobs it holds. A cold worker starts with a share of its
 * capacity, which grows with time and with work done.
 */
final class Worker {
    private static final long COLD_UPDATE_INTERVAL_US = 100_000;

    final String address;
    final int zone;
    final int kindIndex;
    final int cell;
    final WorkerKind kind;
    private final double speed;
    private final EventScheduler scheduler;
    private final Scenario.Reports reports;
    private final UniformRandomProvider random;
    private final List<Job> running = new ArrayList<>();
    private final Deque<Job> queue = new ArrayDeque<>();
    private boolean up = true;
    private boolean draining;
    private boolean hung;
    private boolean frozenReports;
    private double slowdownFactor = 1;
    private long coldStartedAt;
    private double workSinceStart;
    private long advancedAt;
    private long scheduleVersion;
    private Report lastReport;
    private long lastReportAt = Long.MIN_VALUE / 2;

    Worker(
            String address,
            int zone,
            int kindIndex,
            int cell,
            Scenario scenario,
            EventScheduler scheduler,
            UniformRandomProvider random) {
        this.address = address;
        this.zone = zone;
        this.kindIndex = kindIndex;
        this.cell = cell;
        kind = scenario.kinds().get(kindIndex);
        this.scheduler = scheduler;
        this.random = random;
        reports = scenario.reports();
        // uniform distribution; its half width is sqrt(3) times the standard deviation
        speed = kind.speed() * (1 + kind.speedCv() * Math.sqrt(3) * (2 * random.nextDouble() - 1));
        advancedAt = scheduler.now();
    }

    WorkerInfo info() {
        WorkerState state = !up ? WorkerState.GONE : draining ? WorkerState.DRAINING : WorkerState.IN_SERVICE;
        return new WorkerInfo(address, state, kindIndex, zone, coldStartedAt, cell);
    }

    boolean up() {
        return up;
    }

    boolean hung() {
        return hung;
    }

    boolean cold() {
        return coldStartedAt != 0 && capacityShare() < 1;
    }

    /** The work it can currently do per second, in seconds at speed 1. */
    double capacity() {
        return up && !hung ? Math.min(kind.slots(), kind.cores()) * speed * capacityShare() / slowdownFactor : 0;
    }

    /** Work done since its start, in microseconds at speed 1. Does not change any state. */
    double workDone() {
        return workSinceStart + workRatePerJob() * (scheduler.now() - advancedAt) * running.size();
    }

    /** The work it can do per second when it is warm and not slowed down. */
    double fullCapacity() {
        return Math.min(kind.slots(), kind.cores()) * speed;
    }

    /** Jobs held per unit of capacity. Only {@code Policy.SIGHTED} may use it. */
    double load() {
        return (running.size() + queue.size() + 1) / Math.max(1e-6, capacity());
    }

    private double capacityShare() {
        if (coldStartedAt == 0 || kind.cold() == 0) {
            return 1;
        }
        double byTime = (scheduler.now() - coldStartedAt) / (double) kind.cold();
        double byWork = workSinceStart / (fullCapacity() * kind.cold() * 0.5);
        return Math.min(1, kind.coldFrom() + (1 - kind.coldFrom()) * Math.max(byTime, byWork));
    }

    // ---- lifecycle and faults ----

    void start(boolean cold) {
        advance();
        up = true;
        draining = false;
        hung = false;
        coldStartedAt = cold ? scheduler.now() : 0;
        workSinceStart = 0;
        scheduleCompletion();
    }

    /** Rejects new jobs from now on, and returns the queued ones to their dispatchers. */
    void drain() {
        advance();
        draining = true;
        while (!queue.isEmpty()) {
            endJob(queue.poll(), Outcome.FULL);
        }
        scheduleCompletion();
    }

    /** Ends the process, which resets all its connections. */
    void crash() {
        advance();
        up = false;
        List<Job> all = new ArrayList<>(running);
        all.addAll(queue);
        running.clear();
        queue.clear();
        all.forEach(job -> endJob(job, Outcome.RESET));
        scheduleCompletion();
    }

    void hang(boolean on) {
        advance();
        hung = on;
        scheduleCompletion();
    }

    void slow(double factor) {
        advance();
        slowdownFactor = factor;
        scheduleCompletion();
    }

    void freezeReports(boolean on) {
        advance();
        frozenReports = on;
    }

    // ---- jobs ----

    /** Accepts or rejects a job. The caller has checked that the process is up. */
    void deliver(Job job) {
        advance();
        if (draining || running.size() >= kind.slots() && queue.size() >= kind.queue()) {
            endJob(job, Outcome.FULL);
        } else if (running.size() < kind.slots()) {
            startJob(job);
        } else {
            queue.add(job);
        }
        scheduleCompletion();
    }

    private void startJob(Job job) {
        job.running = true;
        running.add(job);
        if (!hung) {
            job.dispatcher.deliverFromWorker(this, job.incarnation, n -> n.attemptMoved(job.rpc, job.attempt));
        }
    }

    void cancel(Job job) {
        if (!job.finished && (running.contains(job) || queue.contains(job))) {
            advance();
            job.finished = true;
            running.remove(job);
            queue.remove(job);
            startQueuedJobs();
            scheduleCompletion();
        }
    }

    private void endJob(Job job, Outcome outcome) {
        job.finished = true;
        if (!hung || outcome == Outcome.RESET) {
            job.dispatcher.deliverFromWorker(this, job.incarnation, n -> n.attemptEnded(job.rpc, job.attempt, outcome));
        }
    }

    private void startQueuedJobs() {
        while (running.size() < kind.slots() && !queue.isEmpty()) {
            startJob(queue.poll());
        }
    }

    /** Work done on each running job per unit of time. */
    private double workRatePerJob() {
        if (!up || hung || running.isEmpty()) {
            return 0;
        }
        double jobsHeld = running.size() + queue.size();
        double contentionFactor =
                jobsHeld > kind.thrashAt() ? 1 / (1 + kind.thrash() * (jobsHeld - kind.thrashAt())) : 1;
        return speed
                * Math.min(1, kind.cores() / (double) running.size())
                * contentionFactor
                * capacityShare()
                / slowdownFactor;
    }

    /** Accounts for the work done up to now and refreshes the load report. Call it before each state change. */
    private void advance() {
        long now = scheduler.now();
        double workPerJob = workRatePerJob() * (now - advancedAt);
        for (Job job : running) {
            job.workLeft -= workPerJob;
        }
        workSinceStart += workPerJob * running.size();
        advancedAt = now;
        if (now - lastReportAt >= reports.period() && !frozenReports) {
            double free = queue.isEmpty() ? kind.slots() - running.size() : 0;
            double reportedSlots = Math.max(0, Math.rint(free * (1 + reports.noise() * (2 * random.nextDouble() - 1))));
            lastReport = new Report(Double.NaN, Double.NaN, reportedSlots);
            lastReportAt = now;
        }
    }

    /** The last load report, or null if there is none yet. */
    Report report() {
        advance();
        return lastReport;
    }

    private void scheduleCompletion() {
        long plannedVersion = ++scheduleVersion;
        double ratePerJob = workRatePerJob();
        if (ratePerJob <= 0) {
            return;
        }
        double leastWorkLeft = Double.MAX_VALUE;
        for (Job job : running) {
            leastWorkLeft = Math.min(leastWorkLeft, job.workLeft);
        }
        long delayUs = Math.max(1, (long) Math.ceil(leastWorkLeft / ratePerJob));
        scheduler.after(cold() ? Math.min(delayUs, COLD_UPDATE_INTERVAL_US) : delayUs, () -> {
            if (plannedVersion == scheduleVersion) {
                completeDueJobs();
            }
        });
    }

    private void completeDueJobs() {
        advance();
        for (int i = running.size() - 1; i >= 0; i--) {
            Job job = running.get(i);
            if (job.workLeft <= 1e-6) {
                running.remove(i);
                endJob(job, random.nextDouble() < kind.errorRate() ? Outcome.ERROR : Outcome.OK);
            }
        }
        startQueuedJobs();
        scheduleCompletion();
    }
}
