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
 * An emulated worker: jobs in its slots share its cores, others wait in order or are turned away; crowded it
 * slows down, just started it has a part of its capacity, which grows with time and with work done.
 */
final class Worker {
    private static final long COLD_STEP = 100_000;

    final String address;
    final int zone;
    final int kindIndex;
    final int cell;
    final WorkerKind kind;
    private final double speed;
    private final Simulation sim;
    private final Scenario.Reports reports;
    private final UniformRandomProvider random;
    private final List<Job> running = new ArrayList<>();
    private final Deque<Job> queue = new ArrayDeque<>();
    private boolean up = true;
    private boolean draining;
    private boolean hung;
    private boolean frozenReports;
    private double slowness = 1;
    private long coldSince;
    private double doneSince;
    private long advancedAt;
    private long version;
    private Report snapshot;
    private long snapshotAt = Long.MIN_VALUE / 2;

    Worker(
            String address,
            int zone,
            int kindIndex,
            int cell,
            Scenario scenario,
            Simulation sim,
            UniformRandomProvider random) {
        this.address = address;
        this.zone = zone;
        this.kindIndex = kindIndex;
        this.cell = cell;
        kind = scenario.kinds().get(kindIndex);
        this.sim = sim;
        this.random = random;
        reports = scenario.reports();
        // even between the ends whose spread this is
        speed = kind.speed() * (1 + kind.speedCv() * Math.sqrt(3) * (2 * random.nextDouble() - 1));
        advancedAt = sim.now();
    }

    WorkerInfo info() {
        WorkerState state = !up ? WorkerState.GONE : draining ? WorkerState.DRAINING : WorkerState.IN_SERVICE;
        return new WorkerInfo(address, state, kindIndex, zone, coldSince, cell);
    }

    boolean up() {
        return up;
    }

    boolean hung() {
        return hung;
    }

    boolean cold() {
        return coldSince != 0 && coldShare() < 1;
    }

    /** Work a second that it could do now, in seconds at speed 1. */
    double capacity() {
        return up && !hung ? Math.min(kind.slots(), kind.cores()) * speed * coldShare() / slowness : 0;
    }

    /** Work done since it started, in microseconds at speed 1; looking changes nothing. */
    double done() {
        return doneSince + rate() * (sim.now() - advancedAt) * running.size();
    }

    /** Work a second of a warm one that nothing slows. */
    double fullCapacity() {
        return Math.min(kind.slots(), kind.cores()) * speed;
    }

    /** Jobs held, for each unit of capacity; what only a sighted policy may know. */
    double load() {
        return (running.size() + queue.size() + 1) / Math.max(1e-6, capacity());
    }

    private double coldShare() {
        if (coldSince == 0 || kind.cold() == 0) {
            return 1;
        }
        double byTime = (sim.now() - coldSince) / (double) kind.cold();
        double byWork = doneSince / (fullCapacity() * kind.cold() * 0.5);
        return Math.min(1, kind.coldFrom() + (1 - kind.coldFrom()) * Math.max(byTime, byWork));
    }

    // ---- what happens to it ----

    void start(boolean cold) {
        touch();
        up = true;
        draining = false;
        hung = false;
        coldSince = cold ? sim.now() : 0;
        doneSince = 0;
        plan();
    }

    /** Turns fresh work away and hands back what has not begun. */
    void drain() {
        touch();
        draining = true;
        while (!queue.isEmpty()) {
            end(queue.poll(), Outcome.FULL);
        }
        plan();
    }

    /** The process ends: its connections break. */
    void crash() {
        touch();
        up = false;
        List<Job> all = new ArrayList<>(running);
        all.addAll(queue);
        running.clear();
        queue.clear();
        all.forEach(job -> end(job, Outcome.RESET));
        plan();
    }

    void hang(boolean on) {
        touch();
        hung = on;
        plan();
    }

    void slow(double factor) {
        touch();
        slowness = factor;
        plan();
    }

    void freezeReports(boolean on) {
        touch();
        frozenReports = on;
    }

    // ---- jobs ----

    /** A job has come; the caller has seen that the process is up. */
    void deliver(Job job) {
        touch();
        if (draining || running.size() >= kind.slots() && queue.size() >= kind.queue()) {
            end(job, Outcome.FULL);
        } else if (running.size() < kind.slots()) {
            begin(job);
        } else {
            queue.add(job);
        }
        plan();
    }

    private void begin(Job job) {
        job.running = true;
        running.add(job);
        if (!hung) {
            job.node.hears(this, job.life, n -> n.moved(job.rpc, job.attempt));
        }
    }

    void cancel(Job job) {
        if (!job.gone && (running.contains(job) || queue.contains(job))) {
            touch();
            job.gone = true;
            running.remove(job);
            queue.remove(job);
            refill();
            plan();
        }
    }

    private void end(Job job, Outcome outcome) {
        job.gone = true;
        if (!hung || outcome == Outcome.RESET) {
            job.node.hears(this, job.life, n -> n.ended(job.rpc, job.attempt, outcome));
        }
    }

    private void refill() {
        while (running.size() < kind.slots() && !queue.isEmpty()) {
            begin(queue.poll());
        }
    }

    /** Microseconds of work that each running job gets done in a microsecond. */
    private double rate() {
        if (!up || hung || running.isEmpty()) {
            return 0;
        }
        double held = running.size() + queue.size();
        double crowded = held > kind.thrashAt() ? 1 / (1 + kind.thrash() * (held - kind.thrashAt())) : 1;
        return speed * Math.min(1, kind.cores() / (double) running.size()) * crowded * coldShare() / slowness;
    }

    /** Brings work done and the report up to now; before each change. */
    private void touch() {
        long now = sim.now();
        double each = rate() * (now - advancedAt);
        for (Job job : running) {
            job.left -= each;
        }
        doneSince += each * running.size();
        advancedAt = now;
        if (now - snapshotAt >= reports.period() && !frozenReports) {
            double free = queue.isEmpty() ? kind.slots() - running.size() : 0;
            double told = Math.max(0, Math.rint(free * (1 + reports.noise() * (2 * random.nextDouble() - 1))));
            snapshot = new Report(Double.NaN, Double.NaN, told);
            snapshotAt = now;
        }
    }

    /** Its last report, or null where it has had no time for one. */
    Report report() {
        touch();
        return snapshot;
    }

    private void plan() {
        long mine = ++version;
        double rate = rate();
        if (rate <= 0) {
            return;
        }
        double least = Double.MAX_VALUE;
        for (Job job : running) {
            least = Math.min(least, job.left);
        }
        long next = Math.max(1, (long) Math.ceil(least / rate));
        sim.after(cold() ? Math.min(next, COLD_STEP) : next, () -> {
            if (mine == version) {
                finishDue();
            }
        });
    }

    private void finishDue() {
        touch();
        for (int i = running.size() - 1; i >= 0; i--) {
            Job job = running.get(i);
            if (job.left <= 1e-6) {
                running.remove(i);
                end(job, random.nextDouble() < kind.errorRate() ? Outcome.ERROR : Outcome.OK);
            }
        }
        refill();
        plan();
    }
}
