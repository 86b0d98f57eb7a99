package saffronferry.lifecycle;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** Opens many connections at once that send nothing, and measures how a process copes with them. */
final class ConnectionFlood implements AutoCloseable {
    private final List<SocketChannel> connections = new ArrayList<>();

    /** Opens {@code size} connections without waiting for them. */
    ConnectionFlood(int port, int size) throws IOException {
        for (int i = 0; i < size; i++) {
            SocketChannel s = SocketChannel.open();
            connections.add(s);
            s.configureBlocking(false);
            s.connect(new InetSocketAddress("127.0.0.1", port));
        }
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel s : connections) {
            s.close();
        }
    }

    /** Opens and closes connections immediately, at the given rate. */
    static void openAndClose(int port, int perSecond, int seconds) throws Exception {
        long begun = System.nanoTime();
        for (int i = 0; i < perSecond * seconds; i++) {
            try (SocketChannel s = SocketChannel.open()) {
                s.configureBlocking(false);
                s.connect(new InetSocketAddress("127.0.0.1", port));
            }
            long ahead = i * 1_000_000_000L / perSecond - (System.nanoTime() - begun);
            if (ahead > 1_000_000) {
                Thread.sleep(ahead / 1_000_000);
            }
        }
    }

    /** The time until {@code /up} answers 200, with a timeout of 1 s per attempt, in ms. */
    static long msUntilUp(int port) throws Exception {
        long begun = System.nanoTime();
        while (System.nanoTime() - begun < 20_000_000_000L) {
            try (java.net.Socket s = new java.net.Socket()) {
                s.connect(new InetSocketAddress("127.0.0.1", port), 1000);
                s.setSoTimeout(1000);
                s.getOutputStream().write("GET /up HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                byte[] head = s.getInputStream().readNBytes(12);
                if (new String(head, StandardCharsets.US_ASCII).endsWith(" 200")) {
                    return (System.nanoTime() - begun) / 1_000_000;
                }
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
        return Long.MAX_VALUE;
    }

    /** Samples the number of descriptors of a process and keeps the maximum. */
    static final class DescriptorPeak implements AutoCloseable {
        private final AtomicInteger max = new AtomicInteger();
        private final Thread thread;

        DescriptorPeak(long pid) {
            thread = new Thread(() -> {
                while (!Thread.currentThread().isInterrupted()) {
                    try (Stream<Path> all = Files.list(Path.of("/proc/" + pid + "/fd"))) {
                        max.accumulateAndGet((int) all.count(), Math::max);
                        Thread.sleep(5);
                    } catch (IOException | java.io.UncheckedIOException e) {
                        // the process has not started yet, or has ended
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        int max() {
            return max.get();
        }

        @Override
        public void close() {
            thread.interrupt();
        }
    }

    /** Sends one request on a raw connection; returns the status, or 0 if the connection was closed. */
    static int status(SocketChannel s, String request) throws IOException {
        s.write(ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)));
        ByteBuffer answer = ByteBuffer.allocate(4096);
        while (answer.position() < 12) {
            if (s.read(answer) < 0) {
                return 0;
            }
        }
        return Integer.parseInt(new String(answer.array(), 9, 3, StandardCharsets.US_ASCII));
    }
}
