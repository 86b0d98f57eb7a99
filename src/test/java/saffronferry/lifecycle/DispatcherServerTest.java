package saffronferry.lifecycle;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** The rules of the dispatcher, each tested once with a whole dispatcher on real sockets between scripted servers. */
public class DispatcherServerTest extends SocketsFixture {
    @Test
    public void aServedRpcReturnsTheWorkersResultAndForwardsItsHeaders() throws Exception {
        workerB.close();
        start();
        HttpResponse<String> answer = get(sendGift(5000));
        assertEquals("200 made", answer.statusCode() + " " + answer.body());
        String forwarded = workerA.requests.get(0).toLowerCase();
        assertTrue(
                forwarded,
                forwarded.startsWith("post /record-gift?obj=7f http/1.1") && forwarded.endsWith("\r\n\r\nbody"));
        assertTrue(forwarded, forwarded.contains("x-txn: t1") && forwarded.contains("idempotency-key: k1"));
        assertTrue(forwarded, forwarded.matches("(?s).*x-remaining-ms: [1-5]\\d{0,3}\r\n.*"));
    }

    /** Rule 1: a client gets its final answer by its deadline, even if the worker never responds. */
    @Test
    public void anRpcIsAnsweredByItsDeadline() throws Exception {
        workerA.script = ScriptedServer::neverAnswer;
        workerB.script = ScriptedServer::neverAnswer;
        start();
        assertEquals(500, get(sendGift(700)).statusCode());
        // the attempt is given up
        await(() -> workerA.connectionsClosedByPeer.get() + workerB.connectionsClosedByPeer.get() >= 1);
    }

    /** Rule 2: a keyed RPC that may have run is not retried in another cell, and not reported as refused. */
    @Test
    public void aKeyedRpcThatMayHaveRunFailsAndIsNotRetriedInAnotherCell() throws Exception {
        workerA.script = (request, out) -> false;
        workerB.script = (request, out) -> false;
        start();
        assertEquals(500, get(sendGift(3000)).statusCode());
        assertEquals(0, Math.min(workerA.requests.size(), workerB.requests.size())); // two cells
    }

    /** A 503 of a worker without X-Turned-Away does not prove that the RPC has not run, so it is not a refusal. */
    @Test
    public void aPlain503OfAWorkerIsNotARefusal() throws Exception {
        workerA.script = ScriptedServer.answerWith("503 Busy", "");
        workerB.script = workerA.script;
        start();
        assertEquals(500, get(sendGift(3000)).statusCode());
        assertEquals(0, Math.min(workerA.requests.size(), workerB.requests.size())); // two cells
    }

    @Test
    public void aRejectedOrUnconnectedAttemptIsRetriedInAnotherCell() throws Exception {
        workerA.script = ScriptedServer.answerWith("503 Full", "X-Turned-Away: 1\r\n");
        start();
        for (int i = 0; i < 4; i++) {
            assertEquals(200, get(sendGift(3000)).statusCode());
        }
        workerA.close();
        for (int i = 0; i < 4; i++) {
            assertEquals(200, get(sendGift(3000)).statusCode());
        }
    }

    /** Without a worker an RPC is refused, with a Retry-After header. */
    @Test
    public void aRefusalHasARetryAfterHeader() throws Exception {
        setKnownWorkers();
        start();
        HttpResponse<String> answer = get(sendGift(300));
        assertEquals(503, answer.statusCode());
        double after =
                Double.parseDouble(answer.headers().firstValue("Retry-After").orElseThrow());
        assertTrue("" + after, after > 0 && after <= 2);
    }

