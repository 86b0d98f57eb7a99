package saffronferry.lifecycle;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A process with the limits of a deployment, with usual clients beside others that send as much as they can. */
abstract class HostileClientsFixture extends SocketsFixture {
    private static final int REMAINING_MS = 6_000;
    /** An answer up to half a second late, and 50 ms later on sockets, is not lost. */
    private static final int SLACK_MS = 550;

    private static final int USUAL_REQUESTS = 60;
    private static final int USUAL_INTERVAL_MS = 50;
    /** A head without its last, empty line. */
    static String head(String id) {
        return "POST /directory-page?obj=7f HTTP/1.1\r\nHost: h\r\nX-Lane: directory-page\r\n"
                + "X-Remaining-Ms: 6000\r\nX-Txn: "
                + id + "\r\n";
    }

    Process startDispatcher() throws Exception {
        Process process = launch(configFile(), 1024, "saffronferry.cli.Main", "serve");
        awaitUp();
        return process;
    }

    /** Sends usual requests while the hostile clients are at work, each of which must have an answer in time. */
    void assertUsualClientsAreServed(Process process) throws Exception {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < USUAL_REQUESTS; i++) {
            answers.add(sendRequest("directory-page", REMAINING_MS)
                    .orTimeout(REMAINING_MS + SLACK_MS, TimeUnit.MILLISECONDS));
            Thread.sleep(USUAL_INTERVAL_MS);
        }
        int inTime = 0;
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            inTime += answer.handle((response, failure) -> failure == null ? 1 : 0)
                    .get(10, TimeUnit.SECONDS);
        }
        assertTrue("the process has not ended", process.isAlive());
        assertEquals(USUAL_REQUESTS, inTime);
    }
}
