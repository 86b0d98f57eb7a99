package saffronferry.lifecycle;

import static org.junit.Assert.assertTrue;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** Requests of clients whose connections wait in the backlog while all descriptors for clients are in use. */
public class BacklogTest extends SocketsFixture {
    /** More than can be accepted with the descriptors below while each has an attempt at a worker. */
    private static final int HOLDERS = 128;

    private static final int DESCRIPTORS = 256;
    /** Two processes with the class path of a test hold about a hundred by themselves. */
    private static final int DESCRIPTORS_OF_TWO = 512;

    private static final int WORKERS = 32;
    private static final int SLOTS = 6;
    private static final int WAIT_MS = 1_500;
    private static final int REMAINING_MS = 2_500;
    /** What an attempt may tell beyond what is left to the client, and 50 ms on sockets. */
    private static final int TOLD_SLACK_MS = 200;

    private static final int ANSWER_SLACK_MS = 550;

    private Socket sendPage(String id, int remainingMs) throws Exception {
        Socket socket = connect();
        ScriptedServer.write(
                socket.getOutputStream(),
                "POST /directory-page?obj=7f HTTP/1.1\r\nHost: h\r\nX-Lane: directory-page\r\nX-Txn: " + id
                        + "\r\nX-Remaining-Ms: " + remainingMs + "\r\nContent-Length: 0\r\n\r\n");
        return socket;
    }

    private static String statusLine(Socket socket) throws Exception {
        InputStream in = socket.getInputStream();
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b >= 0 && b != '\r'; b = in.read()) {
            line.append((char) b);
        }
        return line.toString();
    }

    private static int toldMs(String request) {
        return request.lines()
                .filter(line -> line.toLowerCase().startsWith("x-remaining-ms:"))
                .mapToInt(line ->
                        Integer.parseInt(line.substring(line.indexOf(':') + 1).trim()))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Guards against requests that are treated as just sent when their connection is accepted: their attempts were told
     * more time than was left, and their answers came after the client's time.
     */
    @Test
    public void theTimeInTheBacklogCountsAsTimeOfTheClient() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        List<ScriptedServer> workers = startWorkers(release);
        launchDispatcher(DESCRIPTORS);
        awaitUp();
        List<Socket> holders = new ArrayList<>();
        for (int i = 0; i < HOLDERS; i++) {
            holders.add(sendPage("holder-" + i, 6_000));
        }
        await(() -> metricOrZero("app_accept_wait_seconds") > 0);
        long sentAt = System.nanoTime();
        List<Socket> waiting = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            waiting.add(sendPage("waiting-" + i, REMAINING_MS));
        }
        Thread.sleep(WAIT_MS);
        assertTrue("they wait in the backlog", metricOrZero("app_client_connections") < HOLDERS);
        release.countDown();
        for (Socket socket : waiting) {
            assertTrue(statusLine(socket).startsWith("HTTP/1.1 "));
        }
        long answeredAfterMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
        assertTrue(answeredAfterMs + " ms", answeredAfterMs <= REMAINING_MS + ANSWER_SLACK_MS);
        List<Integer> told = workers.stream()
                .flatMap(worker -> worker.requests.stream())
                .filter(attempt -> attempt.contains("waiting-"))
                .map(BacklogTest::toldMs)
                .toList();
        int leftMs = REMAINING_MS - WAIT_MS + TOLD_SLACK_MS;
        assertTrue("told " + told, told.stream().allMatch(ms -> ms <= leftMs));
    }

    /**
     * Guards against a successor that has half of the descriptors until its predecessor ends, though that has nothing
     * to do any more: clients may hold a third of all.
     */
    @Test
    public void aSuccessorHasRoomForAThirdOfTheDescriptorsAsClients() throws Exception {
        startWorkers(new CountDownLatch(1));
        launchDispatcher(DESCRIPTORS_OF_TWO);
        awaitUp();
        config.put("console", "127.0.0.1:" + freePort());
        launchDispatcher(DESCRIPTORS_OF_TWO);
        await(() -> isReady());
        int third = DESCRIPTORS_OF_TWO / 3;
        await(() -> metricOrZero("app_client_connections_max") >= third);
        for (int i = 0; i < third; i++) {
            sendPage("page-" + i, 6_000);
        }
        await(() -> metricOrZero("app_client_connections") == third);
    }

    private boolean isReady() {
        try {
            return call("GET", "/ops/readiness").startsWith("200");
        } catch (Exception e) {
            return false;
        }
    }

    private void launchDispatcher(int descriptors) throws Exception {
        config.getJSONObject("limits").put("sockets", descriptors);
        // the class path of a test opens files of its own
        launch(configFile(), 2 * descriptors, "saffronferry.cli.Main", "serve");
    }

    /** Workers that answer holders once they are released, and other requests never. */
    private List<ScriptedServer> startWorkers(CountDownLatch release) throws Exception {
        List<ScriptedServer> workers = new ArrayList<>();
        String[] entries = new String[WORKERS];
        for (int i = 0; i < WORKERS; i++) {
            ScriptedServer worker =
                    closeAfterTest(new ScriptedServer((request, out) -> answerOnceReleased(request, out, release)));
            worker.load = "x0=" + SLOTS + ",x1=" + SLOTS;
            workers.add(worker);
            entries[i] = entry("w" + i, worker.address(), 1, "SERVING", 0);
        }
        setKnownWorkers(entries);
        return workers;
    }

    private double metricOrZero(String name) {
        try {
            String line = call("GET", "/ops/stats")
                    .lines()
                    .filter(l -> l.startsWith(name + " "))
                    .findFirst()
                    .orElse(name + " 0");
            return Double.parseDouble(line.substring(name.length() + 1));
        } catch (Exception e) {
            return 0;
        }
    }

    private static boolean answerOnceReleased(String request, OutputStream out, CountDownLatch release)
            throws java.io.IOException, InterruptedException {
        if (request.contains("holder-")) {
            release.await(10, TimeUnit.SECONDS);
            return ScriptedServer.serve(request, out);
        }
        // never answers, so that the dispatcher has to answer in time by itself
        return true;
    }
}
