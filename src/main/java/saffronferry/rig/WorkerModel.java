package saffronferry.rig;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import saffronferry.lab.scenario.Scenario.WorkerKind;

/**
 * What a stand-in worker can do: jobs in its slots share its cores, others wait in order or are turned away,
 * and one just started has a part of its capacity, as the laboratory's has. Pure; the clock, microseconds,
 * is handed in and never runs backwards.
 */
final class WorkerModel {
    /** A job at the worker; {@code left} is work in microseconds at speed 1. */
    static final class Job {
        final String id;
        private double left;

        Job(String id, double work) {
            this.id = id;
            left = work;
        }
    }

    private final WorkerKind kind;
    private final double speed;
    private final long coldSince; // 0: warm
    private final List<Job> running = new ArrayList<>();
    private final Deque<Job> queue = new ArrayDeque<>();
    private double slowness = 1;
    private double done; // work in microseconds at speed 1
    private double could;
    private long at;

    /** {@code coldSince} 0: it is warm. */
    WorkerModel(WorkerKind kind, double speed, long coldSince, long now) {
        this.kind = kind;
        this.speed = speed;
        this.coldSince = coldSince;
        at = now;
    }

    private double coldShare(long now) {
        if (coldSince == 0 || kind.cold() == 0) {
            return 1;
        }
        double byTime = (now - coldSince) / (double) kind.cold();
        double byWork = done / (full() * kind.cold() * 0.5);
        return Math.min(1, kind.coldFrom() + (1 - kind.coldFrom()) * Math.max(byTime, byWork));
    }

    boolean cold(long now) {
        return coldShare(now) < 1;
    }

    /** Work a second at speed 1 that it does when warm. */
    double full() {
        return Math.min(kind.slots(), kind.cores()) * speed;
    }

    /** Work a second at speed 1 that it could do now. */
    double capacity(long now) {
        return full() * coldShare(now) / slowness;
    }

    /** Work done until the last {@link #advance}, in microseconds at speed 1. */
    double done() {
        return done;
    }

    /** Work it could have done until then, never idle. */
    double could() {
        return could;
    }

    int free() {
        return queue.isEmpty() ? kind.slots() - running.size() : 0;
    }

    int held() {
        return running.size() + queue.size();
    }

    void slow(double factor) {
        slowness = factor;
    }

    /** Takes a job in; false if there is no room. To be advanced to now before. */
    boolean deliver(Job job) {
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
        double crowded = held() > kind.thrashAt() ? 1 / (1 + kind.thrash() * (held() - kind.thrashAt())) : 1;
        return speed * Math.min(1, kind.cores() / (double) running.size()) * crowded * coldShare(now) / slowness;
    }

    /** Brings work up to now; the jobs that are done. */
    List<Job> advance(long now) {
        double each = rate(at) * (now - at);
        could += capacity(at) * (now - at);
        for (Job job : running) {
            done += Math.min(each, Math.max(0, job.left));
            job.left -= each;
        }
        at = now;
        List<Job> over = running.stream().filter(job -> job.left <= 0.5).toList();
        running.removeAll(over);
        return over;
    }

    /** Begins what fits now; the jobs that have begun. */
    List<Job> refill() {
        List<Job> begun = new ArrayList<>();
        while (running.size() < kind.slots() && !queue.isEmpty()) {
            begun.add(queue.peek());
            running.add(queue.poll());
        }
        return begun;
    }

    /** Microseconds until the next job may be done, or -1 where none runs. */
    long next(long now) {
        double rate = rate(now);
        if (rate <= 0) {
            return -1;
        }
        double least = running.stream().mapToDouble(job -> job.left).min().orElse(0);
        return Math.max(500, (long) Math.ceil(least / rate));
    }
}
