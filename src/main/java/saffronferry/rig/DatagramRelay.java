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
 * Carries datagrams between dispatchers over a socket for each pair, so that each link can be troubled alone
 * and each dispatcher sees every other one at one address.
 */
final class DatagramRelay {
    private final Vertx vertx;
    private final int dispatchers;
    private final LongSupplier clock;
    private final SplittableRandom random;
    /** At [a][b]: where a sends what is for b, and where what b says comes from at a. */
    private final DatagramSocket[][] sockets;

    private final String[] hosts;
    private final int[] ports;
    private PeerLinks links;
    private volatile boolean closed;
    long datagrams;
    long bytes;
    long tooLong;

    DatagramRelay(Vertx vertx, int dispatchers, LongSupplier clock, SplittableRandom random) {
        this.vertx = vertx;
        this.dispatchers = dispatchers;
        this.clock = clock;
        this.random = random;
        sockets = new DatagramSocket[dispatchers][dispatchers];
        hosts = new String[dispatchers];
        ports = new int[dispatchers];
    }

    /** Opens all sockets at a host. */
    Future<?> open(String host) {
        List<Future<?>> all = new ArrayList<>();
        for (int a = 0; a < dispatchers; a++) {
            for (int b = 0; b < dispatchers; b++) {
                if (a != b) {
                    int from = a;
                    int to = b;
                    sockets[a][b] = vertx.createDatagramSocket(new DatagramSocketOptions());
                    sockets[a][b].exceptionHandler(e -> {});
                    sockets[a][b].handler(packet -> carry(from, to, packet));
                    all.add(sockets[a][b].listen(0, host));
                }
            }
        }
        return Future.all(all);
    }

    /** Where a dispatcher itself listens. */
    void at(int dispatcher, String host, int port) {
        hosts[dispatcher] = host;
        ports[dispatcher] = port;
    }

    /** From now on links are troubled by these. */
    void trouble(PeerLinks by) {
        links = by;
    }

    /** The address of one dispatcher as another is told it. */
    String address(int of, int toldTo, String host) {
        return host + ":" + sockets[toldTo][of].localAddress().port();
    }

    private void carry(int from, int to, DatagramPacket packet) {
        Buffer data = packet.data();
        datagrams++;
        bytes += data.length();
        tooLong += data.length() > 256 ? 1 : 0;
        List<Long> copies = links == null ? List.of(0L) : links.copies(clock.getAsLong(), from, to, random::nextDouble);
        for (long late : copies) {
            if (late < 1000) {
                deliver(from, to, data);
            } else {
                vertx.setTimer(late / 1000, t -> deliver(from, to, data));
            }
        }
    }

    /** What is still under way is carried no further: sockets close in no order. */
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
