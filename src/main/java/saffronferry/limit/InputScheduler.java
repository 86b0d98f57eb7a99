package saffronferry.limit;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Shares the time of the event loop among connections that send more than is read at once, by round robin.
 *
 * <p>A connection is read on for {@link #READ_QUANTUM_NANOS} at most. One that has more input then is deferred: it
 * joins the end of a queue, which in each turn of the loop is served for {@link #TURN_BUDGET_NANOS} at most.
 * Connections with little input are never deferred, so that they wait for the others no longer than that, whatever the
 * others send and however many they are. Times are in nanoseconds, as {@code System.nanoTime} counts. Not thread-safe.
 *
 * @param <C> the connections
 */
public final class InputScheduler<C> {
    /** A connection is read on for this long before others have their turn; a buffer that was read is finished. */
    public static final long READ_QUANTUM_NANOS = 200_000;
    /** Time for deferred connections in one turn of the loop; a request needs some ten turns. */
    public static final long TURN_BUDGET_NANOS = 5_000_000;

    private final Set<C> deferred = new LinkedHashSet<>();
    private boolean turnScheduled;
    private long turnStart;

    /** Whether a connection whose series of reads began at {@code start} may be read on. */
    public boolean mayReadOn(long start, long now) {
        return now - start < READ_QUANTUM_NANOS;
    }

    /**
     * Adds a connection that has more input to the end of the queue.
     *
     * @return whether the caller has to schedule a turn; it has been done before otherwise
     */
    public boolean defer(C connection) {
        deferred.add(connection);
        boolean first = !turnScheduled;
        turnScheduled = true;
        return first;
    }

    /** Begins a turn. */
    public void startTurn(long now) {
        turnStart = now;
    }

    /** Takes the next connection to read in this turn; null if there is none, or the time is used up. */
    public C next(long now) {
        Iterator<C> queue = deferred.iterator();
        if (now - turnStart >= TURN_BUDGET_NANOS || !queue.hasNext()) {
            return null;
        }
        C connection = queue.next();
        queue.remove();
        return connection;
    }

    /** Removes a connection that is closed. */
    public void remove(C connection) {
        deferred.remove(connection);
    }

    /**
     * Ends a turn.
     *
     * @return whether the caller has to schedule another one
     */
    public boolean endTurn() {
        turnScheduled = !deferred.isEmpty();
        return turnScheduled;
    }

    /** Connections in the queue. */
    public int size() {
        return deferred.size();
    }
}
