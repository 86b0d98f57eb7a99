package saffronferry.lifecycle;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/**
 * Clients that send without a pause, each until it is answered or closed on, and then again on a new connection. One
 * thread serves all of them, so that they leave the other cores to the dispatcher and to the usual clients.
 */
final class HostileClients implements AutoCloseable {
    /** What a connection sends: once, and then again and again. */
    record Input(String first, String repeated) {}

    /** The input of each connection, given a name that no other connection has. */
    interface InputOf {
        Input connection(String name);
    }

    private final InetSocketAddress dispatcher;
    private final InputOf inputs;
    private final Selector selector = Selector.open();
    private final ByteBuffer received = ByteBuffer.allocate(4 * 1024);
    private final Thread thread = new Thread(this::run, "hostile clients");
    private int connectionCount;
    private volatile boolean over;

    HostileClients(int port, int clients, InputOf inputs) throws IOException {
        dispatcher = new InetSocketAddress("127.0.0.1", port);
        this.inputs = inputs;
        for (int i = 0; i < clients; i++) {
            connect();
        }
        thread.setDaemon(true);
        thread.start();
    }

    /** The bytes that a connection still has to send. */
    private static final class Sending {
        private final byte[] repeated;
        private ByteBuffer rest;

        Sending(Input input) {
            repeated = bytes(input.repeated);
            rest = ByteBuffer.wrap(bytes(input.first));
        }

        private static byte[] bytes(String text) {
            return text.getBytes(StandardCharsets.ISO_8859_1);
        }

        void write(SocketChannel socket) throws IOException {
            if (!rest.hasRemaining()) {
                rest = ByteBuffer.wrap(repeated);
            }
            socket.write(rest);
        }
    }

    private void connect() throws IOException {
        SocketChannel socket = SocketChannel.open();
        socket.configureBlocking(false);
        socket.setOption(StandardSocketOptions.TCP_NODELAY, true);
        int interest =
                socket.connect(dispatcher) ? SelectionKey.OP_READ | SelectionKey.OP_WRITE : SelectionKey.OP_CONNECT;
        socket.register(selector, interest, new Sending(inputs.connection("hostile-" + connectionCount++)));
    }

    private void run() {
        try (selector) {
            while (!over) {
                selector.select();
                for (SelectionKey key : selector.selectedKeys()) {
                    handle(key);
                }
                selector.selectedKeys().clear();
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
        } catch (IOException e) {
            // the dispatcher has ended, which the test finds by itself
        }
    }

    private void handle(SelectionKey key) throws IOException {
        boolean turnedAway;
        try {
            turnedAway = !continueConnection(key);
        } catch (IOException e) {
            turnedAway = true;
        }
        if (turnedAway) {
            key.channel().close();
            connect();
        }
    }

    /** Connects or writes on; false if the dispatcher has answered or closed. */
    private boolean continueConnection(SelectionKey key) throws IOException {
        SocketChannel socket = (SocketChannel) key.channel();
        if (key.isConnectable() && socket.finishConnect()) {
            key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
        }
        if (key.isReadable() && socket.read(received.clear()) != 0) {
            return false;
        }
        if (key.isWritable()) {
            ((Sending) key.attachment()).write(socket);
        }
        return true;
    }

    @Override
    public void close() {
        over = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
