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
import io.netty.channel.socket.nio.NioSocketChannel;
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
 * The library's transport with two changes. Connections are accepted on the event loop itself: the library's
 * own acceptor is a thread beside it, which runs ahead of a busy loop and takes all descriptors. And each is
 * accepted only if the gate lets it in; else it waits in the system's backlog. Nothing that goes wrong while
 * accepting closes the listening socket or ends the thread.
 */
public class BoundedTransport extends JDKTransport {
    /** How often, and when again, a queue of clients is tried that waits for descriptors. */
    private static final int MOST_HAND_OVERS = 50;

    private static final long HAND_OVER_AGAIN_MS = 20;

    private final Door clients;
    private final BoundedLog log;
    private final ControlUsage control = new ControlUsage();
    private final List<Acceptor> acceptors = new ArrayList<>();
    private EventLoopGroup loops;
    private Runnable onListenerLost = () -> {};

    /** By which connections of one purpose come in: who may, and where they wait for their first byte. */
    record Door(AcceptGate gate, Lobby lobby) {
        Door(AcceptGate gate) {
            this(gate, new Lobby(gate));
        }
    }

    /** With the gate of the clients' connections. */
    public BoundedTransport(AcceptGate gate, BoundedLog log) {
        clients = new Door(gate);
        this.log = log;
    }

    /** What goes over the sockets made here for control; those who open them count. */
    public ControlUsage control() {
        return control;
    }

    Door clients() {
        return clients;
    }

    /** Calls back when the listening socket is closed by anything but {@code Vertx.close}. */
    public void onListenerLost(Runnable listener) {
        onListenerLost = listener;
    }

    /** To be called when a descriptor is free again, on the event loop. */
    public void freed() {
        acceptors.forEach(Acceptor::resume);
    }

    /** Gives the clients' address up to another process that listens there. */
    void handOver() {
        acceptors.stream().filter(a -> a.gate == clients.gate).forEach(Acceptor::giveUp);
    }

    /** Listens there again, since the other process is gone. */
    void takeBack(InetSocketAddress at) {
        Acceptor first = acceptors.stream()
                .filter(a -> a.gate == clients.gate)
                .findFirst()
                .orElseThrow();
        Acceptor heir = new Acceptor(clients, first);
        heir.config().setBacklog(first.config().getBacklog());
        acceptors.removeIf(a -> a.home != a && !a.isOpen()); // heirs that were given up since
        acceptors.add(heir);
        loops.register(heir)
                .addListener(registered -> heir.bind(at).addListener(bound -> {
                    if (!bound.isSuccess()) {
                        log.line("cannot listen again", String.valueOf(bound.cause()));
                        onListenerLost.run();
                    }
                }));
    }

