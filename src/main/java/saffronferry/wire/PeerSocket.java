package saffronferry.wire;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import saffronferry.log.BoundedLog;
import saffronferry.ops.ControlUsage;
import saffronferry.ops.ControlUsage.Kind;

/** Datagrams to and from the other dispatchers. A peer's number is its index in the configured list. */
final class PeerSocket {
    static final int MAX_DATAGRAM_BYTES = 256;

    private final Vertx vertx;
    private DatagramSocket socket;
    private final List<Address> peers;
    private final Map<String, Integer> numbersByAddress = new HashMap<>();
    private final BiConsumer<Integer, byte[]> receiver;
    private final BoundedLog log;
    private final ControlUsage usage;
    private boolean closed = true;

    PeerSocket(
            Vertx vertx,
            List<Address> peers,
            BiConsumer<Integer, byte[]> receiver,
            ControlUsage usage,
            BoundedLog log) {
        this.peers = peers;
        this.receiver = receiver;
        this.usage = usage;
        this.log = log;
        for (int i = 0; i < peers.size(); i++) {
            numbersByAddress.put(peers.get(i).toString(), i);
        }
        this.vertx = vertx;
    }

    /** Opens the socket; may be called again after {@link #close}. */
    Future<?> listen(Address address) {
        socket = vertx.createDatagramSocket(new DatagramSocketOptions());
        socket.exceptionHandler(e -> log.line("peer socket error", String.valueOf(e.getMessage())));
        socket.handler(this::receive);
        closed = false;
        return socket.listen(address.port(), address.host());
    }

    /** Closes the socket, leaving all datagrams to another process at the same address. */
    void close() {
        if (!closed) {
            closed = true;
            socket.close();
        }
    }

    void send(int peer, byte[] bytes) {
        if (closed) {
            return;
        }
        // the protocol's size limit is enforced here for every kind of message
        if (peer < 0 || peer >= peers.size() || bytes.length > MAX_DATAGRAM_BYTES) {
            log.line("datagram not sent", bytes.length + " bytes to peer " + peer);
            return;
        }
        usage.recordSent(Kind.DATAGRAMS, bytes.length);
        Address to = peers.get(peer);
        socket.send(Buffer.buffer(bytes), to.port(), to.host());
    }

    private void receive(DatagramPacket packet) {
        usage.recordReceived(Kind.DATAGRAMS, packet.data().length());
        Integer peer = numbersByAddress.get(
                packet.sender().hostAddress() + ":" + packet.sender().port());
        if (peer == null || packet.data().length() > MAX_DATAGRAM_BYTES) {
            log.line("datagram dropped", packet.data().length() + " bytes from " + packet.sender());
            return;
        }
        receiver.accept(peer, packet.data().getBytes());
    }
}
