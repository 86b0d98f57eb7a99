import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What usual clients get while a crowd of connections presses that say nothing and come again when they are closed.
 *
 * <pre>java docs/measurements/tools/CrowdLoad.java CHECKOUT DESCRIPTORS CROWD SECONDS CORE</pre>
 *
 * A dispatcher on one core may hold so many descriptors; 100 usual clients ask 100 times a second in all, each time
 * on a new connection, with latency counted from the intended start. CHECKOUT is a folder in which the build
 * of {@code deploy/balancer.toml} has been run.
 */
public final class CrowdLoad {
    private static final int PORT = 22_000;
    private static final int PER_SECOND = 100;

    public static void main(String[] args) throws Exception {
        int descriptors = Integer.parseInt(args[1]);
        int crowd = Integer.parseInt(args[2]);
        int seconds = Integer.parseInt(args[3]);
        serve(PORT + 1, true);
        serve(PORT + 2, false);
        serve(PORT + 3, false);
        Process process = start(Path.of(args[0]), descriptors, args[4]);
        try {
            while (ask("warm" + System.nanoTime(), 1000) != 200) {
                Thread.sleep(20);
            }
            Thread.sleep(1000);
            usual(50, 1); // so that all is compiled that will be
            AtomicInteger reconnects = new AtomicInteger();
            Thread pressing = new Thread(() -> press(crowd, seconds, reconnects));
            AtomicInteger held = new AtomicInteger();
            Thread looking = new Thread(() -> look(process.pid(), held));
            looking.setDaemon(true);
            looking.start();
            long cpu = cpu(process);
            pressing.start();
            double[] latencies = usual(PER_SECOND, seconds);
            pressing.join();
            double used = (cpu(process) - cpu) / 1000.0 / seconds;
            long begun = System.nanoTime();
            long up = -1;
            while (up < 0 && System.nanoTime() - begun < 10_000_000_000L) {
                if (get("GET /up HTTP/1.1\r\nHost: h\r\n\r\n", 1000) == 200) {
                    up = (System.nanoTime() - begun) / 1_000_000;
                }
            }
            double[] served = Arrays.stream(latencies).filter(t -> t >= 0).sorted().toArray();
            int n = served.length;
            System.out.printf("crowd %d against %d: served %.3f of %d, p50 %.1f ms, p99 %.1f ms; back %.0f times a "
                    + "second; %.2f of a core; most descriptors %d; RSS %s; /up after it %s%n", crowd, descriptors,
                    n / (double) latencies.length, latencies.length, n == 0 ? -1 : served[n / 2] * 1000,
                    n == 0 ? -1 : served[n * 99 / 100] * 1000, reconnects.get() / (double) seconds, used, held.get(),
                    rss(process.pid()), up < 0 ? "never" : up + " ms");
        } finally {
            process.destroyForcibly().waitFor();
        }
        System.exit(0);
    }

    /** One latency for each request, in seconds from its intended start; -1 where it was not served. */
    private static double[] usual(int perSecond, int seconds) throws InterruptedException {
        ScheduledExecutorService clients = Executors.newScheduledThreadPool(100);
        ConcurrentLinkedQueue<Double> all = new ConcurrentLinkedQueue<>();
        for (int i = 0; i < perSecond * seconds; i++) {
            long due = System.nanoTime() + i * 1_000_000_000L / perSecond;
            int number = i;
            clients.schedule(() -> {
                boolean served = ask(number + "-" + due, 5000) == 200;
                all.add(served ? (System.nanoTime() - due) / 1e9 : -1.0);
            }, due - System.nanoTime(), TimeUnit.NANOSECONDS);
        }
        clients.shutdown();
        clients.awaitTermination(seconds + 10, TimeUnit.SECONDS);
        return all.stream().mapToDouble(Double::doubleValue).toArray();
    }

    private static int ask(String id, int patience) {
        return get("POST /directory-page HTTP/1.1\r\nHost: h\r\nX-Txn: " + id
                + "\r\nX-Remaining-Ms: 5000\r\nContent-Length: 0\r\n\r\n", patience);
    }

