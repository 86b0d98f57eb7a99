package saffronferry.lifecycle;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Forwards datagrams between dispatchers through one socket per direction of each pair, and drops, duplicates and
 * delays them.
 */
@SuppressWarnings("try") // close waits for the thread and may be interrupted
final class LossyNetwork extends Thread implements AutoCloseable {
    private record Delayed(long at, int from, int to, byte[] bytes) {}

    volatile double loss;
    volatile double duplicated;
    volatile int maxDelayMs;
    /** Partitions the network: dispatchers below this number cannot reach the others; 0 = no partition. */
    volatile int partitionAt;

    private final InetSocketAddress[] listen;
    /** At [a][b]: the socket that stands for b at a; a sends to it, and receives from it what b sent. */
    private final DatagramChannel[][] channels;

    private final Selector selector = Selector.open();
    private final SplittableRandom random = new SplittableRandom(38);
    private final PriorityQueue<Delayed> delayed = new PriorityQueue<>(Comparator.comparingLong(Delayed::at));
    private final ByteBuffer buffer = ByteBuffer.allocate(2048);
    private volatile boolean closed;

    LossyNetwork(InetSocketAddress... listen) throws IOException {
        super("links");
        this.listen = listen;
        channels = new DatagramChannel[listen.length][listen.length];
        for (int a = 0; a < listen.length; a++) {
            for (int b = 0; b < listen.length; b++) {
                if (a != b) {
                    channels[a][b] = DatagramChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
                    channels[a][b].configureBlocking(false);
                    channels[a][b].register(selector, SelectionKey.OP_READ, new int[] {a, b});
                }
            }
        }
        setDaemon(true);
        start();
    }

    /** The address of a dispatcher as configured at a given dispatcher. */
    String address(int of, int at) {
        InetSocketAddress address = of == at
                ? listen[of]
                : (InetSocketAddress) channels[at][of].socket().getLocalSocketAddress();
        return "127.0.0.1:" + address.getPort();
    }

    @Override
    public void run() {
        try {
            while (!closed) {
                selector.select(delayed.isEmpty() ? 100 : 1);
                for (SelectionKey key : selector.selectedKeys()) {
                    int[] link = (int[]) key.attachment();
                    buffer.clear();
                    while (((DatagramChannel) key.channel()).receive(buffer) != null) {
                        byte[] bytes = new byte[buffer.flip().remaining()];
                        buffer.get(bytes).clear();
                        forward(link[0], link[1], bytes);
                    }
                }
                selector.selectedKeys().clear();
                while (!delayed.isEmpty() && delayed.peek().at() <= System.nanoTime()) {
                    Delayed datagram = delayed.poll();
                    channels[datagram.to()][datagram.from()].send(
                            ByteBuffer.wrap(datagram.bytes()), listen[datagram.to()]);
                }
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private void forward(int from, int to, byte[] bytes) {
        if (from < partitionAt != to < partitionAt) {
            return;
        }
        for (int copies = random.nextDouble() < duplicated ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() >= loss) {
                long delay = maxDelayMs == 0 ? 0 : random.nextLong(maxDelayMs * 1_000_000L);
                delayed.add(new Delayed(System.nanoTime() + delay, from, to, bytes));
            }
        }
    }

    @Override
    public void close() throws Exception {
        closed = true;
        selector.wakeup();
        join();
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
