package saffronferry.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.SingleThreadEventLoop;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.InternetProtocolFamily;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.internal.SocketUtils;
import io.vertx.core.impl.transports.JDKTransport;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.NetworkChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import saffronferry.limit.AcceptGate;
import saffronferry.log.BoundedLog;
import saffronferry.ops.ControlUsage;

/**
 * The Vert.x transport with three changes. First, connections are accepted on the event loop itself: Vert.x uses a
 * separate acceptor thread, which runs ahead of a busy loop and takes all file descriptors. Second, a connection is
 * accepted only if the gate admits it; otherwise it waits in the backlog of the operating system. A failure while
 * accepting neither closes the listening socket nor ends the thread. Third, what the input of connections may use of a
 * turn of the event loop is bounded; accepted and outgoing connections have a bound each, so that neither waits for the
 * other.
 */
public class BoundedTransport extends JDKTransport {
    /** How often a handover tries to accept the waiting connections while file descriptors are short. */
    private static final int MAX_HAND_OVER_TRIES = 50;

    private static final long HAND_OVER_RETRY_DELAY_MS = 20;

    private final ListenerAdmission clientAdmission;
    private final BoundedLog log;
    private final ControlUsage controlUsage = new ControlUsage();
    private final ScheduledReads clientReads = new ScheduledReads();
    private final ScheduledReads serverReads = new ScheduledReads();
    private final List<Acceptor> acceptors = new ArrayList<>();
    private EventLoopGroup loops;
    private Runnable onListenerLost = () -> {};

    /** Admission of connections of one purpose: the gate, and the connections that wait for their first byte. */
    record ListenerAdmission(AcceptGate gate, PendingConnections pending) {
        ListenerAdmission(AcceptGate gate) {
            this(gate, new PendingConnections(gate));
        }
    }

    /** Creates a transport whose client connections are admitted by {@code gate}. */
    public BoundedTransport(AcceptGate gate, BoundedLog log) {
        clientAdmission = new ListenerAdmission(gate);
        this.log = log;
    }

    /** The control traffic over sockets of this transport, counted by the code that opens them. */
    public ControlUsage controlUsage() {
        return controlUsage;
    }

    /** The reads of accepted connections, operators' calls included. */
    ScheduledReads clientReads() {
        return clientReads;
    }

    /** The reads of outgoing connections: to workers and to discovery. */
    ScheduledReads serverReads() {
        return serverReads;
    }

    ListenerAdmission clientAdmission() {
        return clientAdmission;
    }

    /** Sets the callback for a listening socket that is closed by anything other than {@code Vertx.close}. */
    public void onListenerLost(Runnable listener) {
        onListenerLost = listener;
    }

    /** Must be called on the event loop when a file descriptor has become free. */
    public void onDescriptorFreed() {
        acceptors.forEach(Acceptor::resume);
    }

    /** Whether a listening socket for clients is open. */
    boolean acceptsClients() {
        return acceptors.stream().anyMatch(a -> a.gate == clientAdmission.gate && a.isOpen());
    }

    /** Leaves the client address to another process that listens there. */
    void handOverClientListener() {
        acceptors.stream().filter(a -> a.gate == clientAdmission.gate).forEach(Acceptor::handOverOnce);
    }

    /** Listens at the client address again after the other process has ended. */
    void resumeClientListener(InetSocketAddress address) {
        Acceptor first = acceptors.stream()
                .filter(a -> a.gate == clientAdmission.gate)
                .findFirst()
                .orElseThrow();
        Acceptor replacement = new Acceptor(clientAdmission, first);
        replacement.config().setBacklog(first.config().getBacklog());
        // earlier replacements that were handed over meanwhile
        acceptors.removeIf(a -> a.libraryAcceptor != a && !a.isOpen());
        acceptors.add(replacement);
        clientAdmission.gate.setListening(true);
        loops.register(replacement)
                .addListener(registered -> replacement.bind(address).addListener(bound -> {
                    if (!bound.isSuccess()) {
                        log.line("cannot resume listening", String.valueOf(bound.cause()));
                        onListenerLost.run();
                    }
                }));
    }