    private static int get(String request, int patience) {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress("127.0.0.1", PORT), patience);
            s.setSoTimeout(patience);
            s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] head = s.getInputStream().readNBytes(12);
            return head.length < 12 ? 0 : Integer.parseInt(new String(head, 9, 3, StandardCharsets.US_ASCII));
        } catch (IOException e) {
            return 0;
        }
    }

    /** Holds so many connections for so long; whoever is closed connects again at once. */
    private static void press(int crowd, int seconds, AtomicInteger again) {
        try (Selector selector = Selector.open()) {
            for (int i = 0; i < crowd; i++) {
                open(selector);
            }
            long end = System.nanoTime() + seconds * 1_000_000_000L;
            while (System.nanoTime() < end) {
                selector.select(50);
                List<SelectionKey> ready = new ArrayList<>(selector.selectedKeys());
                selector.selectedKeys().clear();
                for (SelectionKey key : ready) {
                    if (key.isValid() && closed(key)) {
                        key.channel().close();
                        open(selector);
                        again.incrementAndGet();
                    }
                }
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static boolean closed(SelectionKey key) {
        SocketChannel channel = (SocketChannel) key.channel();
        try {
            if (key.isConnectable()) {
                channel.finishConnect();
                key.interestOps(SelectionKey.OP_READ);
                return false;
            }
            return channel.read(java.nio.ByteBuffer.allocate(512)) < 0;
        } catch (IOException e) {
            return true;
        }
    }

    private static void open(Selector selector) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.connect(new InetSocketAddress("127.0.0.1", PORT));
        channel.register(selector, SelectionKey.OP_CONNECT);
    }

    private static void look(long pid, AtomicInteger held) {
        while (true) {
            String[] names = new java.io.File("/proc/" + pid + "/fd").list();
            held.accumulateAndGet(names == null ? 0 : names.length, Math::max);
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static long cpu(Process process) {
        return process.info().totalCpuDuration().map(java.time.Duration::toMillis).orElse(0L);
    }

    private static String rss(long pid) throws IOException {
        return Files.readString(Path.of("/proc/" + pid + "/status")).lines().filter(l -> l.startsWith("VmRSS"))
                .map(l -> Integer.parseInt(l.replaceAll("\\D", "")) / 1024 + " MB").findFirst().orElse("?");
    }

    private static Process start(Path checkout, int descriptors, String core) throws IOException {
        String text = Files.readString(Path.of("examples/config.json")).replace(":9000", ":" + PORT)
                .replace(":8500", ":" + (PORT + 1)).replace(":9101", ":" + (PORT + 2))
                .replace(":9102", ":" + (PORT + 3)).replace(":7946", ":" + (PORT + 4))
                .replace("\"sockets\": 1024", "\"sockets\": " + descriptors);
        Path file = Files.createTempFile("crowd", ".json");
        file.toFile().deleteOnExit();
        Files.writeString(file, text);
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", "ulimit -n " + descriptors + "; exec taskset -c " + core
                + " java @deploy/serve.jvm -XX:SharedArchiveFile=target/saffronferry.jsa -Djava.io.tmpdir=/tmp"
                + " -jar target/saffronferry.jar serve").directory(checkout.toFile()).redirectErrorStream(true)
                .redirectOutput(new java.io.File("/dev/null"));
        builder.environment().put("BALANCER_CONFIG", file.toString());
        return builder.start();
    }

    /** A worker with 64 slots that takes 20 ms for a job, or discovery that never changes its mind. */
    private static void serve(int port, boolean discovery) throws IOException {
        ServerSocket server = new ServerSocket(port, 1024, InetAddress.getByName("127.0.0.1"));
        Thread accepting = new Thread(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    Thread thread = new Thread(() -> converse(socket, discovery));
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        accepting.setDaemon(true);
        accepting.start();
    }

    private static void converse(Socket socket, boolean discovery) {
        try (socket; OutputStream out = socket.getOutputStream(); InputStream in = socket.getInputStream()) {
            BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.ISO_8859_1));
            String first = reader.readLine();
            for (String line = first; line != null && !line.isEmpty(); line = reader.readLine()) { }
            if (discovery) {
                write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                while (true) {
                    write(out, "1\r\n\n\r\n");
                    Thread.sleep(1000);
                }
            } else if (first != null && first.startsWith("GET")) {
                write(out, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nx0=64,x1=64");
            } else {
                Thread.sleep(20);
                write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("{\"state\":\"started\"}")
                        + chunk("{\"state\":\"done\",\"result\":\"made\"}") + "0\r\n\r\n");
            }
        } catch (IOException | InterruptedException e) {
            // the dispatcher has closed its end
        }
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
