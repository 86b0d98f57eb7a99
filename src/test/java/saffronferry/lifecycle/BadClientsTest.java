package saffronferry.lifecycle;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.Test;

/** What bad clients send, on raw sockets: an error or a close in time, nothing passed on, no harm to others. */
public class BadClientsTest extends SocketsFixture {
    private static final String HEAD =
            "POST /directory-page HTTP/1.1\r\nHost: h\r\nX-Lane: directory-page\r\n" + "X-Remaining-Ms: 3000\r\n";
    private static final String GOOD = HEAD + "X-Txn: x\r\n";
    private static final String EMPTY = "Content-Length: 0\r\n\r\n";
    private static final String HIDDEN = HEAD + "X-Txn: hidden\r\n" + EMPTY;

    private List<String> passedOn() {
        List<String> all = new ArrayList<>(workerA.requests);
        all.addAll(workerB.requests);
        return all;
    }

    private static String status(String answer) {
        return answer.isEmpty() ? "" : answer.substring(9, 12);
    }

    /** The framing rules are the protocol's: a hidden request that is passed on counts as sent twice. */
    @Test
    public void whatCannotBeUsedIsTurnedAwayAtOnceAndNothingIsPassedOn() throws Exception {
        String[][] cases = {
            // status (none where a close that crosses more bytes may overtake the answer), sent
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
                // turned away before all of it was sent
            }
            String answer = readAll(s);
            assertTrue(c[1], System.nanoTime() - begun < 1_500_000_000L);
            assertTrue(c[1] + answer, status(answer).matches(c[0]));
            assertTrue(c[1] + answer, answer.split("HTTP/1.1 ").length <= 2);
        }
        assertEquals(List.of(), passedOn());
    }

    /** Silence and half a request are ended within 3 s of connecting; a usual client's idle connection stays. */
    @Test
    public void whatStaysUnfinishedIsEndedInTimeButIdleConnectionsStay() throws Exception {
        start();
        Socket usual = connect();
        ScriptedServer.write(usual.getOutputStream(), GOOD + EMPTY);
        assertTrue(readLine(usual).contains("200"));
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
        ScriptedServer.write(usual.getOutputStream(), GOOD.replace("Txn: x", "Txn: y") + EMPTY);
        assertTrue(readLine(usual).contains("200"));
        assertEquals(2, passedOn().size());
    }

    /** The head and body of one answer, all of which the scripted worker sends together. */
    private static String readLine(Socket s) throws Exception {
        byte[] buffer = new byte[4096];
        int n = s.getInputStream().read(buffer);
        return new String(buffer, 0, Math.max(0, n));
    }

    /** Beyond the clients' descriptors the silent go first: a usual client keeps its idle connection. */
    @Test
    public void crowdsThatSayNothingMakeRoomFirst() throws Exception {
        config.getJSONObject("limits").put("sockets", 384);
        start();
        Socket usual = connect();
        ScriptedServer.write(usual.getOutputStream(), GOOD + EMPTY);
        assertTrue(readLine(usual).contains("200"));
        List<Socket> crowd = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            crowd.add(connect());
        }
        assertEquals(
                "the longest silent is closed",
                -1,
                crowd.get(0).getInputStream().read());
        ScriptedServer.write(usual.getOutputStream(), GOOD.replace("Txn: x", "Txn: y") + EMPTY);
        assertTrue(readLine(usual).contains("200"));
        assertEquals(200, get(sendGift(3000)).statusCode());
    }

    /** A second RPC by the name of an open one is turned away, and the first goes on untouched. */
    @Test
    public void theIdOfAnOpenRpcIsNotTakenTwice() throws Exception {
        workerA.script = ScriptedServer.serveAfterMs(400);
        workerB.script = ScriptedServer.serveAfterMs(400);
        start();
        CompletableFuture<HttpResponse<String>> first = sendRequest("same", "directory-page", 3000);
        await(() -> passedOn().size() == 1);
        assertEquals(409, get(sendRequest("same", "directory-page", 3000)).statusCode());
        assertEquals(200, get(first).statusCode());
        assertEquals(1, passedOn().size());
        assertEquals("free again", 200, get(sendRequest("same", "directory-page", 3000)).statusCode());
    }
}
