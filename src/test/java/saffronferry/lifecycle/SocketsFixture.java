package saffronferry.lifecycle;

import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.After;
import org.junit.Before;

/** A whole dispatcher on real sockets between scripted servers: discovery, two workers and a peer dispatcher. */
abstract class SocketsFixture {
    static final String KEY = "Idempotency-Key";
    final List<AutoCloseable> open = new ArrayList<>();
    final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    ScriptedServer discovery;
    ScriptedServer workerA;
    ScriptedServer workerB;
    DatagramSocket peer;
    int requestCount;
    JSONObject config;
    /** The file for the log of launched programs; null to inherit the output of the test. */
    Path logFile;
    /** The temporary folder of the dispatcher. */
    Path folder;

    @Before
    public void setUp() throws IOException {
        discovery =
                closeAfterTest(new ScriptedServer(watchSending("{\"revision\":1,\"complete\":false,\"members\":[]}")));
        workerA = closeAfterTest(new ScriptedServer(ScriptedServer::serve));
        workerB = closeAfterTest(new ScriptedServer(ScriptedServer::serve));
        peer = closeAfterTest(new DatagramSocket(0, InetAddress.getByName("127.0.0.1")));
        peer.setSoTimeout(3000);
        config = new JSONObject(Files.readString(Path.of("examples/config.json")));
        int udp = freePort();
        folder = Files.createTempDirectory("saffronferry");
        config.put("listen", "127.0.0.1:" + freePort())
                .put("console", "127.0.0.1:" + freePort())
                .put("discovery", discovery.address())
                .put("peer_listen", "127.0.0.1:" + udp)
                .put("peers", new JSONArray().put("127.0.0.1:" + udp).put("127.0.0.1:" + peer.getLocalPort()));
        config.getJSONObject("settings").put("peersTotal", 2);
        setKnownWorkers(entry("a", workerA.address(), 1, "SERVING", 0), entry("b", workerB.address(), 2, "SERVING", 0));
    }

    @After
    public void tearDown() throws Exception {
        for (int i = open.size(); i > 0; i--) {
            open.get(i - 1).close();
        }
        ScriptedServer.closeAllConnections();
        System.gc(); // an HttpClient frees its descriptors when it is collected
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    <T extends AutoCloseable> T closeAfterTest(T resource) {
        open.add(resource);
        return resource;
    }

    /** A discovery watch that sends one list, followed by keep-alive lines. */
    static ScriptedServer.Script watchSending(String list) {
        return (request, out) -> {
            ScriptedServer.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            ScriptedServer.chunk(out, list);
            for (int i = 0; i < 60; i++) {
                Thread.sleep(1000);
                ScriptedServer.chunk(out, "");
            }
            return false;
        };
    }

    /** A free port below the ephemeral range, so that no outgoing connection can take it meanwhile. */
    @SuppressWarnings("try") // the resource only has to stay open meanwhile
    static int freePort() throws IOException {
        InetAddress here = InetAddress.getByName("127.0.0.1");
        for (int i = 0; i < 100; i++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket tcp = new ServerSocket(port, 1, here);
                    DatagramSocket udp = new DatagramSocket(port, here)) {
                return port;
            } catch (java.net.BindException e) {
                // in use: try another one
            }
        }
        throw new IOException("no free port");
    }

