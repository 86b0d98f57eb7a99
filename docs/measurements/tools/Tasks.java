import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What tasks that run cost one real dispatcher: memory with so many open at a time, processor time of each.
 *
 * <pre>java -Dworkers=100 docs/measurements/tools/Tasks.java CHECKOUT RESULT.json SOCKETS TASKS... [rate RATE...]</pre>
 *
 * For each number of tasks a process is started as the deploy file says, with a limit of SOCKETS descriptors, and
 * so many clients each send a request whose task does not end; the system's count of resident memory is read when all
 * run. For each rate so many requests a second come, each on a new connection, and end at once; processor time is
 * the process's own from the system's count, that of an idle one taken off. Workers, clients and discovery are
 * sockets of this program on loopback. CHECKOUT is a folder in which the deploy file's build has been run.
 */
public final class Tasks {
    private static final int PORT = 23_000;
    private static final int WORKERS = Integer.getInteger("workers", 100);
    private static final int MOST_AT_A_WORKER = 400;
    private static final Pattern ID = Pattern.compile("(?i)X-Txn: *(\\S+)");

    private final Selector selector = Selector.open();
    private final int[] runs = new int[WORKERS];
    private final List<Talk> open = new ArrayList<>();
    private final ArrayDeque<Long> retries = new ArrayDeque<>();
    private boolean endAtOnce;
    private int running;
    private int served;
    private int refused;
    private int sent;
    private int probes;

    private Tasks() throws IOException {
        for (int i = 0; i <= WORKERS; i++) {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.bind(new InetSocketAddress("127.0.0.1", PORT + 1 + i), 4096);
            server.configureBlocking(false);
            server.register(selector, SelectionKey.OP_ACCEPT, i - 1); // the first one is discovery
        }
    }

    /** One connection: worker's or discovery's side where {@code worker} is not a client's -2. */
    private final class Talk {
        final SocketChannel channel;
        final int worker;
        final StringBuilder in = new StringBuilder();
        boolean busy;
        String id;

        Talk(SocketChannel channel, int worker) {
            this.channel = channel;
            this.worker = worker;
        }

        void say(String text) throws IOException {
            ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
        }

        void chunk(String line) throws IOException {
            say(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
        }

        void heard() throws IOException {
            int end = in.indexOf("\r\n\r\n");
            if (end < 0) {
                return;
            }
            String head = in.substring(0, end);
            if (worker == -2) {
                boolean ok = head.startsWith("HTTP/1.1 200");
                served += ok ? 1 : 0;
                refused += ok ? 0 : 1;
                if (!ok && !endAtOnce) {
                    retries.add(System.nanoTime() + 50_000_000);
                }
                close(this);
            } else if (worker == -1) {
                in.setLength(0);
                say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                chunk("{\"revision\":1,\"complete\":false,\"members\":[]}");
                busy = true;
            } else if (head.startsWith("GET")) {
                probes++;
                String load = "qps=1,util=0.1,x0=" + (MOST_AT_A_WORKER - runs[worker]) + ",x1=4";
                say("HTTP/1.1 200 OK\r\nContent-Length: " + load.length() + "\r\nConnection: close\r\n\r\n" + load);
                close(this);
            } else {
                Matcher m = ID.matcher(head);
                id = m.find() ? m.group(1) : "none";
                in.setLength(0);
                say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                chunk(line("started"));
                if (endAtOnce) {
                    chunk(line("done\",\"result\":\"x"));
                    say("0\r\n\r\n");
                    close(this);
                } else {
                    busy = true;
                    running++;
                    runs[worker]++;
                }
            }
        }

        String line(String state) {
            return "{\"id\":\"" + id + "\",\"from\":\"w" + worker + "\",\"state\":\"" + state + "\"}";
        }
    }

    private void close(Talk talk) throws IOException {
        if (talk.busy && talk.worker >= 0) {
            running--;
            runs[talk.worker]--;
        }
        talk.channel.close();
        open.remove(talk);
    }

    private void ask(boolean up) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.connect(new InetSocketAddress("127.0.0.1", PORT));
        channel.configureBlocking(false);
        Talk talk = new Talk(channel, -2);
        channel.register(selector, SelectionKey.OP_READ, talk);
        open.add(talk);
        talk.say(up ? "GET /up HTTP/1.1\r\nHost: h\r\n\r\n" : "POST /task HTTP/1.1\r\nHost: h\r\nX-Txn: t" + sent++
                + "\r\nX-Remaining-Ms: 500000\r\nContent-Length: 0\r\n\r\n");
    }