    /** Allows a process and its replacement to listen at the same address. */
    private static void shareAddress(NetworkChannel socket) {
        try {
            if (socket.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
                socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public DatagramChannel datagramChannel(InternetProtocolFamily family) {
        return withSharedAddress(new NioDatagramChannel(family));
    }

    @Override
    public DatagramChannel datagramChannel() {
        return withSharedAddress(new NioDatagramChannel());
    }

    private static DatagramChannel withSharedAddress(NioDatagramChannel channel) {
        channel.config().setOption(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        return channel;
    }

    @Override
    public EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory factory, int ioRatio) {
        if (loops == null) {
            loops = super.eventLoopGroup(type, threads, factory, ioRatio);
        }
        return loops;
    }

    @Override
    public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
        return () -> new ScheduledSocketChannel(serverReads);
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
        return () -> listener(clientAdmission);
    }

    /** Creates an unbound listening socket whose connections are subject to {@code admission}. */
    ServerChannel listener(ListenerAdmission admission) {
        Acceptor acceptor = new Acceptor(admission, null);
        acceptors.add(acceptor);
        return acceptor;
    }

    /** Calls accept(2); a separate method so that tests can make it fail. */
    protected SocketChannel accept(java.nio.channels.ServerSocketChannel from) throws IOException {
        return SocketUtils.accept(from);
    }

    /** The listening socket. */
    private final class Acceptor extends NioServerSocketChannel {
        private final AcceptGate gate;
        private final PendingConnections pending;
        /** The acceptor that the library set up, through whose pipeline it receives connections. */
        private final Acceptor libraryAcceptor;

        private boolean handedOver;
        private boolean paused;
        private int acceptedCount;

        Acceptor(ListenerAdmission admission, Acceptor libraryAcceptor) {
            this.libraryAcceptor = libraryAcceptor == null ? this : libraryAcceptor;
            gate = admission.gate;
            pending = admission.pending;
            shareAddress(javaChannel());
        }

        /** Hands over once only: when the other process serves, or at SIGTERM, whichever comes first. */
        void handOverOnce() {
            if (!handedOver) {
                handedOver = true;
                handOver(MAX_HAND_OVER_TRIES);
            }
        }

        /**
         * Accepts the connections in the backlog, which would be reset with the socket, and closes the socket directly
         * afterwards. The selection key is cancelled first: a socket registered with a selector is closed only at the
         * next select, and accepts connections until then. The library is not informed of the close, because it still
         * has to set up accepted connections that have not sent their first byte.
         */
        private void handOver(int tries) {
            selectionKey().cancel();
            afterNextSelect(eventLoop(), () -> {
                int acceptedBefore;
                paused = false;
                do {
                    acceptedBefore = acceptedCount;
                    acceptOne();
                } while (acceptedCount > acceptedBefore);
                if (paused && tries > 1) {
                    // no file descriptors: connections wait in the backlog until others end
                    eventLoop().schedule(() -> handOver(tries - 1), HAND_OVER_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
                    return;
                }
                try {
                    javaChannel().close();
                    // another listener may have been opened while this one waited for descriptors
                    gate.setListening(acceptsClients());
                    gate.backlogEmpty(now());
                } catch (IOException e) {
                    log.line("listening socket not closed", e.getMessage());
                }
            });
        }

        /** Passes no connection to the library; it receives them after their first bytes, from {@link #firstBytes}. */
        @Override
        protected int doReadMessages(List<Object> unused) {
            boolean more = true;
            for (int i = gate.acceptsPerTurn(); more && i > 0; i--) {
                more = acceptOne();
            }
            if (more && gate.mayWait()) {
                checkForEmptyBacklog();
            }
            return 0;
        }

        /** Tells the gate that the backlog is empty if the next select finds no connection to accept. */
        private void checkForEmptyBacklog() {
            int acceptedBefore = acceptedCount;
            afterNextSelect(eventLoop(), () -> {
                if (!paused && acceptedCount == acceptedBefore) {
                    gate.backlogEmpty(now());
                }
            });
        }

        private boolean acceptOne() {
            if (!gate.tryAcquire(now())) {
                pause();
                return false;
            }
            try {
                SocketChannel socket = BoundedTransport.this.accept(javaChannel());
                if (socket == null) {
                    gate.nothingAccepted(now());
                    return false;
                }
                gate.accepted();
                acceptedCount++;
                pending.add(eventLoop(), socket, this::firstBytes);
                return true;
            } catch (IOException | RuntimeException | Error e) {
                // if passed on, the library would close the listening socket on an Error, and fill its log
                long pauseMs = gate.acceptFailed(now());
                log.line("accept failed", e.getMessage());
                pause();
                eventLoop().schedule(this::resume, pauseMs, TimeUnit.MILLISECONDS);
                return false;
            }
        }

        private void firstBytes(SocketChannel socket, PendingConnections.Arrival arrival, ByteBuf bytes) {
            AcceptedConnection connection = new AcceptedConnection(libraryAcceptor, socket, clientReads, arrival, gate);
            // the library registers the connection and sets it up synchronously
            libraryAcceptor.pipeline().fireChannelRead(connection);
            if (connection.isRegistered()) {
                connection.pipeline().fireChannelRead(bytes);
                connection.pipeline().fireChannelReadComplete();
            } else {
                bytes.release();
                connection.unsafe().closeForcibly();
            }
        }

        private void pause() {
            paused = true;
            config().setAutoRead(false);
        }

        private void resume() {
            if (paused && isOpen() && gate.canResume(now())) {
                paused = false;
                config().setAutoRead(true);
                checkForEmptyBacklog();
            }
        }

        private long now() {
            return System.nanoTime() / 1_000_000;
        }

        @Override
        protected void doClose() throws Exception {
            super.doClose();
            if (!eventLoop().isShuttingDown()) {
                onListenerLost.run();
            }
        }
    }

    /**
     * Runs an action once the file descriptors closed so far are free: they are returned to the operating system only
     * when the selector drops their cancelled keys at its next select.
     */
    static void afterNextSelect(EventLoop loop, Runnable action) {
        if (!loop.isShuttingDown()) {
            ((SingleThreadEventLoop) loop).executeAfterEventLoopIteration(() -> loop.execute(action));
        }
    }
}
