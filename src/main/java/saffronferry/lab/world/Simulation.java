package saffronferry.lab.world;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time: what is due runs in order of its time, and of its making where times are equal. */
final class Simulation {
    private record Event(long time, long number, Runnable what) {}

    private static final Comparator<Event> ORDER =
            (a, b) -> a.time != b.time ? Long.compare(a.time, b.time) : Long.compare(a.number, b.number);

    private final PriorityQueue<Event> due = new PriorityQueue<>(1 << 12, ORDER);
    private long now;
    private long made;
    private long done;
    private boolean stopped;

    Simulation(long start) {
        now = start;
    }

    /** Microseconds. */
    long now() {
        return now;
    }

    /** How many events have run. */
    long done() {
        return done;
    }

    void at(long time, Runnable what) {
        due.add(new Event(Math.max(time, now), made++, what));
    }

    void after(long delay, Runnable what) {
        at(now + delay, what);
    }

    /** Nothing runs any more. */
    void stop() {
        stopped = true;
    }

    /** Runs until a time, or until nothing is left. */
    void run(long until) {
        while (!stopped && !due.isEmpty() && due.peek().time <= until) {
            Event next = due.poll();
            now = next.time;
            done++;
            next.what.run();
        }
    }
}