    /** Two processes, the one about to replace the other, listen at the same address. */
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
        return shared(new NioDatagramChannel(family));
    }

    @Override
    public DatagramChannel datagramChannel() {
        return shared(new NioDatagramChannel());
    }

    private static DatagramChannel shared(NioDatagramChannel channel) {
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
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
        return () -> listener(clients);
    }

    /** A listening socket, yet to be bound, for what comes in by this door. */
    ServerChannel listener(Door door) {
        Acceptor acceptor = new Acceptor(door, null);
        acceptors.add(acceptor);
        return acceptor;
    }

    /** The system's call, apart so that tests can make it fail. */
    protected SocketChannel accept(java.nio.channels.ServerSocketChannel from) throws IOException {
        return SocketUtils.accept(from);
    }

    /** The listening socket. */
    private final class Acceptor extends NioServerSocketChannel {
        private final AcceptGate gate;
        private final Lobby lobby;
        /** The one that the library set up, and through which it hears of connections. */
        private final Acceptor home;

        private boolean given;
        private boolean paused;
        private int taken;

        Acceptor(Door door, Acceptor home) {
            this.home = home == null ? this : home;
            gate = door.gate;
            lobby = door.lobby;
            shareAddress(javaChannel());
        }

        /** Once only: at the other process's yes, or at SIGTERM, whichever comes first. */
        void giveUp() {
            if (!given) {
                given = true;
                handOver(MOST_HAND_OVERS);
            }
        }

        /**
         * Takes in what waits in the system's queue, whose connections would be reset with the socket, and
         * closes the socket in the same breath. The selector lets go of it first: a socket that a selector
         * knows is closed only at the selector's next turn, and takes connections until then. The library is
         * not told of the close, for it still sets up those that have been accepted and are yet to speak.
         */
        private void handOver(int tries) {
            selectionKey().cancel();
            afterNextSelect(eventLoop(), () -> {
                int before;
                paused = false;
                do {
                    before = taken;
                    acceptOne();
                } while (taken > before);
                if (paused && tries > 1) {
                    // for want of descriptors: until others end, newcomers wait on in the queue
                    eventLoop().schedule(() -> handOver(tries - 1), HAND_OVER_AGAIN_MS, TimeUnit.MILLISECONDS);
                    return;
                }
                try {
                    javaChannel().close();
                } catch (IOException e) {
                    log.line("listening socket not closed", e.getMessage());
                }
            });
        }

        /** Tells the library of none: it hears of those that speak, from {@link #speaks}. */
        @Override
        protected int doReadMessages(List<Object> none) {
            boolean more = true;
            for (int i = gate.perTurn(); more && i > 0; i--) {
                more = acceptOne();
            }
            return 0;
        }

        private boolean acceptOne() {
            if (!gate.enter(now())) {
                pause();
                return false;
            }
            try {
                SocketChannel socket = BoundedTransport.this.accept(javaChannel());
                if (socket == null) {
                    gate.nothing();
                    return false;
                }
                gate.accepted();
                taken++;
                lobby.enter(eventLoop(), socket, this::speaks);
                return true;
            } catch (IOException | RuntimeException | Error e) {
                // guards the listening socket, which the library closes on an Error, and its log, which fills
                long wait = gate.failed(now());
                log.line("accept failed", e.getMessage());
                pause();
                eventLoop().schedule(this::resume, wait, TimeUnit.MILLISECONDS);
                return false;
            }
        }

        private void speaks(SocketChannel socket, long since, ByteBuf said) {
            Accepted connection = new Accepted(home, socket, since, gate);
            home.pipeline().fireChannelRead(connection); // the library registers it and sets it up, now
            if (connection.isRegistered()) {
                connection.pipeline().fireChannelRead(said);
                connection.pipeline().fireChannelReadComplete();
            } else {
                said.release();
                connection.unsafe().closeForcibly();
            }
        }

        private void pause() {
            paused = true;
            config().setAutoRead(false);
        }

        private void resume() {
            if (paused && isOpen() && gate.mayResume(now())) {
                paused = false;
                config().setAutoRead(true);
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

    /** A connection that has spoken. */
    final class Accepted extends NioSocketChannel {
        private final long since;
        private final AcceptGate gate;
        private boolean gone;

        Accepted(Channel parent, SocketChannel socket, long since, AcceptGate gate) {
            super(parent, socket);
            this.gate = gate;
            this.since = since;
        }

        long since() {
            return since;
        }

        /** How long it had been connected before it said its first word. */
        long waitedMs() {
            return (System.nanoTime() - since) / 1_000_000;
        }

        @Override
        protected void doClose() throws Exception {
            super.doClose();
            if (!gone) {
                gone = true;
                gate.leaving();
                afterNextSelect(eventLoop(), gate::left);
            }
        }
    }

    /**
     * Runs something once the descriptors closed so far are free: the system gets them back only when the
     * selector, at its next turn, lets go of their keys.
     */
    static void afterNextSelect(EventLoop loop, Runnable what) {
        if (!loop.isShuttingDown()) {
            ((SingleThreadEventLoop) loop).executeAfterEventLoopIteration(() -> loop.execute(what));
        }
    }
}
