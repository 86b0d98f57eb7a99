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

/** What operators call for, with a whole dispatcher on real sockets between scripted peers. */
public class ConsoleTest extends SocketsFixture {
    private int consolePort() {
        return Integer.parseInt(config.getString("console").split(":")[1]);
    }

    private Socket caller(String said) throws IOException {
        Socket s = closeAfterTest(new Socket("127.0.0.1", consolePort()));
        s.setSoTimeout(5000);
        ScriptedServer.write(s.getOutputStream(), said);
        return s;
    }

    private String raw(String said) throws IOException {
        return readAll(caller(said)); // ends only because the answer ends the connection
    }

    private static String head(String method, String path) {
        return method + " " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n";
    }

    @Test
    public void eachCallHasItsAnswerAndTheConnectionEnds() throws Exception {
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
            String answer = raw(head(row[0], row[1]));
            assertTrue(row[1] + ": " + answer, answer.startsWith("HTTP/1.1 " + row[2] + " "));
        }
        assertTrue(raw("rubbish\r\n\r\n").startsWith("HTTP/1.1 400 "));
        assertTrue(raw("GET /ops/stats HTTP/1.1\r\nX: " + "y".repeat(10_000) + "\r\n\r\n")
                .startsWith("HTTP/1.1 400 "));
        Socket slow = caller("");
        for (byte b : head("GET", "/ops/readiness").getBytes(StandardCharsets.US_ASCII)) {
            slow.getOutputStream().write(b);
            slow.getOutputStream().flush();
        }
        assertTrue(readAll(slow).startsWith("HTTP/1.1 200 "));
    }

    /** Callers that stay and say nothing, and clients that hold all they may, cost no other caller its answer. */
    @Test
    @SuppressWarnings("try") // the resource only has to stay open meanwhile
    public void answersComeInASecondBesideSilentAndHalfCallersAndACrowdOfClients() throws Exception {
        launch(configFile(), 192, "saffronferry.cli.Main", "serve");
        awaitUp();
        try (ConnectionFlood crowd = new ConnectionFlood(port(), 400)) {
            for (int i = 0; i < 60; i++) {
                caller(i % 2 == 0 ? "" : "GET /ops/st");
                if (i % 5 == 0) {
                    long begun = System.nanoTime();
                    assertTrue(call("GET", "/ops/readiness").startsWith("200"));
                    assertTrue(System.nanoTime() - begun < 1_000_000_000L);
                }
            }
        }
    }

    /** A call made half is told so, one that says nothing is closed: neither stays longer than 2 s or so. */
    @Test
    public void callersThatAreNeverWholeAreNotKept() throws Exception {
        start();
        Socket half = caller("PUT /ops/drain/start HTT");
        Socket silent = caller("");
        assertTrue(readAll(half).startsWith("HTTP/1.1 408 "));
        assertEquals("", readAll(silent));
        assertEquals("nothing came of it", 200, ConnectionFlood.msUntilUp(port()) < 1000 ? 200 : 0);
    }

    @Test
    public void theFiguresAreWhatClientsAndWorkersSaw() throws Exception {
        workerA.script = ScriptedServer.serveAfterMs(300);
        workerB.close(); // connecting there fails, and is no attempt written
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
        workerA.script = (request, out) -> false; // takes the job and breaks
        assertEquals(500, get(sendGift(3000)).statusCode());
        workerA.script = ScriptedServer.serveAfterMs(1500);
        CompletableFuture<HttpResponse<String>> late = sendRequest("directory-page", 400); // the worker holds it too long
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

    private void awaitFigure(String name, long over) throws InterruptedException {
        await(() -> {
            try {
                return metric(name) > over;
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
    }

    /** Bytes of discovery, of probes and of peers are in the figures as the stand-ins said and heard them. */
    @Test
    public void whatControlCostsIsToldByKind() throws Exception {
        String told =
                "{\"revision\":2,\"complete\":true,\"members\":[" + entry("a", workerA.address(), 1, "SERVING", 0) + "]}";
        discovery.script = watchSending(told);
        start();
        awaitFigure("app_control_bytes{kind=\"lists\",way=\"in\"}", told.length());
        assertTrue(
                "and the head of an answer",
                metric("app_control_bytes{kind=\"lists\",way=\"in\"}") < told.length() + 500);
        assertTrue("the call", metric("app_control_bytes{kind=\"lists\",way=\"out\"}") > 50);
        awaitFigure("app_control_bytes{kind=\"probes\",way=\"out\"}", 50);
        awaitFigure("app_control_resident_bytes", 10_000_000);
        String cpu = call("GET", "/ops/stats")
                .lines()
                .filter(l -> l.startsWith("app_control_cpu_seconds "))
                .findFirst()
                .orElseThrow();
        assertTrue(cpu, Double.parseDouble(cpu.split(" ")[1]) > 0);
    }

    @Test
    public void whatTheSystemSaysOfTheProcessIsRead() throws Exception {
        String stat = "7 (a) b (c) S 1 1 1 0 -1 0 9 9 9 9 120 30 0 0 20 0 9";
        assertEquals(new ProcessUsage.Sample(1_500, 2_048), ProcessUsage.read(stat, "Name:\tx\nVmRSS:\t     2 kB\n"));
        for (String[] bad : new String[][] {{"", ""}, {stat, "Name:\tx\n"}, {"7 (a) S 1", "VmRSS: 2 kB"}}) {
            assertThrows(IOException.class, () -> ProcessUsage.read(bad[0], bad[1]));
        }
        assertTrue(ProcessUsage.read().resident() > 10_000_000 && ProcessUsage.read().cpu() > 0);
    }

    @Test
    public void whatWasTakenOutGetsNothingUntilTheCallBackWhateverTheListSays() throws Exception {
        workerA.script = ScriptedServer.serveAfterMs(400);
        workerB.script = ScriptedServer.serveAfterMs(400);
        discovery.script = (request, out) -> {
            Thread.sleep(800);
            return watchSending("{\"revision\":2,\"complete\":true,\"members\":["
                            + entry("a", workerA.address(), 1, "SERVING", System.currentTimeMillis()) + ","
                            + entry("b", workerB.address(), 2, "SERVING", 0) + "]}")
                    .play(request, out);
        };
        start();
        CompletableFuture<HttpResponse<String>> running = sendGift(5000);
        await(() -> workerA.requests.size() + workerB.requests.size() == 1);
        ScriptedServer out = workerA.requests.isEmpty() ? workerB : workerA;
        assertCallSucceeds("/ops/workers/down/" + (out == workerA ? "a" : "b"));
        List<CompletableFuture<HttpResponse<String>>> held = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            held.add(sendRequest("directory-page", 6000));
        }
        assertEquals("what runs there finishes", 200, get(running).statusCode());
        for (CompletableFuture<HttpResponse<String>> one : held) {
            int status = get(one).statusCode();
            assertTrue("served, or refused for want of slots: " + status, status == 200 || status == 503);
        }
        Thread.sleep(600); // by now the list has told of it anew, as in service and restarted
        assertEquals(200, get(sendGift(5000)).statusCode());
        assertEquals(1, out.requests.size());
        assertCallSucceeds("/ops/workers/up/" + (out == workerA ? "a" : "b"));
        await(() -> {
            sendRequest("directory-page", 3000);
            return out.requests.size() > 1;
        });
    }

    @Test
    public void withAllTakenOutRequestsAreRefusedAndServedAgainAfterTheCallBack() throws Exception {
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

    /** An attempt whose connection is yet to come up: its worker is out before the first byte could leave. */
    @Test
    public void nothingLeavesAfterTheYesThoughItWasBeingDialled() throws Exception {
        start();
        Random random = new Random(7);
        int banned = 0;
        for (int round = 0; round < 40; round++) {
            ScriptedServer out = round % 2 == 0 ? workerA : workerB;
            long surplus = surplus();
            List<CompletableFuture<HttpResponse<String>>> load = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                load.add(sendRequest("directory-page", 4000));
            }
            Thread.sleep(0, random.nextInt(900_000));
            assertCallSucceeds("/ops/workers/down/" + (out == workerA ? "a" : "b"));
            // what had left before the yes is read, however busy the machine
            long written = written();
            await(() -> read() - written >= surplus);
            int got = out.requests.size();
            for (int i = 0; i < 6; i++) {
                load.add(sendRequest("directory-page", 4000));
            }
            for (CompletableFuture<HttpResponse<String>> one : load) {
                assertEquals(200, get(one).statusCode());
            }
            assertEquals("round " + round, got, out.requests.size());
            banned += got > 0 ? 1 : 0;
            assertCallSucceeds("/ops/workers/up/" + (out == workerA ? "a" : "b"));
        }
        assertTrue("the workers were in use before", banned > 20);
    }

    private long read() {
        return workerA.requests.size() + workerB.requests.size();
    }

    /** How many more the workers have read than were written whole, some having been given up meanwhile; at rest. */
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

    /** Attempts written whole so far. */
    private long written() throws Exception {
        return metric("app_tries{kind=\"directory-page\"}") + metric("app_tries{kind=\"record-gift\"}");
    }

    @Test
    public void bansOutliveTheProcessAndADamagedFileEndsNoStart() throws Exception {
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

    /** A call may reach either process of an upgrade. */
    @Test
    public void bansThatAnotherProcessWritesAreFollowed() throws Exception {
        start();
        BanFile other = new BanFile(folder, new Config(config, folder).fileName());
        assertCallSucceeds("/ops/workers/down/a");
        other.change(bans -> bans.with("b"));
        awaitFigure(2);
        other.change(bans -> bans.without("a"));
        awaitFigure(1);
        assertCallSucceeds("/ops/workers/up/b");
        assertEquals(0, other.read().workers().size());
    }

    private void awaitFigure(long ejected) throws InterruptedException {
        await(() -> {
            try {
                return metric("app_pool_ejected") == ejected;
            } catch (Exception e) {
                return false;
            }
        });
    }

    private static String job(int id) {
        return "POST /directory-page?obj=1 HTTP/1.1\r\nHost: h\r\nX-Txn: d" + id + "\r\nX-Lane: directory-page\r\n"
                + "X-Remaining-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
    }

    private static String answer(Socket s) throws IOException {
        byte[] buffer = new byte[4096];
        int n = s.getInputStream().read(buffer);
        return n < 0 ? "" : new String(buffer, 0, n, StandardCharsets.US_ASCII);
    }

    @Test
    public void aDrainTurnsAwayThenEmptiesAndIsTakenBack() throws Exception {
        start();
        Socket kept = connect();
        Socket idle = connect();
        ScriptedServer.write(kept.getOutputStream(), job(1));
        assertTrue(answer(kept).startsWith("HTTP/1.1 200 "));
        ScriptedServer.write(idle.getOutputStream(), job(2));
        assertTrue(answer(idle).startsWith("HTTP/1.1 200 "));
        assertCallSucceeds("/ops/drain/start");
        long begun = System.nanoTime();
        assertEquals(
                503,
                client.send(request("/up").GET().build(), HttpResponse.BodyHandlers.discarding())
                        .statusCode());
        ScriptedServer.write(kept.getOutputStream(), job(3));
        String early = answer(kept);
        assertTrue(
                "the front may not have turned away yet: " + early,
                early.startsWith("HTTP/1.1 200 ") && !early.toLowerCase().contains("connection: close"));
        Thread.sleep(500);
        ScriptedServer.write(kept.getOutputStream(), job(4));
        String last = readAll(kept);
        assertTrue("an answer, and then the end: " + last, last.startsWith("HTTP/1.1 200 "));
        assertEquals("idle ones end", "", readAll(idle));
        assertTrue(System.nanoTime() - begun < 2_000_000_000L);
        assertCallSucceeds("/ops/drain/stop");
        assertEquals(
                200,
                client.send(request("/up").GET().build(), HttpResponse.BodyHandlers.discarding())
                        .statusCode());
        Socket again = connect();
        ScriptedServer.write(again.getOutputStream(), job(5));
        assertTrue(answer(again).startsWith("HTTP/1.1 200 "));
        Thread.sleep(1500); // the stopped drain's times have passed
        ScriptedServer.write(again.getOutputStream(), job(6));
        assertTrue("it is kept", answer(again).startsWith("HTTP/1.1 200 "));
    }

    /** Whoever drained a dispatcher by call may end it too, and it ends when all has its answer. */
    @Test
    public void sigtermInADrainEndsTheProcessAndLosesNothing() throws Exception {
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
