package saffronferry.lifecycle;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.Test;

/** The operators' console, tested with a whole dispatcher on real sockets between scripted servers. */
public class ConsoleTest extends SocketsFixture {
    private int consolePort() {
        return Integer.parseInt(config.getString("console").split(":")[1]);
    }

    private Socket connectToConsole(String request) throws IOException {
        Socket s = closeAfterTest(new Socket("127.0.0.1", consolePort()));
        s.setSoTimeout(5000);
        ScriptedServer.write(s.getOutputStream(), request);
        return s;
    }

    private String callRaw(String request) throws IOException {
        return readAll(connectToConsole(request)); // returns when the server closes the connection after its answer
    }

    private static String head(String method, String path) {
        return method + " " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n";
    }

    @Test
    public void eachCallIsAnsweredAndItsConnectionClosed() throws Exception {
        start();
        String[][] table = {
            {"GET", "/ops/readiness", "200"},
            {"GET", "/ops/stats", "200"},
            {"GET", "/ops/stats?x=1", "200"},
            {"PUT", "/ops/workers/down/a", "200"},
            {"PUT", "/ops/workers/down/a", "200"},
            {"PUT", "/ops/workers/up/%61", "200"},
            {"PUT", "/ops/workers/up/a", "200"},
            {"PUT", "/ops/workers/down/nobody", "404"},
            {"PUT", "/ops/workers/up/nobody", "404"},
            {"PUT", "/ops/drain/start", "200"},
            {"PUT", "/ops/drain/start", "200"},
            {"PUT", "/ops/drain/stop", "200"},
            {"PUT", "/ops/drain/stop", "200"},
            {"GET", "/ops/drain/start", "405"},
            {"PUT", "/ops/stats", "405"},
            {"GET", "/up", "404"},
            {"PUT", "/ops/workers/up/%zz", "400"}
        };
        for (String[] row : table) {
            String answer = callRaw(head(row[0], row[1]));
            assertTrue(row[1] + ": " + answer, answer.startsWith("HTTP/1.1 " + row[2] + " "));
        }
        assertTrue(callRaw("rubbish\r\n\r\n").startsWith("HTTP/1.1 400 "));
        assertTrue(callRaw("GET /ops/stats HTTP/1.1\r\nX: " + "y".repeat(10_000) + "\r\n\r\n")
                .startsWith("HTTP/1.1 400 "));
        Socket slow = connectToConsole("");
        for (byte b : head("GET", "/ops/readiness").getBytes(StandardCharsets.US_ASCII)) {
            slow.getOutputStream().write(b);
            slow.getOutputStream().flush();
        }
        assertTrue(readAll(slow).startsWith("HTTP/1.1 200 "));
    }

    /** Silent callers, partial calls and a flood of clients do not prevent other calls from being answered. */
    @Test
    @SuppressWarnings("try") // the resource only has to stay open meanwhile
    public void callsAreAnsweredWithinASecondDespiteSilentCallersAndAFlood() throws Exception {
        launch(configFile(), 192, "saffronferry.cli.Main", "serve");
        awaitUp();
        try (ConnectionFlood crowd = new ConnectionFlood(port(), 400)) {
            for (int i = 0; i < 60; i++) {
                connectToConsole(i % 2 == 0 ? "" : "GET /ops/st");
                if (i % 5 == 0) {
                    long begun = System.nanoTime();
                    assertTrue(call("GET", "/ops/readiness").startsWith("200"));
                    assertTrue(System.nanoTime() - begun < 1_000_000_000L);
                }
            }
        }
    }

    /** A partial call is answered with 408, and a silent connection is closed, both after about 2 s. */
    @Test
    public void partialAndSilentCallsAreEnded() throws Exception {
        start();
        Socket half = connectToConsole("PUT /ops/drain/start HTT");
        Socket silent = connectToConsole("");
        assertTrue(readAll(half).startsWith("HTTP/1.1 408 "));
        assertEquals("", readAll(silent));
        assertEquals("the partial drain call had no effect", 200, ConnectionFlood.msUntilUp(port()) < 1000 ? 200 : 0);
    }

