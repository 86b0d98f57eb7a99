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
 * Carries datagrams between real dispatchers over a socket for each way of each pair, and loses, doubles and reorders
 * them.
 */
@SuppressWarnings("try") // close waits for the thread and may be interrupted
final class LossyNetwork extends Thread implements AutoCloseable {
    private record Late(long at, int from, int to, byte[] bytes) {}

    volatile double loss;
    volatile double doubled;
    volatile int mostDelayMs;
    /** Those below it and the others do not hear each other; 0 = all do. */
    volatile int cutAt;

    private final InetSocketAddress[] listen;
    /** At [a][b]: where a sends what is for b, and where what b says comes from at a. */
    private final DatagramChannel[][] channels;

    private final Selector selector = Selector.open();
    private final SplittableRandom random = new SplittableRandom(38);
    private final PriorityQueue<Late> late = new PriorityQueue<>(Comparator.comparingLong(Late::at));
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

    /** One dispatcher's address as another is told it. */
    String address(int of, int toldTo) {
        InetSocketAddress at = of == toldTo
                ? listen[of]
                : (InetSocketAddress) channels[toldTo][of].socket().getLocalSocketAddress();
        return "127.0.0.1:" + at.getPort();
    }

    @Override
    public void run() {
        try {
            while (!closed) {
                selector.select(late.isEmpty() ? 100 : 1);
                for (SelectionKey key : selector.selectedKeys()) {
                    int[] way = (int[]) key.attachment();
                    buffer.clear();
                    while (((DatagramChannel) key.channel()).receive(buffer) != null) {
                        byte[] bytes = new byte[buffer.flip().remaining()];
                        buffer.get(bytes).clear();
                        carry(way[0], way[1], bytes);
                    }
                }
                selector.selectedKeys().clear();
                while (!late.isEmpty() && late.peek().at() <= System.nanoTime()) {
                    Late l = late.poll();
                    channels[l.to()][l.from()].send(ByteBuffer.wrap(l.bytes()), listen[l.to()]);
                }
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private void carry(int from, int to, byte[] bytes) {
        if (from < cutAt != to < cutAt) {
            return;
        }
        for (int copies = random.nextDouble() < doubled ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() >= loss) {
                long delay = mostDelayMs == 0 ? 0 : random.nextLong(mostDelayMs * 1_000_000L);
                late.add(new Late(System.nanoTime() + delay, from, to, bytes));
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