    static String entry(String id, String address, int cell, String phase, long upSince) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + address
                + "\",\"locality\":\"dub-north\",\"flavor\":\"big-box\"," + "\"cell\":" + cell + ",\"phase\":\"" + phase
                + "\",\"size\":1.0,\"up_since_ms\":" + upSince + "}";
    }

    void setKnownWorkers(String... entries) {
        config.put(
                "known",
                new JSONObject("{\"revision\":1,\"complete\":true,\"members\":[" + String.join(",", entries) + "]}"));
    }

    void start() throws Exception {
        start(newServer());
    }

    DispatcherServer newServer() {
        return new DispatcherServer(new Config(config, folder));
    }

    void start(DispatcherServer server) throws Exception {
        closeAfterTest(
                () -> server.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS));
        server.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + config.getString("listen") + path));
    }

    CompletableFuture<HttpResponse<String>> sendRequest(String lane, int remaining, String... more) {
        return sendRequest("t" + ++requestCount, lane, remaining, more);
    }

    CompletableFuture<HttpResponse<String>> sendRequest(String txn, String lane, int remaining, String... more) {
        HttpRequest.Builder r = request("/" + lane + "?obj=7f")
                .header("X-Txn", txn)
                .header("X-Lane", lane)
                .header("X-Remaining-Ms", Integer.toString(remaining));
        if (more.length > 0) {
            r.headers(more);
        }
        return client.sendAsync(
                r.POST(HttpRequest.BodyPublishers.ofString("body")).build(), HttpResponse.BodyHandlers.ofString());
    }

    CompletableFuture<HttpResponse<String>> sendGift(int remaining) {
        return sendRequest("record-gift", remaining, KEY, "k1");
    }

    static HttpResponse<String> get(CompletableFuture<HttpResponse<String>> answer) throws Exception {
        return answer.get(10, TimeUnit.SECONDS);
    }

    /** Waits until the condition has been true once. It may send requests, and need not hold a second time. */
    static void await(BooleanSupplier condition) throws InterruptedException {
        boolean fulfilled = condition.getAsBoolean();
        for (int i = 0; i < 2000 && !fulfilled; i++) {
            Thread.sleep(10);
            fulfilled = condition.getAsBoolean();
        }
        assertTrue(fulfilled);
    }

    /** A raw connection to the dispatcher; reading from it fails after 5 s. */
    Socket connect() throws IOException {
        Socket s = closeAfterTest(new Socket("127.0.0.1", port()));
        s.setSoTimeout(5000);
        return s;
    }

    /** Reads until the other side closes. */
    static String readAll(Socket s) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = s.getInputStream();
        try {
            for (int b = in.read(); b >= 0; b = in.read()) {
                text.append((char) b);
            }
        } catch (java.net.SocketException e) {
            // a reset counts as a close
        }
        return text.toString();
    }

    /** Writes the configuration to a new file. */
    Path configFile() throws IOException {
        Path file = Files.createTempFile("config", ".json");
        closeAfterTest(() -> Files.delete(file));
        Files.writeString(file, config.toString());
        return file;
    }

    /** Starts the program in a separate process and waits until it serves. */
    Process startProcess(Path file) throws Exception {
        Process process = launch(file, 1024, "saffronferry.cli.Main", "serve");
        awaitUp();
        return process;
    }

    /** Starts a process with a limit on its descriptors, on one core as on the platform. */
    Process launch(Path file, int descriptors, String main, String... arguments) throws IOException {
        List<String> command =
                new ArrayList<>(List.of("sh", "-c", "ulimit -n " + descriptors + " && exec \"$@\"", "sh"));
        if (Files.isExecutable(Path.of("/usr/bin/taskset"))) {
            command.addAll(List.of("taskset", "-c", "0"));
        }
        command.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "@deploy/serve.jvm",
                "-Djava.io.tmpdir=" + folder,
                "-cp",
                System.getProperty("java.class.path"),
                main));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.inheritIO();
        if (logFile != null) {
            builder.redirectError(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
        }
        Process process = builder.start();
        closeAfterTest(process::destroyForcibly);
        return process;
    }

    void awaitUp() throws InterruptedException {
        HttpRequest up = request("/up").GET().build();
        await(() -> {
            try {
                return client.send(up, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
            } catch (IOException | InterruptedException e) {
                return false;
            }
        });
    }

    /** Makes an operator's call; returns the status, a space and the body. */
    String call(String method, String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + config.getString("console") + path))
                .method(method, HttpRequest.BodyPublishers.noBody())
                .timeout(Duration.ofSeconds(5))
                .build();
        HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
        return answer.statusCode() + " " + answer.body();
    }

    /** Makes an operator's call that must succeed. */
    void assertCallSucceeds(String path) throws Exception {
        String answer = call("PUT", path);
        assertTrue(answer, answer.startsWith("2"));
    }

    /** Reads one of the operators' metrics. */
    long metric(String name) throws Exception {
        return call("GET", "/ops/stats")
                .lines()
                .filter(l -> l.startsWith(name + " "))
                .mapToLong(l -> Long.parseLong(l.substring(name.length() + 1)))
                .findFirst()
                .orElseThrow();
    }

    int port() {
        return Integer.parseInt(config.getString("listen").split(":")[1]);
    }
}
