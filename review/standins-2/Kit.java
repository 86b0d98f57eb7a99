import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** What all cases share: the record, the dispatcher's process, discovery, workers and a client, on loopback addresses. */
final class Kit {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final String HOST = "127.0.0.1";
    private static final long START_NANOS = System.nanoTime();
    private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();
    private static BufferedWriter record;

    private Kit() {}

    /** Runs a case: 0 the rule held, 1 it was broken, 2 the case could not run. */
    interface Case {
        boolean ruleHeld() throws Exception;
    }

    static void run(Path recordFile, Case body) {
        int code = 2;
        Runtime.getRuntime().addShutdownHook(new Thread(() -> PROCESSES.forEach(Process::destroyForcibly)));
        Thread limit = new Thread(() -> {
            sleep(112_000);
            record("the case took too long");
            end(2);
        });
        limit.setDaemon(true);
        limit.start();
        try {
            record = Files.newBufferedWriter(recordFile);
            record("TROUBLE=" + (TROUBLE ? 1 : 0));
            code = body.ruleHeld() ? 0 : 1;
            record(code == 0 ? "the rule held" : "THE RULE WAS BROKEN");
        } catch (Throwable e) {
            record("the case could not run: " + e);
            e.printStackTrace();
        }
        end(code);
    }

    private static synchronized void end(int code) {
        for (Process process : PROCESSES) {
            process.destroyForcibly();
        }
        for (Process process : PROCESSES) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try {
            if (record != null) {
                record.close();
            }
        } catch (IOException e) {
            code = 2;
        }
        Runtime.getRuntime().halt(code);
    }

    static double now() {
        return (System.nanoTime() - START_NANOS) / 1e9;
    }

    static synchronized void record(String line) {
        String text = String.format(Locale.ROOT, "%8.3f %s", now(), line);
        System.out.println(text);
        try {
            if (record != null) {
                record.write(text + "\n");
                record.flush();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void inBackground(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    // ---- the dispatcher ----

    /** One process of the dispatcher, started by the line `run` of the deploy file. */
    static final class Dispatcher {
        final Process process;
        final Path log;

        Dispatcher(Path root, Path folder, Path tmp, String name, String config) throws IOException {
            Path file = folder.resolve(name + ".json");
            Files.writeString(file, config);
            log = folder.resolve(name + ".log");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root));
            builder.directory(root.toFile());
            builder.environment().put("BALANCER_CONFIG", file.toString());
            builder.environment().put("BALANCER_NAME", name);
            builder.environment().put("TMPDIR", tmp.toString());
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            process = builder.start();
            PROCESSES.add(process);
            record("dispatcher " + name + " started");
        }

        private static String runCommand(Path root) throws IOException {
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    String quoted = line.substring("run = \"".length(), line.lastIndexOf('"'));
                    return quoted.replace("\\\"", "\"").replace("\\\\", "\\");
                }
            }
            throw new IOException("no line run in the deploy file");
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
        }
    }

    /** The processor time of the dispatcher and of the whole machine, and the machine's idle time, in ticks of 10 ms. */
    static String cpu(Dispatcher dispatcher) throws IOException {
        String[] own = Files.readString(Path.of("/proc/" + dispatcher.process.pid() + "/stat")).split("\\) ")[1].split(" ");
        String[] machine = Files.readAllLines(Path.of("/proc/stat")).get(0).split(" +");
        return "[dispatcher " + (Long.parseLong(own[11]) + Long.parseLong(own[12])) + ", machine idle " + machine[4] + " at "
                + Math.round(now() * 100) + "]";
    }

