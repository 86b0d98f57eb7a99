package saffronferry.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.nio.NioEventLoop;
import io.netty.channel.nio.NioTask;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import saffronferry.limit.AcceptGate;

/**
 * Accepted connections that have not sent their first byte. Such a connection costs only a file descriptor and a timer
 * here. Setting it up in the library takes far longer, and a crowd of clients that connect, send nothing and reconnect
 * would leave no time for clients with requests.
 */
final class PendingConnections {
    /** Takes over a connection together with the first bytes read from it. */
    interface FirstBytesHandler {
        void onFirstBytes(SocketChannel socket, Arrival arrival, ByteBuf bytes);
    }

    /**
     * When a connection and its first bytes arrived.
     *
     * @param connectedNanos when the connection was accepted, as {@code System.nanoTime} counts
     * @param firstBytesWaitMs the longest time that its first bytes can have waited in the backlog with it
     */
    record Arrival(long connectedNanos, long firstBytesWaitMs) {}

    private static final int MAX_FIRST_READ_BYTES = 4096;

    private final AcceptGate gate;
    private final ByteBuffer buffer = ByteBuffer.allocate(MAX_FIRST_READ_BYTES);
    /** Connections that had no bytes to read in a full iteration of the event loop, the oldest first. */
    private final Set<PendingConnection> silent = new LinkedHashSet<>();

    private Runnable onSilent = () -> {};

    PendingConnections(AcceptGate gate) {
        this.gate = gate;
    }

    /** Sets the callback for a connection found to be silent, upon which a connection may have to be closed. */
    void onSilent(Runnable listener) {
        onSilent = listener;
    }

    /** Adds a connection that has just been accepted. */
    void add(NioEventLoop loop, SocketChannel socket, FirstBytesHandler handler) {
        PendingConnection connection = new PendingConnection(loop, socket, handler);
        try {
            socket.configureBlocking(false);
            loop.register(socket, SelectionKey.OP_READ, connection);
        } catch (IOException | RuntimeException e) {
            connection.close();
            return;
        }
        BoundedTransport.afterNextSelect(loop, connection::markSilent);
    }

    /** When the oldest silent connection was accepted, as {@code System.nanoTime} counts; null if there is none. */
    Long oldestConnectedNanos() {
        return silent.isEmpty() ? null : silent.iterator().next().connectedNanos;
    }

    /** Closes the connection that has been silent longest; returns false if there is none. */
    boolean closeOldest() {
        if (silent.isEmpty()) {
            return false;
        }
        silent.iterator().next().close();
        return true;
    }

    /** A connection that has not sent its first byte. */
    private final class PendingConnection implements NioTask<SelectableChannel> {
        private final NioEventLoop loop;
        private final SocketChannel socket;
        private final FirstBytesHandler handler;
        private final long connectedNanos = System.nanoTime();
        /** The longest time that the connection can have waited in the backlog. */
        private final long backlogWaitMs = gate.waitMs(connectedNanos / 1_000_000);

        private final Future<?> timer;
        private boolean wasSilent;
        private boolean removed;

        PendingConnection(NioEventLoop loop, SocketChannel socket, FirstBytesHandler handler) {
            this.loop = loop;
            this.socket = socket;
            this.handler = handler;
            timer = loop.schedule(this::close, ClientConnections.REQUEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        void markSilent() {
            if (!removed) {
                wasSilent = true;
                silent.add(this);
                onSilent.run();
            }
        }

        @Override
        public void channelReady(SelectableChannel ch, SelectionKey key) {
            int bytesRead;
            buffer.clear();
            try {
                bytesRead = socket.read(buffer);
            } catch (IOException e) {
                bytesRead = -1;
            }
            if (bytesRead < 0) {
                close();
            } else if (bytesRead > 0 && remove()) {
                // the selection key is kept: the library takes it over when it registers the same socket
                // bytes of a connection that was silent before have just arrived
                Arrival arrival = new Arrival(connectedNanos, wasSilent ? 0 : backlogWaitMs);
                handler.onFirstBytes(socket, arrival, Unpooled.copiedBuffer(buffer.flip()));
            }
        }

        @Override
        public void channelUnregistered(SelectableChannel ch, Throwable cause) {
            close();
        }

        /** Removes the connection; returns false if it had been removed before. */
        private boolean remove() {
            boolean first = !removed;
            removed = true;
            timer.cancel(false);
            silent.remove(this);
            return first;
        }

        void close() {
            if (remove()) {
                try {
                    socket.close();
                } catch (IOException e) {
                    // nothing more can be done to close it
                }
                gate.connectionClosing();
                BoundedTransport.afterNextSelect(loop, gate::connectionClosed);
            }
        }
    }
}
