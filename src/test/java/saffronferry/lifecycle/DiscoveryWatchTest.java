package saffronferry.lifecycle;

import static org.junit.Assert.assertEquals;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** A watch that dies without a word, and what keeps a dispatcher from discovery. */
public class DiscoveryWatchTest extends SocketsFixture {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static String list(int revision, boolean whole, String... entries) {
        return "{\"revision\":" + revision + ",\"complete\":" + whole + ",\"members\":[" + String.join(",", entries)
                + "]}";
    }

    /** Then tells that b drains; what is left to take jobs is a. */
    private void thenTellThatBDrains(ScriptedServer.Script first) {
        discovery.script = (request, out) -> discovery.requests.size() == 1
                ? first.play(request, out)
                : watchSending(list(9, false, entry("b", workerB.address(), 2, "DRAINING", 0)))
                        .play(request, out);
    }

    private void nothingGoesToBAnyMore(int calls) throws Exception {
        await(() -> {
            int before = workerB.requests.size();
            try {
                for (int i = 0; i < 4; i++) {
                    get(sendRequest("directory-page", 3000));
                }
            } catch (Exception e) {
                return false;
            }
            return discovery.requests.size() >= calls && workerB.requests.size() == before;
        });
    }

    /** Bytes that never make a line are no sign of life: a change that the watch hides counts as told 6 s later. */
    @Test
    public void halfALineThatGoesOnForEverIsASilentWatch() throws Exception {
        thenTellThatBDrains((request, out) -> {
            ScriptedServer.write(out, HEAD);
            ScriptedServer.chunk(out, list(1, false));
            while (true) {
                ScriptedServer.write(out, "1\r\n{\r\n");
                Thread.sleep(100);
            }
        });
        start();
        nothingGoesToBAnyMore(2);
    }

    @Test
    public void aCallThatTellsNoListIsFollowedByAnother() throws Exception {
        for (String said : new String[] {"", HEAD, HEAD + "1\r\n\n\r\n"}) {
            discovery = closeAfterTest(new ScriptedServer(ScriptedServer::neverAnswer));
            thenTellThatBDrains((request, out) -> {
                ScriptedServer.write(out, said);
                for (int i = 0; i < 60; i++) {
                    Thread.sleep(1000);
                    if (said.length() > HEAD.length()) {
                        ScriptedServer.chunk(out, ""); // alive, and no list all the same
                    }
                }
                return false;
            });
            config.put("discovery", discovery.address())
                    .put("listen", "127.0.0.1:" + freePort())
                    .put("console", "127.0.0.1:" + freePort());
            start();
            nothingGoesToBAnyMore(2);
        }
    }

    /**
     * The list of the start may be as old as the machine was away: nothing is served before discovery has told its
     * own.
     */
    @Test
    public void aProcessServesOnlyOnceDiscoveryHasToldItsList() throws Exception {
        discovery.script = (request, out) -> {
            Thread.sleep(700);
            return watchSending(list(9, false, entry("b", workerB.address(), 2, "DRAINING", 0)))
                    .play(request, out);
        };
        start();
        for (int i = 0; i < 8; i++) {
            assertEquals(200, get(sendRequest("directory-page", 3000)).statusCode());
        }
        assertEquals(0, workerB.requests.size());
    }

    /** Another customer's setting: pushed lists come on a watch, too, and count as told from the first moment. */
    @Test
    public void whereListsArePushedTheWatchIsOpenedUnasked() throws Exception {
        config.getJSONObject("settings").put("registryMode", "push");
        discovery.script = (request, out) -> discovery.requests.size() == 1
                ? false
                : watchSending(list(9, false, entry("b", workerB.address(), 2, "DRAINING", 0)))
                        .play(request, out);
        start();
        nothingGoesToBAnyMore(2);
    }

    /**
     * Clients that rest on connections of theirs may hold all that is theirs to hold, and discovery is still reached.
     */
    @Test
    public void idleClientsThatFillTheDescriptorsDoNotKeepUsFromDiscovery() throws Exception {
        config.getJSONObject("limits").put("sockets", 384);
        int port = discovery.port();
        discovery.close();
        start();
        List<Socket> resting = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            Socket s = connect();
            ScriptedServer.write(s.getOutputStream(), "GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
            resting.add(s);
        }
        discovery = closeAfterTest(new ScriptedServer(port, watchSending(list(9, false, entry("b", workerB.address(), 2, "DRAINING", 0)))));
        await(() -> discovery.requests.size() >= 1);
        for (Socket s : resting) {
            s.close();
        }
        nothingGoesToBAnyMore(1);
    }
}