    private void look() throws IOException {
        selector.select(2);
        for (SelectionKey key : selector.selectedKeys()) {
            if (key.isValid() && key.isAcceptable()) {
                SocketChannel channel = ((ServerSocketChannel) key.channel()).accept();
                if (channel != null) {
                    channel.configureBlocking(false);
                    Talk talk = new Talk(channel, (Integer) key.attachment());
                    channel.register(selector, SelectionKey.OP_READ, talk);
                    open.add(talk);
                }
            } else if (key.isValid() && key.isReadable()) {
                read((Talk) key.attachment());
            }
        }
        selector.selectedKeys().clear();
    }

    private void read(Talk talk) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(4096);
        try {
            if (talk.channel.read(bytes) < 0) {
                close(talk);
                return;
            }
            talk.in.append(new String(bytes.array(), 0, bytes.position(), StandardCharsets.US_ASCII));
            talk.heard();
        } catch (IOException e) {
            close(talk);
        }
    }

    private long lastNote;

    /** Discovery's empty lines, and from each worker a note of one of its tasks: silence makes a suspect. */
    private void notes() throws IOException {
        long now = System.nanoTime();
        if (now - lastNote < 200_000_000) {
            return;
        }
        lastNote = now;
        boolean[] told = new boolean[WORKERS];
        for (Talk talk : List.copyOf(open)) {
            try {
                if (talk.worker == -1 && talk.busy) {
                    talk.chunk("");
                } else if (talk.worker >= 0 && talk.busy && !told[talk.worker]) {
                    told[talk.worker] = true;
                    talk.chunk("{\"id\":\"" + talk.id + "\",\"from\":\"w\",\"state\":\"running\",\"share\":0.1}");
                }
            } catch (IOException e) {
                close(talk);
            }
        }
    }

    private void during(double seconds) throws IOException {
        long end = System.nanoTime() + (long) (seconds * 1e9);
        while (System.nanoTime() < end) {
            look();
            notes();
        }
    }

    private void clear() throws IOException {
        for (Talk talk : List.copyOf(open)) {
            close(talk);
        }
    }

    /** So many tasks that do not end; how many run when no more begin. */
    private void fill(int tasks) throws IOException {
        int asked = 0;
        long end = System.nanoTime() + 40_000_000_000L;
        while (running < tasks && System.nanoTime() < end) {
            for (int i = 0; i < 4 && asked < tasks && asked - running < 200; i++) {
                ask(false);
                asked++;
            }
            while (!retries.isEmpty() && retries.peek() < System.nanoTime()) {
                retries.poll();
                ask(false);
            }
            look();
            notes();
        }
    }

    private void offer(int rate, double seconds) throws IOException {
        long begun = System.nanoTime();
        for (int i = 0; i < rate * seconds; i++) {
            long due = begun + (long) (i * 1e9 / rate);
            while (System.nanoTime() < due) {
                look();
                notes();
            }
            ask(false);
        }
        during(1);
    }

    // ---- the process ----

    private static Process start(Path checkout, int sockets, Path folder) throws IOException {
        Path config = Files.writeString(folder.resolve("config.json"), config(sockets));
        String line = "exec java @deploy/serve.jvm -XX:SharedArchiveFile=target/saffronferry.jsa -Djava.io.tmpdir="
                + folder + " -jar target/saffronferry.jar serve";
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", "ulimit -n " + sockets + "; " + line)
                .directory(checkout.toFile()).redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile());
        builder.environment().put("BALANCER_CONFIG", config.toString());
        return builder.start();
    }

    private static String config(int sockets) throws IOException {
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < WORKERS; i++) {
            members.append(i == 0 ? "" : ",").append("{\"id\":\"w").append(i).append("\",\"host_port\":\"127.0.0.1:")
                    .append(PORT + 2 + i).append("\",\"locality\":\"dub-north\",\"flavor\":\"big-box\",\"cell\":1,")
                    .append("\"phase\":\"SERVING\",\"size\":1.0,\"up_since_ms\":0}");
        }
        String text = Files.readString(Path.of("examples/config.json"));
        return text.replaceAll("(?s)\"members\": \\[.*?\\]\\}", Matcher.quoteReplacement("\"members\": [" + members
                + "]}")).replaceAll("(?s)\"profiles\": \\[.*?\\],\n", "\"profiles\": [{\"name\": \"task\", \"deadline\":"
                + " 600.0, \"target\": 60.0, \"points\": 1.0, \"lateValue\": 0.3, \"idempotency\": \"once\", \"group\":"
                + " \"all\", \"keyTtl\": 5.0, \"stream\": false}],\n")
                .replace("\"classKind\": [-1, -1], \"classPriority\": [0, 1], \"classStretch\": [1.75, 1.75]",
                "\"classKind\": [-1], \"classPriority\": [0], \"classStretch\": [1.75]")
                .replace(":9000", ":" + PORT).replace(":8500", ":" + (PORT + 1)).replace(":7946", ":" + (PORT - 1))
                .replace(":9090", ":" + (PORT - 2)).replace("\"sockets\": 1024", "\"sockets\": " + sockets)
                .replace("\"allowancePerS\": 50.0", "\"allowancePerS\": 50000.0");
    }

    /** Guards against figures of one process while another, left from before, serves its clients. */
    private static boolean taken() {
        try (SocketChannel channel = SocketChannel.open()) {
            return channel.connect(new InetSocketAddress("127.0.0.1", PORT));
        } catch (IOException e) {
            return false;
        }
    }

    private static double mb(Process process, String key) throws IOException {
        return Files.readString(Path.of("/proc/" + process.pid() + "/status")).lines()
                .filter(l -> l.startsWith(key + ":")).mapToInt(l -> Integer.parseInt(l.replaceAll("\\D", "")))
                .findFirst().orElse(0) / 1024.0;
    }

    /** Processor time of the process by the system's count, in seconds. */
    private static double used(Process process) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] rest = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(rest[11]) + Long.parseLong(rest[12])) / 100.0;
    }

    private static int descriptors(Process process) {
        String[] names = Path.of("/proc/" + process.pid() + "/fd").toFile().list();
        return names == null ? 0 : names.length;
    }

    public static void main(String[] args) throws Exception {
        Path checkout = Path.of(args[0]);
        int sockets = Integer.parseInt(args[2]);
        List<String> plays = new ArrayList<>();
        Tasks tasks = new Tasks();
        boolean rates = false;
        for (int i = 3; i < args.length; i++) {
            if (args[i].equals("rate")) {
                rates = true;
                continue;
            }
            if (taken()) {
                throw new IOException("port " + PORT + " is taken: another process serves there");
            }
            Path folder = Files.createTempDirectory("tasks");
            Process process = start(checkout, sockets, folder);
            try {
                plays.add(tasks.play(process, Integer.parseInt(args[i]), rates, sockets));
                System.out.println(plays.get(plays.size() - 1));
            } finally {
                process.destroyForcibly().waitFor();
                tasks.clear();
            }
        }
        Files.writeString(Path.of(args[1]), "{\"scenario\": \"tasks\", \"seed\": 1, \"plays\": [\n "
                + String.join(",\n ", plays) + "]}\n");
        System.exit(0);
    }

    private String play(Process process, int number, boolean rate, int sockets) throws IOException {
        clear();
        retries.clear();
        served = 0;
        refused = 0;
        probes = 0;
        running = 0;
        endAtOnce = true; // asked whether it is up, it is not asked again for ever
        awaitUp();
        endAtOnce = rate; // short ones before long ones would make suspects of workers whose tasks run on
        during(2);
        double idleFrom = used(process);
        during(5);
        double idle = (used(process) - idleFrom) / 5;
        served = 0;
        String figures;
        double seconds = rate ? 10 : 5;
        if (rate) {
            offer(number, 5); // so that it is compiled
            served = 0;
            double from = used(process);
            offer(number, seconds);
            double cost = used(process) - from - idle * (seconds + 1);
            figures = String.format(Locale.ROOT, "\"served\": %d, \"request_ms\": %.4f, \"core_percent\": %.3f",
                    served, cost * 1e3 / Math.max(1, served), cost / seconds * 100);
        } else {
            endAtOnce = false;
            fill(number);
            during(seconds);
            figures = String.format(Locale.ROOT, "\"probes\": %d, \"running\": %d, \"refused\": %d, \"descriptors\": %d", probes, running,
                    refused, descriptors(process));
        }
        return String.format(Locale.ROOT, "{\"dispatchers\": 1, \"workers\": %d, \"zones\": 2, \"%s\": %d, \"sockets\": "
                + "%d, \"seconds\": %.1f, \"figures\": {%s, \"idle_core_percent\": %.3f, \"resident_mb\": %.1f, "
                + "\"resident_peak_mb\": %.1f, \"alive\": %d}, \"limits\": {}, \"broken\": []}", WORKERS,
                rate ? "rate" : "tasks", number, sockets, seconds, figures, idle * 100, mb(process, "VmRSS"),
                mb(process, "VmHWM"), process.isAlive() ? 1 : 0);
    }

    private void awaitUp() throws IOException {
        long end = System.nanoTime() + 30_000_000_000L;
        while (System.nanoTime() < end) {
            try {
                ask(true);
                during(0.5);
                if (served > 0) {
                    return;
                }
            } catch (IOException e) {
                during(0.1);
            }
        }
        throw new IOException("no dispatcher serves");
    }
}
