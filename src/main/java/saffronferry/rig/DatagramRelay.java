package saffronferry.rig;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import saffronferry.lab.scenario.PeerLinks;

/**
 * Forwards peer datagrams over one socket per ordered pair of dispatchers, so that faults can affect each link
 * separately and each dispatcher sees every other one at a fixed address.
 */
final class DatagramRelay {
    private static final int MAX_DATAGRAM_BYTES = 256;

    private final Vertx vertx;
    private final int dispatchers;
    private final LongSupplier clock;
    private final SplittableRandom random;
    /** {@code sockets[a][b]}: a sends datagrams for b to it, and receives those of b from it. */
    private final DatagramSocket[][] sockets;

    private final String[] hosts;
    private final int[] ports;
    private PeerLinks links;
    private volatile boolean closed;
    long datagrams;
    long bytes;
    long oversized;

    DatagramRelay(Vertx vertx, int dispatchers, LongSupplier clock, SplittableRandom random) {
        this.vertx = vertx;
        this.dispatchers = dispatchers;
        this.clock = clock;
        this.random = random;
        sockets = new DatagramSocket[dispatchers][dispatchers];
        hosts = new String[dispatchers];
        ports = new int[dispatchers];
    }

    /** Opens all sockets on a host. */
    Future<?> open(String host) {
        List<Future<?>> all = new ArrayList<>();
        for (int a = 0; a < dispatchers; a++) {
            for (int b = 0; b < dispatchers; b++) {
                if (a != b) {
                    int from = a;
                    int to = b;
                    sockets[a][b] = vertx.createDatagramSocket(new DatagramSocketOptions());
                    sockets[a][b].exceptionHandler(e -> {});
                    sockets[a][b].handler(packet -> forward(from, to, packet));
                    all.add(sockets[a][b].listen(0, host));
                }
            }
        }
        return Future.all(all);
    }

    /** Sets the address at which a dispatcher listens. */
    void setTarget(int dispatcher, String host, int port) {
        hosts[dispatcher] = host;
        ports[dispatcher] = port;
    }

    /** Applies these link faults from now on. */
    void setLinks(PeerLinks newLinks) {
        links = newLinks;
    }

    /** The address of one dispatcher as another one sees it. */
    String address(int target, int viewer, String host) {
        return host + ":" + sockets[viewer][target].localAddress().port();
    }

    private void forward(int from, int to, DatagramPacket packet) {
        Buffer data = packet.data();
        datagrams++;
        bytes += data.length();
        oversized += data.length() > MAX_DATAGRAM_BYTES ? 1 : 0;
        List<Long> copies = links == null ? List.of(0L) : links.copies(clock.getAsLong(), from, to, random::nextDouble);
        for (long delay : copies) {
            if (delay < 1000) {
                deliver(from, to, data);
            } else {
                vertx.setTimer(delay / 1000, t -> deliver(from, to, data));
            }
        }
    }

    /** Drops delayed datagrams from now on: the sockets close in no defined order. */
    void close() {
        closed = true;
    }

    private void deliver(int from, int to, Buffer data) {
        if (closed) {
            return;
        }
        sockets[to][from].send(data, ports[to], hosts[to]);
    }
}
