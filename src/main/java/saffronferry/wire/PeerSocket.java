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

/** Datagrams to and from the other dispatchers; a peer's number is its place in the configuration's list. */
final class PeerSocket {
    static final int MOST_BYTES = 256;

    private final Vertx vertx;
    private DatagramSocket socket;
    private final List<Address> peers;
    private final Map<String, Integer> numbers = new HashMap<>();
    private final BiConsumer<Integer, byte[]> heard;
    private final BoundedLog log;
    private final ControlUsage spend;
    private boolean closed = true;

    PeerSocket(
            Vertx vertx, List<Address> peers, BiConsumer<Integer, byte[]> heard, ControlUsage spend, BoundedLog log) {
        this.peers = peers;
        this.heard = heard;
        this.spend = spend;
        this.log = log;
        for (int i = 0; i < peers.size(); i++) {
            numbers.put(peers.get(i).toString(), i);
        }
        this.vertx = vertx;
    }

    /** Opens the socket, after {@link #close} too. */
    Future<?> listen(Address at) {
        socket = vertx.createDatagramSocket(new DatagramSocketOptions());
        socket.exceptionHandler(e -> log.line("peer socket", String.valueOf(e.getMessage())));
        socket.handler(this::receive);
        closed = false;
        return socket.listen(at.port(), at.host());
    }

    /** Leaves all datagrams to another process at our address. */
    void close() {
        if (!closed) {
            closed = true;
            socket.close();
        }
    }

    void tell(int peer, byte[] bytes) {
        if (closed) {
            return;
        }
        // guards the limit that voids a run, whoever made the message
        if (peer < 0 || peer >= peers.size() || bytes.length > MOST_BYTES) {
            log.line("datagram not sent", bytes.length + " bytes to peer " + peer);
            return;
        }
        spend.recordSent(Kind.DATAGRAMS, bytes.length);
        Address to = peers.get(peer);
        socket.send(Buffer.buffer(bytes), to.port(), to.host());
    }

    private void receive(DatagramPacket packet) {
        spend.recordReceived(Kind.DATAGRAMS, packet.data().length());
        Integer peer = numbers.get(
                packet.sender().hostAddress() + ":" + packet.sender().port());
        if (peer == null || packet.data().length() > MOST_BYTES) {
            log.line("datagram dropped", packet.data().length() + " bytes from " + packet.sender());
            return;
        }
        heard.accept(peer, packet.data().getBytes());
    }
}
