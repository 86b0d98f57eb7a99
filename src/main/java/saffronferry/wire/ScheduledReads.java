package saffronferry.wire;

import io.netty.channel.EventLoop;
import saffronferry.limit.InputScheduler;
import saffronferry.ops.InputUsage;

/** Reads deferred connections on the event loop, once in each of its turns, as an {@link InputScheduler} decides. */
final class ScheduledReads {
    private final InputScheduler<ScheduledSocketChannel> scheduler = new InputScheduler<>();
    private final InputUsage usage = new InputUsage();

    /** Decides which connections are read, and for how long. */
    InputScheduler<?> scheduler() {
        return scheduler;
    }

    /** The input of all connections whose reads are scheduled here. */
    InputUsage usage() {
        return usage;
    }

    /** Adds a connection that has more input. */
    void defer(ScheduledSocketChannel connection) {
        if (scheduler.defer(connection)) {
            scheduleTurn(connection.eventLoop());
        }
    }

    /** Removes a connection that is being closed. */
    void remove(ScheduledSocketChannel connection) {
        scheduler.remove(connection);
    }

    /** After the next select, so that connections that have become ready meanwhile come first. */
    private void scheduleTurn(EventLoop loop) {
        BoundedTransport.afterNextSelect(loop, () -> runTurn(loop));
    }

    private void runTurn(EventLoop loop) {
        try {
            scheduler.startTurn(System.nanoTime());
            readDeferred();
        } finally {
            // also after an error, or the other deferred connections would never be read
            if (scheduler.endTurn()) {
                scheduleTurn(loop);
            }
        }
    }

    private void readDeferred() {
        ScheduledSocketChannel connection = scheduler.next(System.nanoTime());
        while (connection != null) {
            connection.readDeferred();
            connection = scheduler.next(System.nanoTime());
        }
    }
}
