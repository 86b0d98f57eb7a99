package saffronferry.lab.world;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in virtual time, ordered by time and, where times are equal, by the order of scheduling. */
final class EventScheduler {
    private record Event(long time, long sequence, Runnable action) {}

    private static final Comparator<Event> ORDER =
            (a, b) -> a.time != b.time ? Long.compare(a.time, b.time) : Long.compare(a.sequence, b.sequence);

    private final PriorityQueue<Event> queue = new PriorityQueue<>(1 << 12, ORDER);
    private long now;
    private long scheduledCount;
    private long executedCount;
    private boolean stopped;

    EventScheduler(long start) {
        now = start;
    }

    /** The virtual time in microseconds. */
    long now() {
        return now;
    }

    /** The number of events that have run. */
    long executedCount() {
        return executedCount;
    }

    void at(long time, Runnable action) {
        queue.add(new Event(Math.max(time, now), scheduledCount++, action));
    }

    void after(long delay, Runnable action) {
        at(now + delay, action);
    }

    /** Stops the run after the current event. */
    void stop() {
        stopped = true;
    }

    /** Runs all events up to a point in time, in microseconds. */
    void run(long until) {
        while (!stopped && !queue.isEmpty() && queue.peek().time <= until) {
            Event next = queue.poll();
            now = next.time;
            executedCount++;
            next.action.run();
        }
    }
}
