package saffronferry.rig;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import saffronferry.lab.scenario.Scenario.WorkerKind;

/**
 * Capacity model of a stand-in worker: jobs in slots share the cores, further jobs wait in FIFO order or are
 * rejected, and a cold worker has a share of its capacity, as in the simulator. Performs no I/O; the time, in
 * microseconds, is passed in and never decreases.
 */
final class WorkerModel {
    /** A job at the worker; {@code remaining} is work in microseconds at speed 1. */
    static final class Job {
        final String id;
        private double remaining;

        Job(String id, double work) {
            this.id = id;
            remaining = work;
        }
    }

    private final WorkerKind kind;
    private final double speed;
    /** 0: warm. */
    private final long coldSince;

    private final List<Job> running = new ArrayList<>();
    private final Deque<Job> queue = new ArrayDeque<>();
    private double slowdown = 1;
    /** Work in microseconds at speed 1. */
    private double completedWork;

    private double possibleWork;
    private long updatedAt;

    /** Creates a worker that is warm if {@code coldSince} is 0. */
    WorkerModel(WorkerKind kind, double speed, long coldSince, long now) {
        this.kind = kind;
        this.speed = speed;
        this.coldSince = coldSince;
        updatedAt = now;
    }

    private double capacityShare(long now) {
        if (coldSince == 0 || kind.cold() == 0) {
            return 1;
        }
        double byTime = (now - coldSince) / (double) kind.cold();
        double byWork = completedWork / (warmCapacity() * kind.cold() * 0.5);
        return Math.min(1, kind.coldFrom() + (1 - kind.coldFrom()) * Math.max(byTime, byWork));
    }

    boolean cold(long now) {
        return capacityShare(now) < 1;
    }

    /** Capacity when warm, in work per second at speed 1. */
    double warmCapacity() {
        return Math.min(kind.slots(), kind.cores()) * speed;
    }

    /** Current capacity, in work per second at speed 1. */
    double capacity(long now) {
        return warmCapacity() * capacityShare(now) / slowdown;
    }

    /** Work completed until the last {@link #advance}, in microseconds at speed 1. */
    double completedWork() {
        return completedWork;
    }

    /** Work that it could have completed until then without idle time. */
    double possibleWork() {
        return possibleWork;
    }

    int freeSlots() {
        return queue.isEmpty() ? kind.slots() - running.size() : 0;
    }

    int jobCount() {
        return running.size() + queue.size();
    }

    void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** Accepts a job, or returns false if slots and queue are full. Call {@link #advance} first. */
    boolean offer(Job job) {
        if (running.size() >= kind.slots() && queue.size() >= kind.queue()) {
            return false;
        }
        queue.add(job);
        return true;
    }

    void cancel(Job job) {
        if (!running.remove(job)) {
            queue.remove(job);
        }
    }

    private double rate(long now) {
        if (running.isEmpty()) {
            return 0;
        }
        double thrashFactor =
                jobCount() > kind.thrashAt() ? 1 / (1 + kind.thrash() * (jobCount() - kind.thrashAt())) : 1;
        return speed
                * Math.min(1, kind.cores() / (double) running.size())
                * thrashFactor
                * capacityShare(now)
                / slowdown;
    }

    /** Advances all running jobs to {@code now} and returns those that have finished. */
    List<Job> advance(long now) {
        double workPerJob = rate(updatedAt) * (now - updatedAt);
        possibleWork += capacity(updatedAt) * (now - updatedAt);
        for (Job job : running) {
            completedWork += Math.min(workPerJob, Math.max(0, job.remaining));
            job.remaining -= workPerJob;
        }
        updatedAt = now;
        List<Job> finished =
                running.stream().filter(job -> job.remaining <= 0.5).toList();
        running.removeAll(finished);
        return finished;
    }

    /** Moves queued jobs into free slots and returns them. */
    List<Job> startQueued() {
        List<Job> started = new ArrayList<>();
        while (running.size() < kind.slots() && !queue.isEmpty()) {
            started.add(queue.peek());
            running.add(queue.poll());
        }
        return started;
    }

    /** Microseconds until the next job may finish, or -1 if none runs. */
    long microsUntilNextCompletion(long now) {
        double rate = rate(now);
        if (rate <= 0) {
            return -1;
        }
        double least = running.stream().mapToDouble(job -> job.remaining).min().orElse(0);
        return Math.max(500, (long) Math.ceil(least / rate));
    }
}