    @Test
    public void metricsMatchWhatClientsAndWorkersObserve() throws Exception {
        workerA.script = ScriptedServer.serveAfterMs(300);
        workerB.close(); // connecting fails, which does not count as a written attempt
        setKnownWorkers(
                entry("a", workerA.address(), 1, "SERVING", 0),
                entry("b", workerB.address(), 2, "SERVING", 0),
                entry("c", workerB.address(), 2, "DRAINING", 0));
        start();
        List<CompletableFuture<HttpResponse<String>>> open = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            open.add(sendRequest("directory-page", 3000));
        }
        await(() -> workerA.requests.size() == 2);
        assertEquals(2, metric("app_active"));
        for (CompletableFuture<HttpResponse<String>> one : open) {
            assertEquals(200, get(one).statusCode());
        }
        workerA.script = (request, out) -> false; // takes the request and closes the connection
        assertEquals(500, get(sendGift(3000)).statusCode());
        workerA.script = ScriptedServer.serveAfterMs(1500);
        // the worker exceeds the deadline
        CompletableFuture<HttpResponse<String>> late = sendRequest("directory-page", 400);
        assertTrue(get(late).statusCode() >= 500);
        long answers = 0;
        for (String name : List.of("directory-page", "record-gift")) {
            for (String result : List.of("ok", "shed", "errors")) {
                answers += metric("app_responses{kind=\"" + name + "\",result=\"" + result + "\"}");
            }
        }
        assertEquals(2, metric("app_responses{kind=\"directory-page\",result=\"ok\"}"));
        assertEquals(1, metric("app_responses{kind=\"record-gift\",result=\"errors\"}"));
        assertEquals(4, answers);
        assertEquals(
                workerA.requests.size(),
                metric("app_tries{kind=\"directory-page\"}") + metric("app_tries{kind=\"record-gift\"}"));
        assertEquals(0, metric("app_active"));
        assertEquals(3, metric("app_pool_size"));
        long byChoice = metric("app_pool_ejected");
        assertCallSucceeds("/ops/workers/down/c");
        assertEquals(byChoice + 1, metric("app_pool_ejected"));
    }

    private void awaitMetricAbove(String name, long bound) throws InterruptedException {
        await(() -> {
            try {
                return metric(name) > bound;
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
    }

    /** The metrics count the bytes that the scripted servers send and receive as discovery, probes and peers. */
    @Test
    public void controlTrafficIsCountedByKind() throws Exception {
        String list = "{\"revision\":2,\"complete\":true,\"members\":[" + entry("a", workerA.address(), 1, "SERVING", 0)
                + "]}";
        discovery.script = watchSending(list);
        start();
        awaitMetricAbove("app_control_bytes{kind=\"lists\",way=\"in\"}", list.length());
        assertTrue(
                "plus the head of the response",
                metric("app_control_bytes{kind=\"lists\",way=\"in\"}") < list.length() + 500);
        assertTrue("the request", metric("app_control_bytes{kind=\"lists\",way=\"out\"}") > 50);
        awaitMetricAbove("app_control_bytes{kind=\"probes\",way=\"out\"}", 50);
        awaitMetricAbove("app_control_resident_bytes", 10_000_000);
        String cpu = call("GET", "/ops/stats")
                .lines()
                .filter(l -> l.startsWith("app_control_cpu_seconds "))
                .findFirst()
                .orElseThrow();
        assertTrue(cpu, Double.parseDouble(cpu.split(" ")[1]) > 0);
    }

    @Test
    public void processUsageIsReadFromProc() throws Exception {
        String stat = "7 (a) b (c) S 1 1 1 0 -1 0 9 9 9 9 120 30 0 0 20 0 9";
        assertEquals(new ProcessUsage.Sample(1_500, 2_048), ProcessUsage.read(stat, "Name:\tx\nVmRSS:\t     2 kB\n"));
        for (String[] bad : new String[][] {{"", ""}, {stat, "Name:\tx\n"}, {"7 (a) S 1", "VmRSS: 2 kB"}}) {
            assertThrows(IOException.class, () -> ProcessUsage.read(bad[0], bad[1]));
        }
        assertTrue(ProcessUsage.read().resident() > 10_000_000
                && ProcessUsage.read().cpu() > 0);
    }

    @Test
    public void aBannedWorkerGetsNoRequestsWhateverTheListSays() throws Exception {
        workerA.script = ScriptedServer.serveAfterMs(400);
        workerB.script = ScriptedServer.serveAfterMs(400);
        discovery.script = (request, out) -> {
            Thread.sleep(800);
            return watchSending("{\"revision\":2,\"complete\":true,\"members\":["
                            + entry("a", workerA.address(), 1, "SERVING", System.currentTimeMillis()) + ","
                            + entry("b", workerB.address(), 2, "SERVING", 0) + "]}")
                    .answer(request, out);
        };
        start();
        CompletableFuture<HttpResponse<String>> running = sendGift(5000);
        await(() -> workerA.requests.size() + workerB.requests.size() == 1);
        ScriptedServer target = workerA.requests.isEmpty() ? workerB : workerA;
        assertCallSucceeds("/ops/workers/down/" + (target == workerA ? "a" : "b"));
        List<CompletableFuture<HttpResponse<String>>> held = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            held.add(sendRequest("directory-page", 6000));
        }
        assertEquals("an open RPC finishes", 200, get(running).statusCode());
        for (CompletableFuture<HttpResponse<String>> one : held) {
            int status = get(one).statusCode();
            assertTrue("served, or refused for lack of slots: " + status, status == 200 || status == 503);
        }
        Thread.sleep(600); // by now a new list shows the worker as in service and restarted
        assertEquals(200, get(sendGift(5000)).statusCode());
        assertEquals(1, target.requests.size());
        assertCallSucceeds("/ops/workers/up/" + (target == workerA ? "a" : "b"));
        await(() -> {
            sendRequest("directory-page", 3000);
            return target.requests.size() > 1;
        });
    }

    @Test
    public void requestsAreRefusedWhileAllWorkersAreBanned() throws Exception {
        start();
        assertCallSucceeds("/ops/workers/down/a");
        assertCallSucceeds("/ops/workers/down/b");
        assertEquals(503, get(sendGift(300)).statusCode());
        assertEquals(0, workerA.requests.size() + workerB.requests.size());
        assertCallSucceeds("/ops/workers/up/a");
        await(() -> {
            try {
                return get(sendGift(2000)).statusCode() == 200;
            } catch (Exception e) {
                return false;
            }
        });
        assertEquals(0, workerB.requests.size());
    }

    /** A ban also stops attempts whose connections are still being established. */
    @Test
    public void nothingIsSentToAWorkerAfterItsBanIsAcknowledged() throws Exception {
        start();
        Random random = new Random(7);
        int banned = 0;
        for (int round = 0; round < 40; round++) {
            ScriptedServer target = round % 2 == 0 ? workerA : workerB;
            long surplus = surplus();
            List<CompletableFuture<HttpResponse<String>>> load = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                load.add(sendRequest("directory-page", 4000));
            }
            Thread.sleep(0, random.nextInt(900_000));
            assertCallSucceeds("/ops/workers/down/" + (target == workerA ? "a" : "b"));
            // wait until the workers have read what was sent before the acknowledgement, however slowly
            long written = written();
            await(() -> read() - written >= surplus);
            int got = target.requests.size();
            for (int i = 0; i < 6; i++) {
                load.add(sendRequest("directory-page", 4000));
            }
            for (CompletableFuture<HttpResponse<String>> one : load) {
                assertEquals(200, get(one).statusCode());
            }
            assertEquals("round " + round, got, target.requests.size());
            banned += got > 0 ? 1 : 0;
            assertCallSucceeds("/ops/workers/up/" + (target == workerA ? "a" : "b"));
        }
        assertTrue("the workers were in use before", banned > 20);
    }

    private long read() {
        return workerA.requests.size() + workerB.requests.size();
    }

    /**
     * How many more requests the workers have read than were counted as completely written, since some attempts were
     * given up meanwhile; waits until there is no activity.
     */
    private long surplus() throws Exception {
        await(() -> active() == 0);
        long surplus = read() - written();
        for (int same = 0; same < 3; same++) {
            Thread.sleep(10);
            long now = read() - written();
            same = now == surplus ? same : 0;
            surplus = now;
        }
        return surplus;
    }

    private long active() {
        try {
            return metric("app_active");
        } catch (Exception e) {
            return -1;
        }
    }

    /** Attempts completely written so far. */
    private long written() throws Exception {
        return metric("app_tries{kind=\"directory-page\"}") + metric("app_tries{kind=\"record-gift\"}");
    }

    @Test
    public void bansSurviveARestartAndADamagedFileDoesNotPreventAStart() throws Exception {
        DispatcherServer first = newServer();
        start(first);
        assertCallSucceeds("/ops/workers/down/a");
        first.close().toCompletionStage().toCompletableFuture().get();
        DispatcherServer second = newServer();
        start(second);
        assertEquals(1, metric("app_pool_ejected"));
        assertEquals(200, get(sendGift(3000)).statusCode());
        assertEquals(0, workerA.requests.size());
        second.close().toCompletionStage().toCompletableFuture().get();
        Path file = folder.resolve(new Config(config, folder).fileName() + ".bans");
        Files.writeString(file, "{\"version\":1,\"down\":[\"a");
        start();
        assertEquals(0, metric("app_pool_ejected"));
        assertCallSucceeds("/ops/workers/down/b");
        assertEquals(1, metric("app_pool_ejected"));
    }

    /** While one process replaces another, a call may reach either of them. */
    @Test
    public void bansWrittenByAnotherProcessAreApplied() throws Exception {
        start();
        BanFile other = new BanFile(folder, new Config(config, folder).fileName());
        assertCallSucceeds("/ops/workers/down/a");
        other.change(bans -> bans.with("b"));
        awaitEjected(2);
        other.change(bans -> bans.without("a"));
        awaitEjected(1);
        assertCallSucceeds("/ops/workers/up/b");
        assertEquals(0, other.read().workers().size());
    }

    private void awaitEjected(long ejected) throws InterruptedException {
        await(() -> {
            try {
                return metric("app_pool_ejected") == ejected;
            } catch (Exception e) {
                return false;
            }
        });
    }

    private static String pageRequest(int id) {
        return "POST /directory-page?obj=1 HTTP/1.1\r\nHost: h\r\nX-Txn: d" + id + "\r\nX-Lane: directory-page\r\n"
                + "X-Remaining-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
    }

    private static String readAnswer(Socket s) throws IOException {
        byte[] buffer = new byte[4096];
        int n = s.getInputStream().read(buffer);
        return n < 0 ? "" : new String(buffer, 0, n, StandardCharsets.US_ASCII);
    }

    @Test
    public void aDrainFailsHealthChecksThenClosesConnectionsAndCanBeCancelled() throws Exception {
        start();
        Socket kept = connect();
        Socket idle = connect();
        ScriptedServer.write(kept.getOutputStream(), pageRequest(1));
        assertTrue(readAnswer(kept).startsWith("HTTP/1.1 200 "));
        ScriptedServer.write(idle.getOutputStream(), pageRequest(2));
        assertTrue(readAnswer(idle).startsWith("HTTP/1.1 200 "));
        assertCallSucceeds("/ops/drain/start");
        long begun = System.nanoTime();
        assertEquals(
                503,
                client.send(request("/up").GET().build(), HttpResponse.BodyHandlers.discarding())
                        .statusCode());
        ScriptedServer.write(kept.getOutputStream(), pageRequest(3));
        String early = readAnswer(kept);
        assertTrue(
                "the upstream load balancer may not have stopped yet: " + early,
                early.startsWith("HTTP/1.1 200 ") && !early.toLowerCase().contains("connection: close"));
        Thread.sleep(500);
        ScriptedServer.write(kept.getOutputStream(), pageRequest(4));
        String last = readAll(kept);
        assertTrue("an answer, then a close: " + last, last.startsWith("HTTP/1.1 200 "));
        assertEquals("idle connections are closed", "", readAll(idle));
        assertTrue(System.nanoTime() - begun < 2_000_000_000L);
        assertCallSucceeds("/ops/drain/stop");
        assertEquals(
                200,
                client.send(request("/up").GET().build(), HttpResponse.BodyHandlers.discarding())
                        .statusCode());
        Socket again = connect();
        ScriptedServer.write(again.getOutputStream(), pageRequest(5));
        assertTrue(readAnswer(again).startsWith("HTTP/1.1 200 "));
        Thread.sleep(1500); // past the times of the cancelled drain
        ScriptedServer.write(again.getOutputStream(), pageRequest(6));
        assertTrue("the connection is kept", readAnswer(again).startsWith("HTTP/1.1 200 "));
    }

    /** A process that is drained by a call can also be ended by SIGTERM, and answers its open RPCs first. */
    @Test
    public void sigtermDuringADrainEndsTheProcessWithoutLoss() throws Exception {
        workerA.script = ScriptedServer.serveAfterMs(1200);
        workerB.script = ScriptedServer.serveAfterMs(1200);
        Process process = startProcess(configFile());
        CompletableFuture<HttpResponse<String>> open = sendGift(5000);
        await(() -> workerA.requests.size() + workerB.requests.size() == 1);
        assertCallSucceeds("/ops/drain/start");
        process.destroy();
        assertEquals(200, get(open).statusCode());
        assertTrue(process.waitFor(5, java.util.concurrent.TimeUnit.SECONDS));
    }
}
