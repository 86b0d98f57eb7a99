package saffronferry.lifecycle;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.Test;

/**
 * Malformed, slow and silent clients on raw sockets: each gets an error or a close in time, nothing is forwarded to
 * workers, and other clients are not affected.
 */
public class BadClientsTest extends SocketsFixture {
    private static final String HEAD =
            "POST /directory-page HTTP/1.1\r\nHost: h\r\nX-Lane: directory-page\r\n" + "X-Remaining-Ms: 3000\r\n";
    private static final String GOOD = HEAD + "X-Txn: x\r\n";
    private static final String EMPTY = "Content-Length: 0\r\n\r\n";
    private static final String HIDDEN = HEAD + "X-Txn: hidden\r\n" + EMPTY;

    private List<String> forwarded() {
        List<String> all = new ArrayList<>(workerA.requests);
        all.addAll(workerB.requests);
        return all;
    }

    private static String status(String answer) {
        return answer.isEmpty() ? "" : answer.substring(9, 12);
    }

    /** Guards against request smuggling: ambiguous framing could hide a second request, forwarded to a worker. */
    @Test
    public void malformedRequestsAreRejectedAtOnceAndNotForwarded() throws Exception {
        String[][] cases = {
            // expected status (may be empty where a close that crosses unread bytes can overtake the answer), request
            {"400", GOOD + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + HIDDEN},
            {"400|", GOOD + "Transfer-Encoding: chunked\r\nContent-Length: " + HIDDEN.length() + "\r\n\r\n" + HIDDEN},
            {"400", GOOD + "Transfer-Encoding: xchunked\r\nContent-Length: 0\r\n\r\n" + HIDDEN},
            {"400", GOOD + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + HIDDEN},
            {
                "400",
                GOOD.replace("1.1", "1.0") + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + HIDDEN
            },
            {"400", GOOD + "Transfer-Encoding : chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + HIDDEN},
            {"400", GOOD + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + HIDDEN},
            {"400", GOOD + "Content-Length: 0, 0\r\n\r\n" + HIDDEN},
            {"400", GOOD + "Content-Length: -5\r\n\r\n" + HIDDEN},
            {"400", GOOD + "Content-Length: 0x10\r\n\r\n" + HIDDEN},
            {"400", GOOD + "Content-Length: 99999999999999999999\r\n\r\n"},
            {"413", GOOD + "Content-Length: 9223372036854775807\r\n\r\n"},
            {"413|", GOOD + "Content-Length: 62914560\r\n\r\n" + "x".repeat(200_000)},
            {"413|", GOOD + "Transfer-Encoding: chunked\r\n\r\n20000\r\n" + "x".repeat(0x20000) + "\r\n"},
            {"", GOOD + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + HIDDEN},
            {"400", "\u0001\u0002 nonsense\r\n\r\n" + HIDDEN},
            {"431", GOOD + "X-Long: " + "x".repeat(20_000) + "\r\n\r\n"},
            {"431", GOOD + "a:b\r\n".repeat(101) + EMPTY},
            {"431|", GOOD + "a:b\r\n".repeat(3_000)},
            {"", GOOD + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + "a:b\r\n".repeat(3_000)},
            {"414", "POST /" + "x".repeat(5000) + " HTTP/1.1\r\n\r\n"},
            {"400", HEAD + EMPTY + HIDDEN},
            {"400", HEAD + "X-Txn: \r\n" + EMPTY},
            {"400", GOOD.replace("3000", "NaN") + EMPTY},
            {"400", GOOD.replace("3000", "-1") + EMPTY},
            {"400", GOOD.replace("Lane: directory-page", "Lane: record-gift") + EMPTY},
            {"404", GOOD.replace("directory-page", "no-such-class") + EMPTY + HIDDEN},
        };
        start();
        for (String[] c : cases) {
            Socket s = connect();
            long begun = System.nanoTime();
            try {
                ScriptedServer.write(s.getOutputStream(), c[1]);
            } catch (java.net.SocketException e) {
                // rejected before all of it was sent
            }
            String answer = readAll(s);
            assertTrue(c[1], System.nanoTime() - begun < 1_500_000_000L);
            assertTrue(c[1] + answer, status(answer).matches(c[0]));
            assertTrue(c[1] + answer, answer.split("HTTP/1.1 ").length <= 2);
        }
        assertEquals(List.of(), forwarded());
    }

    /** Silent connections and partial requests are ended within 3 s of connecting; idle connections of clients stay. */
    @Test
    public void unfinishedRequestsAreEndedInTimeButIdleConnectionsStay() throws Exception {
        start();
        Socket idleClient = connect();
        ScriptedServer.write(idleClient.getOutputStream(), GOOD + EMPTY);
        assertTrue(readAnswer(idleClient).contains("200"));
        String[] unfinished = {
            "",
            "POST /dir",
            HEAD,
            GOOD + "Content-Length: 9\r\n\r\nhalf",
            GOOD + "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf"
        };
        List<Socket> sockets = new ArrayList<>();
        for (String text : unfinished) {
            Socket s = connect();
            ScriptedServer.write(s.getOutputStream(), text);
            sockets.add(s);
        }
        long begun = System.nanoTime();
        List<String> ends = new ArrayList<>();
        for (Socket s : sockets) {
            ends.add(status(readAll(s)));
        }
        assertTrue(System.nanoTime() - begun < 2_900_000_000L);
        assertEquals(List.of("", "", "", "408", "408"), ends);
        Thread.sleep(500);
        ScriptedServer.write(idleClient.getOutputStream(), GOOD.replace("Txn: x", "Txn: y") + EMPTY);
        assertTrue(readAnswer(idleClient).contains("200"));
        assertEquals(2, forwarded().size());
    }

    /** Reads one answer, whose head and body the scripted worker sends together. */
    private static String readAnswer(Socket s) throws Exception {
        byte[] buffer = new byte[4096];
        int n = s.getInputStream().read(buffer);
        return new String(buffer, 0, Math.max(0, n));
    }

    /** When the clients' descriptors run out, silent connections are closed first, not idle connections of clients. */
    @Test
    public void silentConnectionsAreClosedFirstWhenDescriptorsRunOut() throws Exception {
        config.getJSONObject("limits").put("sockets", 384);
        start();
        Socket idleClient = connect();
        ScriptedServer.write(idleClient.getOutputStream(), GOOD + EMPTY);
        assertTrue(readAnswer(idleClient).contains("200"));
        List<Socket> crowd = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            crowd.add(connect());
        }
        assertEquals(
                "the connection that has been silent longest is closed",
                -1,
                crowd.get(0).getInputStream().read());
        ScriptedServer.write(idleClient.getOutputStream(), GOOD.replace("Txn: x", "Txn: y") + EMPTY);
        assertTrue(readAnswer(idleClient).contains("200"));
        assertEquals(200, get(sendGift(3000)).statusCode());
    }

    /** A second RPC with the id of an open one is rejected, and the first one continues. */
    @Test
    public void anRpcWithTheIdOfAnOpenOneIsRejected() throws Exception {
        workerA.script = ScriptedServer.serveAfterMs(400);
        workerB.script = ScriptedServer.serveAfterMs(400);
        start();
        CompletableFuture<HttpResponse<String>> first = sendRequest("same", "directory-page", 3000);
        await(() -> forwarded().size() == 1);
        assertEquals(409, get(sendRequest("same", "directory-page", 3000)).statusCode());
        assertEquals(200, get(first).statusCode());
        assertEquals(1, forwarded().size());
        assertEquals(
                "free again",
                200,
                get(sendRequest("same", "directory-page", 3000)).statusCode());
    }
}
