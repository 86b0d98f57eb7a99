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
 * Where connections wait for their first byte. Until then there is nothing to serve, and all that one costs
 * is its descriptor and a timer: what the library sets up for each connection takes far longer, and a crowd
 * that connects, says nothing and comes again would leave no time for those that do speak.
 */
final class PendingConnections {
    /** Takes over a connection that has spoken, with what it said so far. */
    interface FirstBytesHandler {
        void speaks(SocketChannel socket, long since, ByteBuf said);
    }

    private static final int MOST_AT_FIRST = 4096;

    private final AcceptGate gate;
    private final ByteBuffer buffer = ByteBuffer.allocate(MOST_AT_FIRST);
    /** Those that have had a turn in which they could be read, the oldest first. */
    private final Set<PendingConnection> silent = new LinkedHashSet<>();

    private Runnable onSilent = () -> {};

    PendingConnections(AcceptGate gate) {
        this.gate = gate;
    }

    /** Calls back when a connection has been found to say nothing: room may have to be made. */
    void onSilent(Runnable listener) {
        onSilent = listener;
    }

    /** Takes a connection in that has just been accepted. */
    void enter(NioEventLoop loop, SocketChannel socket, FirstBytesHandler entrance) {
        PendingConnection guest = new PendingConnection(loop, socket, entrance);
        try {
            socket.configureBlocking(false);
            loop.register(socket, SelectionKey.OP_READ, guest);
        } catch (IOException | RuntimeException e) {
            guest.close();
            return;
        }
        BoundedTransport.afterNextSelect(loop, guest::hadATurn);
    }

    /** Since when, as {@code System.nanoTime} counts, the oldest has been silent; null where none is. */
    Long oldestSince() {
        return silent.isEmpty() ? null : silent.iterator().next().since;
    }

    /** Closes the one that has been silent longest; false where all have spoken or are yet to have a turn. */
    boolean closeOldest() {
        if (silent.isEmpty()) {
            return false;
        }
        silent.iterator().next().close();
        return true;
    }

    /** One connection that has said nothing yet. */
    private final class PendingConnection implements NioTask<SelectableChannel> {
        private final NioEventLoop loop;
        private final SocketChannel socket;
        private final FirstBytesHandler entrance;
        private final long since = System.nanoTime();
        private final Future<?> timer;
        private boolean gone;

        PendingConnection(NioEventLoop loop, SocketChannel socket, FirstBytesHandler entrance) {
            this.loop = loop;
            this.socket = socket;
            this.entrance = entrance;
            timer = loop.schedule(this::close, ClientConnections.REQUEST_MS, TimeUnit.MILLISECONDS);
        }

        void hadATurn() {
            if (!gone) {
                silent.add(this);
                onSilent.run();
            }
        }

        @Override
        public void channelReady(SelectableChannel ch, SelectionKey key) {
            int read;
            buffer.clear();
            try {
                read = socket.read(buffer);
            } catch (IOException e) {
                read = -1;
            }
            if (read < 0) {
                close();
            } else if (read > 0 && leave()) {
                // the key stays: the library takes it over when it registers the same socket
                entrance.speaks(socket, since, Unpooled.copiedBuffer(buffer.flip()));
            }
        }

        @Override
        public void channelUnregistered(SelectableChannel ch, Throwable cause) {
            close();
        }

        private boolean leave() {
            boolean first = !gone;
            gone = true;
            timer.cancel(false);
            silent.remove(this);
            return first;
        }

        void close() {
            if (leave()) {
                try {
                    socket.close();
                } catch (IOException e) {
                    // it is closed as far as it can be
                }
                gate.leaving();
                BoundedTransport.afterNextSelect(loop, gate::left);
            }
        }
    }
}
