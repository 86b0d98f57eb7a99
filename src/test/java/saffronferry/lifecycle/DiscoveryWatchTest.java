package saffronferry.lifecycle;

import static org.junit.Assert.assertEquals;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** Discovery watches that fail silently, and conditions that could keep a dispatcher from reaching discovery. */
public class DiscoveryWatchTest extends SocketsFixture {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static String list(int revision, boolean complete, String... entries) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":[" + String.join(",", entries)
                + "]}";
    }

    /** The first watch runs the given script; later ones list worker b as draining, which leaves only worker a. */
    private void thenListBAsDraining(ScriptedServer.Script first) {
        discovery.script = (request, out) -> discovery.requests.size() == 1
                ? first.answer(request, out)
                : watchSending(list(9, false, entry("b", workerB.address(), 2, "DRAINING", 0)))
                        .answer(request, out);
    }

    private void awaitNoRequestsToB(int watches) throws Exception {
        await(() -> {
            int before = workerB.requests.size();
            try {
                for (int i = 0; i < 4; i++) {
                    get(sendRequest("directory-page", 3000));
                }
            } catch (Exception e) {
                return false;
            }
            return discovery.requests.size() >= watches && workerB.requests.size() == before;
        });
    }

    /**
     * Bytes that never complete a line must not count as activity: a change counts as announced 6 s later, even if the
     * watch does not deliver it.
     */
    @Test
    public void aWatchThatNeverCompletesALineIsReopened() throws Exception {
        thenListBAsDraining((request, out) -> {
            ScriptedServer.write(out, HEAD);
            ScriptedServer.chunk(out, list(1, false));
            while (true) {
                ScriptedServer.write(out, "1\r\n{\r\n");
                Thread.sleep(100);
            }
        });
        start();
        awaitNoRequestsToB(2);
    }

    @Test
    public void aWatchThatSendsNoListIsReopened() throws Exception {
        for (String start : new String[] {"", HEAD, HEAD + "1\r\n\n\r\n"}) {
            discovery = closeAfterTest(new ScriptedServer(ScriptedServer::neverAnswer));
            thenListBAsDraining((request, out) -> {
                ScriptedServer.write(out, start);
                for (int i = 0; i < 60; i++) {
                    Thread.sleep(1000);
                    if (start.length() > HEAD.length()) {
                        ScriptedServer.chunk(out, ""); // keep-alive without a list
                    }
                }
                return false;
            });
            config.put("discovery", discovery.address())
                    .put("listen", "127.0.0.1:" + freePort())
                    .put("console", "127.0.0.1:" + freePort());
            start();
            awaitNoRequestsToB(2);
        }
    }

    /**
     * The known list may be as old as the downtime of the machine, so no request is served before discovery has sent
     * its list.
     */
    @Test
    public void aProcessServesOnlyAfterTheListOfDiscovery() throws Exception {
        discovery.script = (request, out) -> {
            Thread.sleep(700);
            return watchSending(list(9, false, entry("b", workerB.address(), 2, "DRAINING", 0)))
                    .answer(request, out);
        };
        start();
        for (int i = 0; i < 8; i++) {
            assertEquals(200, get(sendRequest("directory-page", 3000)).statusCode());
        }
        assertEquals(0, workerB.requests.size());
    }

    /** With {@code registryMode} push, lists arrive on a watch, too, and count as announced from the first moment. */
    @Test
    public void withPushedListsTheWatchIsOpenedAtTheStart() throws Exception {
        config.getJSONObject("settings").put("registryMode", "push");
        discovery.script = (request, out) -> discovery.requests.size() == 1
                ? false
                : watchSending(list(9, false, entry("b", workerB.address(), 2, "DRAINING", 0)))
                        .answer(request, out);
        start();
        awaitNoRequestsToB(2);
    }

    /** Idle clients may use all descriptors reserved for clients; discovery must still be reachable. */
    @Test
    public void idleClientsThatUseAllTheirDescriptorsDoNotBlockDiscovery() throws Exception {
        config.getJSONObject("limits").put("sockets", 384);
        int port = discovery.port();
        discovery.close();
        start();
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            Socket s = connect();
            ScriptedServer.write(s.getOutputStream(), "GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
            idle.add(s);
        }
        discovery = closeAfterTest(new ScriptedServer(
                port, watchSending(list(9, false, entry("b", workerB.address(), 2, "DRAINING", 0)))));
        await(() -> discovery.requests.size() >= 1);
        for (Socket s : idle) {
            s.close();
        }
        awaitNoRequestsToB(1);
    }
}
