package saffronferry.wire;

import io.netty.channel.Channel;
import java.nio.channels.SocketChannel;
import saffronferry.limit.AcceptGate;

/** An accepted connection that has sent its first bytes. */
final class AcceptedConnection extends ScheduledSocketChannel {
    private final long connectedNanos;
    private final AcceptGate gate;
    private long firstRequestWaitMs;
    private boolean closed;

    AcceptedConnection(
            Channel parent,
            SocketChannel socket,
            ScheduledReads reads,
            PendingConnections.Arrival arrival,
            AcceptGate gate) {
        super(parent, socket, reads);
        this.gate = gate;
        connectedNanos = arrival.connectedNanos();
        firstRequestWaitMs = arrival.firstBytesWaitMs();
    }

    /** When the connection was accepted, as {@code System.nanoTime} counts. */
    long connectedNanos() {
        return connectedNanos;
    }

    /** How long ago the connection was accepted; at its setup, the time it took to send its first byte. */
    long ageMs() {
        return (System.nanoTime() - connectedNanos) / 1_000_000;
    }

    /**
     * The longest time that a request can have waited before its connection was accepted; to be called once for
     * each request of the connection. Only the first request can have waited.
     */
    long takeRequestWaitMs() {
        long wait = firstRequestWaitMs;
        firstRequestWaitMs = 0;
        return wait;
    }

    @Override
    protected void doClose() throws Exception {
        super.doClose();
        if (!closed) {
            closed = true;
            gate.connectionClosing();
            BoundedTransport.afterNextSelect(eventLoop(), gate::connectionClosed);
        }
    }
}