    /** Rule 3: a worker that discovery lists as draining gets no new RPCs. */
    @Test
    public void aDrainingWorkerGetsNoNewRpcs() throws Exception {
        discovery.script = (request, out) -> {
            ScriptedServer.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            ScriptedServer.chunk(
                    out,
                    "{\"revision\":2,\"complete\":false,\"members\":[" + entry("a", workerA.address(), 1, "DRAINING", 0)
                            + "]}");
            Thread.sleep(30_000);
            return false;
        };
        workerB.script = (request, out) -> {
            Thread.sleep(200); // long enough that concurrent RPCs would be spread over both workers
            return ScriptedServer.serve(request, out);
        };
        start();
        await(() -> discovery.requests.size() == 1);
        Thread.sleep(500);
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            answers.add(sendRequest("directory-page", 5000));
        }
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            assertTrue(get(answer).statusCode() != 500);
        }
        assertFalse(workerB.requests.isEmpty());
        assertEquals(0, workerA.requests.size());
    }

    /** Rule 4: of a burst, a worker that has just started gets less than a warm one would. */
    @Test
    public void aColdWorkerIsNotOverloaded() throws Exception {
        workerA.script = ScriptedServer::neverAnswer;
        workerA.load = "x0=12,x1=12";
        setKnownWorkers(entry("a", workerA.address(), 1, "SERVING", System.currentTimeMillis()));
        start();
        Thread.sleep(300);
        for (int i = 0; i < 12; i++) {
            // several, since this dispatcher is one of two that share the worker, and the choice is random
            sendRequest("directory-page", 5000);
        }
        await(() -> !workerA.requests.isEmpty());
        Thread.sleep(50);
        assertTrue("sent " + workerA.requests.size(), workerA.requests.size() <= 8);
    }

    /** A discovery watch that fails, ends or falls silent is reopened. */
    @Test
    public void aLostWatchIsReopened() throws Exception {
        String list = "{\"revision\":7,\"complete\":true,\"members\":[" + entry("b", workerB.address(), 2, "SERVING", 0)
                + "]}";
        discovery.script = (request, out) -> {
            int attempt = discovery.requests.size();
            if (attempt == 1) {
                return ScriptedServer.answerWith("503 Late", "").answer(request, out);
            }
            ScriptedServer.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            ScriptedServer.chunk(out, attempt == 2 ? "nonsense" : list);
            Thread.sleep(attempt == 3 ? 30_000 : 1); // the third stays open and silent
            return false;
        };
        setKnownWorkers();
        start();
        await(() -> discovery.requests.size() >= 4);
        assertTrue(discovery.requests.get(3), discovery.requests.get(3).contains("from=7"));
        assertEquals(200, get(sendRequest("directory-page", 3000)).statusCode());
    }

    /** Malformed datagrams and requests are rejected, and the dispatcher continues to serve. */
    @Test
    public void malformedInputDoesNoHarm() throws Exception {
        start();
        InetAddress here = InetAddress.getByName("127.0.0.1");
        int udp = Integer.parseInt(config.getString("peer_listen").split(":")[1]);
        for (int size : new int[] {0, 1, 6, 8, 256, 900}) {
            peer.send(new DatagramPacket(new byte[size], size, here, udp));
            try (DatagramSocket stranger = new DatagramSocket()) {
                stranger.send(new DatagramPacket(new byte[size], size, here, udp));
            }
        }
        assertEquals(404, get(sendRequest("no-such-class", 1000)).statusCode());
        assertEquals(400, get(sendRequest("record-gift", -5)).statusCode());
        assertEquals(
                405,
                client.send(request("/x").GET().build(), HttpResponse.BodyHandlers.ofString())
                        .statusCode());
        HttpRequest big = request("/record-gift")
                .header("X-Txn", "t")
                .header("X-Remaining-Ms", "900")
                .header(KEY, "k")
                .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[65_537]))
                .build();
        assertEquals(413, client.send(big, HttpResponse.BodyHandlers.ofString()).statusCode());
        assertEquals(200, get(sendGift(3000)).statusCode());
    }

    /** Datagrams have at most 256 bytes, and come from the listed address, by which peers identify the sender. */
    @Test
    public void datagramsFitTheSizeLimitAndComeFromTheListedAddress() throws Exception {
        start();
        for (int i = 0; i < 5; i++) {
            DatagramPacket packet = new DatagramPacket(new byte[2000], 2000);
            peer.receive(packet);
            assertTrue(packet.getLength() <= 256);
            assertEquals(config.getString("peer_listen"), "127.0.0.1:" + packet.getPort());
        }
    }

    /** An RPC that a worker rejects as malformed fails without a retry, and the worker is not penalized. */
    @Test
    public void anRpcRejectedAsMalformedFailsAtOnceWithoutPenalty() throws Exception {
        workerA.script = ScriptedServer.answerWith("400 Bad Request", "");
        workerB.script = workerA.script;
        start();
        for (int i = 1; i <= 6; i++) {
            assertEquals(500, get(sendRequest("directory-page", 5000)).statusCode());
            assertEquals(i, workerA.requests.size() + workerB.requests.size());
        }
        workerA.script = ScriptedServer::serve;
        workerB.script = workerA.script;
        assertEquals(
                200,
                sendRequest("directory-page", 5000)
                        .get(700, TimeUnit.MILLISECONDS)
                        .statusCode());
    }

    /** A worker may close an idle connection; an RPC written to it meanwhile would fail as one that may have run. */
    @Test
    public void connectionsToWorkersAreNotReused() throws Exception {
        Set<Object> used = Collections.synchronizedSet(new HashSet<>());
        workerA.script = (request, out) -> used.add(out) && ScriptedServer.serve(request, out);
        workerB.script = workerA.script;
        start();
        for (int i = 0; i < 6; i++) {
            assertEquals(200, get(sendGift(3000)).statusCode());
        }
        assertEquals(6, workerA.requests.size() + workerB.requests.size());
    }

    /** The dispatcher then closes the connection of the attempt itself, which must not count as a worker failure. */
    @Test
    public void aDisconnectEndsTheAttemptWithoutPenaltyForTheWorker() throws Exception {
        workerA.script = ScriptedServer::neverAnswer;
        setKnownWorkers(entry("a", workerA.address(), 1, "SERVING", 0));
        start();
        try (java.net.Socket s = connect()) {
            ScriptedServer.write(
                    s.getOutputStream(),
                    "POST /record-gift HTTP/1.1\r\nHost: h\r\nX-Txn: t\r\n"
                            + "X-Remaining-Ms: 20000\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n");
            await(() -> workerA.requests.size() == 1);
        }
        await(() -> workerA.connectionsClosedByPeer.get() >= 1);
        workerA.script = ScriptedServer::serve;
        assertEquals(200, sendGift(3000).get(700, TimeUnit.MILLISECONDS).statusCode());
    }

    /** After SIGTERM clients are still served, late RPCs are answered before SIGKILL, and the process ends. */
    @Test
    public void sigtermDrainsTheProcess() throws Exception {
        workerA.script = ScriptedServer.serveAfterMs(1200);
        workerB.script = ScriptedServer.serveAfterMs(1200);
        Process process = startProcess(configFile());
        CompletableFuture<HttpResponse<String>> openRpc = sendGift(8000);
        await(() -> workerA.requests.size() + workerB.requests.size() == 1);
        long begun = System.nanoTime();
        process.destroy();
        Thread.sleep(100);
        CompletableFuture<HttpResponse<String>> lateRpc = sendGift(8000);
        assertEquals(200, get(openRpc).statusCode());
        assertEquals(200, get(lateRpc).statusCode());
        assertEquals("a kept connection", 200, get(sendGift(8000)).statusCode());
        workerA.script = ScriptedServer::neverAnswer;
        workerB.script = ScriptedServer::neverAnswer;
        assertEquals("answered", 500, get(sendGift(20_000)).statusCode());
        assertTrue("before SIGKILL", System.nanoTime() - begun < 3_700_000_000L);
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
    }

    /** An RPC that takes longer than a usual drain is still answered, unless SIGKILL arrives. */
    @Test
    public void sigtermWaitsForLongRunningRpcs() throws Exception {
        workerA.script = ScriptedServer.serveAfterMs(6500);
        workerB.script = workerA.script;
        Process process = startProcess(configFile());
        CompletableFuture<HttpResponse<String>> openRpc = sendGift(20_000);
        await(() -> workerA.requests.size() + workerB.requests.size() == 1);
        process.destroy();
        assertEquals(200, get(openRpc).statusCode());
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
    }

    /** A request received partly before and partly after the last accept gets a full response, not a reset. */
    @Test
    public void aPartialRequestAtTheLastAcceptIsRefusedWithAFullResponse() throws Exception {
        for (int i = 0; i < 2; i++) {
            config.getJSONObject("settings")
                    .getJSONArray("profiles")
                    .getJSONObject(i)
                    .put("deadline", 0.5);
        }
        workerA.script = ScriptedServer.serveAfterMs(300);
        workerB.script = workerA.script;
        Process process = startProcess(configFile());
        java.net.Socket idle = connect();
        ScriptedServer.write(idle.getOutputStream(), "GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        java.net.Socket half = connect();
        ScriptedServer.write(
                half.getOutputStream(),
                "POST /directory-page?obj=1 HTTP/1.1\r\nHost: h\r\nX-Txn: half\r\n"
                        + "X-Remaining-Ms: 500\r\nContent-Length: 60000\r\n\r\nfirst");
        process.destroy();
        assertTrue(readAll(idle).startsWith("HTTP/1.1 ")); // until it is closed, at the last accept
        ScriptedServer.write(half.getOutputStream(), "x".repeat(59_995));
        String answer = readAll(half);
        assertTrue(answer, answer.startsWith("HTTP/1.1 503 ") && answer.endsWith("shutting down\n"));
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
        assertEquals(0, workerA.requests.size() + workerB.requests.size());
    }

    /**
     * A process that waits for its last responses accepts no connections: they would be reset unread when it ends.
     * Connections that are in the accept queue at the last accept are still served.
     */
    @Test
    @SuppressWarnings("try") // the resource only has to stay open meanwhile
    public void noConnectionIsAcceptedAfterTheLastAccept() throws Exception {
        workerA.script = ScriptedServer.serveAfterMs(6500);
        workerB.script = workerA.script;
        Process process = startProcess(configFile());
        CompletableFuture<HttpResponse<String>> openRpc = sendGift(20_000);
        await(() -> workerA.requests.size() + workerB.requests.size() == 1);
        java.net.Socket idle = connect();
        ScriptedServer.write(idle.getOutputStream(), "GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        process.destroy();
        assertTrue(readAll(idle).startsWith("HTTP/1.1 ")); // until it is closed, at the last accept
        await(() -> {
            try (java.net.Socket s = new java.net.Socket("127.0.0.1", port())) {
                return false;
            } catch (java.io.IOException refused) {
                return true;
            }
        });
        assertTrue("the process ends only with its last response", process.isAlive());
        assertEquals(200, get(openRpc).statusCode());
        assertTrue(process.waitFor(5, TimeUnit.SECONDS));
    }

    /** Without a larger pool, RPCs beyond five to one worker would wait inside Vert.x for the first to end. */
    @Test
    public void aWorkerWithManySlotsGetsManyConcurrentRpcs() throws Exception {
        workerB.close();
        setKnownWorkers(entry("a", workerA.address(), 1, "SERVING", 0));
        workerA.load = "x0=20,x1=20";
        start();
        await(
                () -> { // until its load report has been received
                    try {
                        return get(sendRequest("directory-page", 3000)).statusCode() == 200;
                    } catch (Exception e) {
                        return false;
                    }
                });
        int before = workerA.requests.size();
        workerA.script = ScriptedServer::neverAnswer;
        List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            all.add(sendGift(20_000));
        }
        await(() -> workerA.requests.size() == before + 12);
    }
}
