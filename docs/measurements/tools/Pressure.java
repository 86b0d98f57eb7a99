import java.io.BufferedReader;
import java.io.File;
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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A dispatcher under pressure, on one core.
 *
 * <pre>java docs/measurements/tools/Pressure.java crowd CHECKOUT DESCRIPTORS CROWD SECONDS CORE
 * java docs/measurements/tools/Pressure.java start CHECKOUT RUNS CLIENTS CORE
 * java docs/measurements/tools/Pressure.java bodies CHECKOUT DESCRIPTORS CONNECTIONS SECONDS CORE
 * java docs/measurements/tools/Pressure.java machine CHECKOUT DESCRIPTORS SECONDS CORE RATE...</pre>
 *
 * {@code crowd}: what usual clients get, 100 requests a second in all, each on a new connection and with latency
 * counted from its intended start, while a crowd of connections presses that say nothing and come again when they
 * are closed. {@code start}: from exec to the first served request, on half a core: the dispatcher shares its core
 * with a busy loop, and clients try to connect from before its start, each with one request. {@code bodies}: so many
 * connections at once send requests with bodies as long as is allowed, again and again, and do not read. {@code
 * machine}: what a usual load takes, at each rate of requests a second: memory by the JVM's own account, processor
 * by thread, descriptors. CHECKOUT is a folder in which the build of {@code deploy/balancer.toml} has been run.
 */
public final class Pressure {
    private static final int PORT = 22_000;
    private static final int PER_SECOND = 100;

    public static void main(String[] args) throws Exception {
        serve(PORT + 1, true);
        serve(PORT + 2, false);
        serve(PORT + 3, false);
        if (args[0].equals("start")) {
            starts(args);
        } else if (args[0].equals("bodies")) {
            bodies(args);
        } else if (args[0].equals("machine")) {
            machine(args);
        } else {
            crowd(args);
        }
        System.exit(0);
    }

    private static void starts(String[] args) throws Exception {
        Path checkout = Path.of(args[1]);
        int runs = Integer.parseInt(args[2]);
        int clients = Integer.parseInt(args[3]);
        String core = args[4];
        Path config = config(1024);
        double[][] all = new double[4][runs];
        for (int run = 0; run < runs; run++) {
            Process spin = new ProcessBuilder("taskset", "-c", core, "sh", "-c", "while :; do :; done").start();
            try {
                double[] one = start(checkout, config, clients, core);
                for (int i = 0; i < one.length; i++) {
                    all[i][run] = one[i];
                }
            } finally {
                spin.destroyForcibly();
            }
        }
        String[] names = {"first served", "half served", "last served", "share served"};
        for (int i = 0; i < names.length; i++) {
            Arrays.sort(all[i]);
            System.out.printf("%-13s min %.3f  median %.3f  max %.3f%n", names[i], all[i][0], all[i][runs / 2],
                    all[i][runs - 1]);
        }
    }

    private static double[] start(Path checkout, Path config, int clients, String core) throws Exception {
        List<String> command = List.of("taskset", "-c", core, "java", "@deploy/serve.jvm",
                "-XX:SharedArchiveFile=target/saffronferry.jsa", "-Djava.io.tmpdir=/tmp", "-jar",
                "target/saffronferry.jar", "serve");
        ProcessBuilder builder = new ProcessBuilder(command).directory(checkout.toFile())
                .redirectErrorStream(true).redirectOutput(new File("/dev/null"));
        builder.environment().put("BALANCER_CONFIG", config.toString());
        CountDownLatch done = new CountDownLatch(clients);
        double[] served = new double[clients];
        long[] begun = {0};
        Process[] process = {null};
        begun[0] = System.nanoTime();
        process[0] = builder.start();
        for (int i = 0; i < clients; i++) {
            int number = i;
            Thread thread = new Thread(() -> {
                served[number] = ask(number, begun[0]);
                done.countDown();
            });
            thread.setDaemon(true);
            thread.start();
        }
        done.await(30, TimeUnit.SECONDS);
        process[0].destroyForcibly().waitFor();
        double[] times = Arrays.stream(served).filter(t -> t > 0).sorted().toArray();
        int n = times.length;
        return n == 0 ? new double[] {99, 99, 99, 0}
                : new double[] {times[0], times[n / 2], times[n - 1], n / (double) clients};
    }

    /** Seconds from the start until this client had its answer; 0 if it had none within 20 s. */
    private static double ask(int number, long begun) {
        while (System.nanoTime() - begun < 20_000_000_000L) {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress("127.0.0.1", PORT), 2000);
                s.setSoTimeout(6000);
                s.getOutputStream().write(("POST /directory-page HTTP/1.1\r\nHost: h\r\nX-Txn: c" + number + "-"
                        + System.nanoTime() + "\r\nX-Remaining-Ms: 6000\r\nContent-Length: 0\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                byte[] head = s.getInputStream().readNBytes(12);
                if (new String(head, StandardCharsets.US_ASCII).endsWith(" 200")) {
                    return (System.nanoTime() - begun) / 1e9;
                }
                Thread.sleep(100);
            } catch (IOException e) {
                pause();
            } catch (InterruptedException e) {
                return 0;
            }
        }
        return 0;
    }