    /** Waits until GET /up, or a call of the console, answers 200. */
    static void awaitYes(int port, String path, long ms) {
        long until = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < until) {
            try (Client client = new Client(port)) {
                client.send("GET", path, Map.of(), "");
                if (client.answer(1_000).status == 200) {
                    return;
                }
            } catch (IOException e) {
                // not yet
            }
            sleep(50);
        }
        throw new IllegalStateException("no yes from " + path + " at port " + port);
    }

    // ---- clients ----

    /** An answer with a status; 0 for a close without one, -1 for silence. */
    record Answer(int status, Map<String, String> headers, String body) {}

    /** One connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;

        Client(int port) throws IOException {
            socket.connect(new InetSocketAddress(HOST, port), 2_000);
            socket.setTcpNoDelay(true);
            in = socket.getInputStream();
            out = socket.getOutputStream();
        }

        void raw(String bytes) throws IOException {
            out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void send(String method, String path, Map<String, String> headers, String body) throws IOException {
            raw(request(method, path, headers, body));
        }

        /** Reads one answer. */
        Answer answer(long timeoutMs) {
            try {
                socket.setSoTimeout((int) Math.max(1, timeoutMs));
                return read(in);
            } catch (java.net.SocketTimeoutException e) {
                return new Answer(-1, Map.of(), "");
            } catch (IOException e) {
                return new Answer(0, Map.of(), "");
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static String request(String method, String path, Map<String, String> headers, String body) {
        StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: service.internal\r\n");
        headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        if (method.equals("POST")) {
            text.append("Content-Length: ").append(body.length()).append("\r\n");
        }
        return text.append("\r\n").append(body).toString();
    }

    /** Clients that send a page job every so often, each on a connection of its own, until the case ends. */
    static void jobs(int listen, long everyMs) {
        inBackground("clients", () -> {
            for (int i = 0; ; i++) {
                String id = listen + "-" + i;
                inBackground(id, () -> {
                    try (Client client = new Client(listen)) {
                        client.send("POST", "/directory-page?obj=7f", job(id, "directory-page", 6_000, null), "");
                        record(id + " is answered " + client.answer(7_000).status());
                    } catch (IOException e) {
                        record(id + ": " + e);
                    }
                });
                sleep(everyMs);
            }
        });
    }

    static Map<String, String> job(String id, String jobClass, long remainingMs, String key) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Txn", id);
        headers.put("X-Lane", jobClass);
        headers.put("X-Remaining-Ms", Long.toString(remainingMs));
        if (key != null) {
            headers.put("Idempotency-Key", key);
        }
        return headers;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("end");
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int at = line.indexOf(':');
            headers.put(line.substring(0, at).toLowerCase(Locale.ROOT), line.substring(at + 1).strip());
        }
        return headers;
    }

    private static Answer read(InputStream in) throws IOException {
        String[] first = line(in).split(" ");
        Map<String, String> headers = headers(in);
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Answer(Integer.parseInt(first[1]), headers, new String(in.readNBytes(length), StandardCharsets.UTF_8));
    }

    // ---- workers ----

    /** A request as a worker or discovery has read it. */
    record Request(String method, String target, Map<String, String> headers, Socket socket) {
        String id() {
            return headers.getOrDefault("x-txn", "");
        }
    }

    interface Handler {
        void handle(Request request, OutputStream out) throws Exception;
    }

    /** Listens, reads a request from each connection, and hands it over. */
    static ServerSocket serve(String name, int port, Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(HOST, port), 512);
        inBackground(name, () -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    inBackground(name + "-connection", () -> serveOne(socket, handler));
                } catch (IOException e) {
                    return;
                }
            }
        });
        return listener;
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // it is gone already
        }
    }

    private static void serveOne(Socket socket, Handler handler) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            while (true) {
                String[] first = line(in).split(" ");
                Map<String, String> headers = headers(in);
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                int read = in.readNBytes(length).length;
                if (read < length) {
                    return;
                }
                handler.handle(new Request(first[0], first[1], headers, socket), socket.getOutputStream());
                if ("close".equals(headers.get("connection"))) {
                    return;
                }
            }
        } catch (Exception e) {
            // the other side has gone
        }
    }

    /** A worker of our pages: tells of starts, answers probes, and serves jobs after their running time. */
    static class Worker {
        final String id;
        final int port;
        final int cell;
        final int slots;
        final long runMs;
        volatile String phase = "SERVING";
        volatile long upSinceMs;
        /** The times at which requests came, by id. */
        final Map<String, Double> arrivals = new ConcurrentHashMap<>();

        private final java.util.concurrent.atomic.AtomicInteger running = new java.util.concurrent.atomic.AtomicInteger();

        Worker(String id, int cell, int slots, long runMs) throws IOException {
            this.id = id;
            this.cell = cell;
            this.slots = slots;
            this.runMs = runMs;
            port = freePort();
            serve(id, port, this::handle);
        }

        private void handle(Request request, OutputStream out) throws Exception {
            if (request.target.equals("/metrics/load")) {
                int free = Math.max(0, slots - running.get());
                respond(out, 200, "qps=1,util=0.1,x0=" + free + ",x1=" + free);
            } else if (request.target.equals("/alive")) {
                respond(out, 200, "ok");
            } else {
                arrivals.put(request.id(), now());
                record(id + " gets " + request.id() + " while " + phase);
                running.incrementAndGet();
                try {
                    work(request, out);
                } finally {
                    running.decrementAndGet();
                }
            }
        }

        void work(Request request, OutputStream out) throws Exception {
            startChunks(out);
            chunk(out, event(request, "started", null));
            sleep(runMs);
            chunk(out, event(request, "done", id + " did " + request.id()));
            endChunks(out);
        }

        String event(Request request, String state, String result) {
            return "{\"id\":\"" + request.id() + "\",\"from\":\"" + id + "\",\"state\":\"" + state + "\""
                    + (result == null ? "" : ",\"result\":\"" + result + "\"") + "}\n";
        }

        String entry() {
            return "{\"id\":\"" + id + "\",\"host_port\":\"" + HOST + ":" + port + "\",\"locality\":\"dub-north\","
                    + "\"flavor\":\"big-box\",\"cell\":" + cell + ",\"phase\":\"" + phase + "\",\"size\":1.0,"
                    + "\"up_since_ms\":" + upSinceMs + "}";
        }
    }

    static void respond(OutputStream out, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        out.write(("HTTP/1.1 " + status + " X\r\nContent-Length: " + bytes.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        out.write(bytes);
        out.flush();
    }

    static void startChunks(OutputStream out) throws IOException {
        out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    static void chunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.writeBytes((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        whole.writeBytes(bytes);
        whole.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
        out.write(whole.toByteArray());
        out.flush();
    }

    static void endChunks(OutputStream out) throws IOException {
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    // ---- discovery ----

    /** Discovery of our pages: the whole list first, then the changes, and an empty line every 2 s in between. */
    static class Discovery {
        final int port;
        final List<Worker> workers = new CopyOnWriteArrayList<>();
        private final List<String> changes = new ArrayList<>();
        private final ServerSocket listener;
        private final List<Socket> connections = new CopyOnWriteArrayList<>();
        private long revision = 1;

        Discovery(List<Worker> workers) throws IOException {
            this.workers.addAll(workers);
            port = freePort();
            listener = serve("discovery", port, this::handle);
        }

        synchronized String whole() {
            return list(true, entries(workers));
        }

        static List<String> entries(List<Worker> workers) {
            return workers.stream().map(Worker::entry).toList();
        }

        private String list(boolean complete, List<String> entries) {
            return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + String.join(",", entries)
                    + "]}";
        }

        /** Tells on all watches what these workers are now. */
        synchronized void changed(List<Worker> which) {
            revision++;
            changes.add(list(false, entries(which)));
            notifyAll();
        }

        void handle(Request request, OutputStream out) throws Exception {
            if (!request.target.contains("watch=1")) {
                respond(out, 200, whole());
                return;
            }
            record("discovery gets " + request.target);
            connections.add(request.socket);
            startChunks(out);
            int next = first(request, out);
            while (true) {
                List<String> lines = awaitChanges(next);
                if (lines.isEmpty()) {
                    chunk(out, "\n");
                }
                for (String line : lines) {
                    chunk(out, line + "\n");
                    told(line);
                    next++;
                }
            }
        }

        private synchronized List<String> awaitChanges(int from) throws InterruptedException {
            if (from == changes.size()) {
                wait(2_000);
            }
            return List.copyOf(changes.subList(from, changes.size()));
        }

        /** Writes the first line of a watch and returns the number of the changes that it holds. */
        synchronized int first(Request request, OutputStream out) throws Exception {
            chunk(out, whole() + "\n");
            told(whole());
            return changes.size();
        }

        /** Accepts no new connection and closes the open ones after a time. */
        void endWatches(long ms) throws IOException {
            listener.close();
            inBackground("discovery-end", () -> {
                sleep(ms);
                for (Socket socket : connections) {
                    close(socket);
                }
                record("the former discovery has closed its connections");
            });
        }

        /** Resets all open connections. */
        void resetWatches() throws IOException {
            for (Socket socket : connections) {
                if (!socket.isClosed()) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
            }
        }

        synchronized int changeCount() {
            return changes.size();
        }

        void told(String list) {
            record("discovery has written " + list);
        }
    }

    // ---- configuration ----

    /** The configuration of one dispatcher, like that of a small deployment. */
    static String config(
            int listen, int console, int discovery, int peerListen, int sockets, String known, String classes) {
        return "{\"name\":\"n0\",\"listen\":\"" + HOST + ":" + listen + "\",\"discovery\":\"" + HOST + ":" + discovery
                + "\",\"console\":\"" + HOST + ":" + console + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                + "\"memory_mb\":192,\"sockets\":" + sockets + "},\"peer_listen\":\"" + HOST + ":" + peerListen
                + "\",\"peers\":[\"" + HOST + ":" + peerListen + "\"],\"known\":" + known + ",\"settings\":{"
                + "\"clients\":{\"marksRetry\":false},\"deductions\":{\"crossZone\":0.03,\"lateFail\":0.02,\"peer\":0.0081,"
                + "\"probe\":0.01,\"waste\":0.05},\"familyInfo\":{\"classKind\":[-1,-1],\"classPriority\":[0,1],"
                + "\"classStretch\":[1.75,1.75],\"progress\":0.0,\"queueOrder\":\"fifo\",\"reportX0\":\"free slots\","
                + "\"reportX1\":\"free memory\",\"tellsStart\":true},\"kinds\":[\"big-box\",\"small-box\"],"
                + "\"limits\":{\"cancel\":true,\"connIdle\":60.0,\"connectTimeout\":0.25,\"maxRetryAfter\":2.0,"
                + "\"mostTries\":4,\"parallelTries\":true,\"peers\":true,\"probes\":true,\"retryAfter\":true,"
                + "\"streamsPerConn\":1},\"overShareWorth\":0.05,\"peersTotal\":1,\"profiles\":" + classes
                + ",\"realms\":[{\"allowancePerS\":50.0,\"name\":\"kilbarron-grads\",\"share\":1.0}],"
                + "\"registryMode\":\"ask\",\"report\":{\"fields\":[\"tps\",\"load_share\",\"x0\",\"x1\"],\"how\":"
                + "\"on_probe\"},\"rules\":{\"answerSlack\":0.02,\"askWithin\":10.0,\"cold\":8.6,\"coldShare\":0.33,"
                + "\"fall\":3.0,\"fallMultiple\":3.0,\"stopSendingWithin\":2.0},\"slotNo\":0,\"weights\":\"off\","
                + "\"workload\":\"jobs\",\"zone\":\"dub-north\",\"zones\":[\"dub-north\",\"dub-south\"]}}";
    }

    /** The same for one of several dispatchers. */
    static String inFleet(String config, int number, List<Integer> peers) {
        String addresses = peers.stream().map(p -> "\"" + HOST + ":" + p + "\"").collect(Collectors.joining(","));
        return config.replaceFirst("\"peers\":\\[[^]]*\\]", "\"peers\":[" + addresses + "]")
                .replace("\"peersTotal\":1", "\"peersTotal\":" + peers.size())
                .replace("\"slotNo\":0", "\"slotNo\":" + number)
                .replace("\"name\":\"n0\"", "\"name\":\"n" + number + "\"");
    }

    static final String CLASSES = "[{\"name\":\"directory-page\",\"deadline\":6.0,\"target\":0.25,\"points\":1.0,"
            + "\"lateValue\":0.3,\"idempotency\":\"repeatable\",\"group\":\"all\",\"keyTtl\":5.0,\"stream\":false},"
            + "{\"name\":\"record-gift\",\"deadline\":25.0,\"target\":2.0,\"points\":8.0,\"lateValue\":0.25,"
            + "\"idempotency\":\"by_key\",\"group\":\"cell\",\"keyTtl\":40.0,\"stream\":false}]";
}