    private static void pause() {
        try {
            Thread.sleep(10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void await() throws InterruptedException {
        while (ask("warm" + System.nanoTime(), 1000) != 200) {
            Thread.sleep(20);
        }
    }

    private static void bodies(String[] args) throws Exception {
        int connections = Integer.parseInt(args[3]);
        Process process = launch(Path.of(args[1]), Integer.parseInt(args[2]), args[5], "");
        try {
            await();
            long end = System.nanoTime() + Integer.parseInt(args[4]) * 1_000_000_000L;
            AtomicInteger sent = new AtomicInteger();
            byte[] body = new byte[64 * 1024 - 16];
            for (int i = 0; i < connections; i++) {
                Thread thread = new Thread(() -> {
                    while (System.nanoTime() < end) {
                        try (Socket s = new Socket()) {
                            s.connect(new InetSocketAddress("127.0.0.1", PORT), 2000);
                            s.setSoTimeout(5000);
                            s.getOutputStream().write(("POST /directory-page HTTP/1.1\r\nHost: h\r\nX-Txn: b"
                                    + sent.incrementAndGet() + "\r\nX-Remaining-Ms: 5000\r\nContent-Length: "
                                    + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                            s.getOutputStream().write(body);
                            s.getInputStream().read();
                        } catch (IOException e) {
                            pause();
                        }
                    }
                });
                thread.setDaemon(true);
                thread.start();
            }
            String most = "";
            long peak = 0;
            while (System.nanoTime() < end && process.isAlive()) {
                String now = rss(process.pid());
                long mb = Long.parseLong("0" + now.replaceAll("\\D", ""));
                most = mb > peak ? now : most;
                peak = Math.max(peak, mb);
                Thread.sleep(20);
            }
            System.out.printf("%d connections with %d bytes each, %s descriptors: %d sent, RSS at most %s, %s%n",
                    connections, body.length, args[2], sent.get(), most, process.isAlive() ? "alive"
                    : "ended with " + process.exitValue());
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    private static void machine(String[] args) throws Exception {
        int seconds = Integer.parseInt(args[3]);
        Process process = launch(Path.of(args[1]), Integer.parseInt(args[2]), args[4],
                "-XX:NativeMemoryTracking=summary");
        try {
            await();
            for (String rate : Arrays.asList(args).subList(5, args.length)) {
                AtomicInteger held = new AtomicInteger();
                Thread looking = new Thread(() -> look(process.pid(), held));
                looking.setDaemon(true);
                looking.start();
                java.util.Map<String, Long> before = threads(process.pid());
                double[] latencies = usual(Integer.parseInt(rate), seconds);
                java.util.Map<String, Long> after = threads(process.pid());
                after.replaceAll((name, ticks) -> ticks - before.getOrDefault(name, 0L));
                long ticks = after.values().stream().mapToLong(Long::longValue).sum();
                after.values().removeIf(x -> x == 0);
                double[] served = Arrays.stream(latencies).filter(t -> t >= 0).sorted().toArray();
                System.out.printf("%s a second: served %.3f, p50 %.1f ms; %.3f of a core, %.2f ms a request; most "
                        + "descriptors %d; RSS %s; hundredths of a second by thread %s%n", rate, served.length
                        / (double) latencies.length, served.length == 0 ? -1 : served[served.length / 2] * 1000,
                        ticks / 100.0 / seconds, ticks * 10.0 / Math.max(1, latencies.length), held.get(),
                        rss(process.pid()), after);
            }
            Process jcmd = new ProcessBuilder("jcmd", Long.toString(process.pid()), "VM.native_memory", "summary")
                    .redirectErrorStream(true).start();
            new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8).lines()
                    .filter(l -> l.contains("committed=")).forEach(System.out::println);
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    /** Processor time of each thread by its name, in hundredths of a second. */
    private static java.util.Map<String, Long> threads(long pid) throws IOException {
        java.util.Map<String, Long> all = new java.util.TreeMap<>();
        for (File task : new File("/proc/" + pid + "/task").listFiles()) {
            String stat = Files.readString(task.toPath().resolve("stat"));
            String[] rest = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            all.merge(stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')')), Long.parseLong(rest[11])
                    + Long.parseLong(rest[12]), Long::sum);
        }
        return all;
    }

    private static void crowd(String[] args) throws Exception {
        int descriptors = Integer.parseInt(args[2]);
        int crowd = Integer.parseInt(args[3]);
        int seconds = Integer.parseInt(args[4]);
        Process process = launch(Path.of(args[1]), descriptors, args[5], "");
        try {
            await();
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
            String[] names = new File("/proc/" + pid + "/fd").list();
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

    private static Process launch(Path checkout, int descriptors, String core, String options)
            throws IOException {
        Path file = config(descriptors);
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", "ulimit -n " + descriptors + "; exec taskset -c " + core
                + " java @deploy/serve.jvm " + options + " -XX:SharedArchiveFile=target/saffronferry.jsa -Djava.io.tmpdir=/tmp"
                + " -jar target/saffronferry.jar serve").directory(checkout.toFile()).redirectErrorStream(true)
                .redirectOutput(new File("/dev/null"));
        builder.environment().put("BALANCER_CONFIG", file.toString());
        return builder.start();
    }

    private static Path config(int descriptors) throws IOException {
        String text = Files.readString(Path.of("examples/config.json")).replace(":9000", ":" + PORT)
                .replace(":8500", ":" + (PORT + 1)).replace(":9101", ":" + (PORT + 2))
                .replace(":9102", ":" + (PORT + 3)).replace(":7946", ":" + (PORT + 4))
                .replace("\"sockets\": 1024", "\"sockets\": " + descriptors);
        Path file = Files.createTempFile("crowd", ".json");
        file.toFile().deleteOnExit();
        return Files.writeString(file, text);
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
