package saffronferry.lifecycle;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.Test;

/** Workers whose lines belong to other requests, or lack a result: no client gets what no worker made for it. */
public class SpoiltResponsesTest extends SocketsFixture {
    private static final String OTHER = "another-request";

    /** Writes the lines of a response after its start. */
    private interface Lines {
        void write(String id, OutputStream out) throws IOException;
    }

    private static ScriptedServer.Script responding(Lines lines) {
        return (request, out) -> {
            ScriptedServer.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            lines.write(ScriptedServer.id(request), out);
            ScriptedServer.write(out, "0\r\n\r\n");
            return true;
        };
    }

    private static void line(OutputStream out, String id, String state, String result) throws IOException {
        ScriptedServer.chunk(out, ScriptedServer.line(id, state, result));
    }

    private static Lines served() {
        return (id, out) -> line(out, id, "done", "result of " + id);
    }

    /** Guards against answers with another request's result, or with none (review/3). */
    @Test
    public void onlyResultsMadeForARequestAreItsAnswer() throws Exception {
        List<Lines> spoilt = List.of(
                (id, out) -> line(out, OTHER, "done", "result of " + OTHER),
                (id, out) -> line(out, id, "done", null),
                (id, out) -> ScriptedServer.chunk(out, "{\"state\":\"done\",\"result\":\"of nobody\"}"));
        workerB.script = responding(served());
        logFile = Files.createTempFile(folder, "log", ".txt");
        startProcess(configFile());
        int sent = 0;
        for (Lines lines : spoilt) {
            workerA.script = responding(lines);
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                answers.add(sendRequest("directory-page", 3000));
            }
            for (CompletableFuture<HttpResponse<String>> answer : answers) {
                sent++;
                if (get(answer).statusCode() == 200) {
                    assertEquals("result of t" + sent, get(answer).body());
                }
            }
        }
        assertTrue("spoilt responses were sent", !workerA.requests.isEmpty());
        List<String> logged = Files.readAllLines(logFile).stream()
                .filter(l -> l.contains("invalid subchannel response"))
                .toList();
        assertEquals("logged once a worker: " + logged, 1, logged.size());
        assertTrue(logged.get(0), logged.get(0).contains(workerA.address()));
    }

    /** Guards against a line of another request that counts as proof that this one never ran. */
    @Test
    public void aReturnedLineOfAnotherRequestDoesNotSendAGiftToAnotherPod() throws Exception {
        workerA.script = responding((id, out) -> line(out, OTHER, "returned", null));
        workerB.script = workerA.script;
        start();
        for (int i = 0; i < 2; i++) {
            workerA.requests.clear();
            workerB.requests.clear();
            int status = get(sendRequest("record-gift", 1500, KEY, "k" + i)).statusCode();
            assertTrue("" + status, status != 200);
            assertTrue("sent to one pod alone", workerA.requests.isEmpty() || workerB.requests.isEmpty());
        }
    }

    @Test
    public void theFirstSoundLastLineCounts() throws Exception {
        List<Lines> sound = List.of(
                (id, out) -> {
                    line(out, id, "done", "result of " + id);
                    line(out, OTHER, "done", "result of " + OTHER);
                },
                (id, out) -> {
                    line(out, id, "done", "result of " + id);
                    line(out, id, "done", "a second result");
                },
                (id, out) -> {
                    line(out, id, "done", "result of " + id);
                    line(out, id, "failed", null);
                });
        start();
        for (Lines lines : sound) {
            workerA.script = responding(lines);
            workerB.script = workerA.script;
            HttpResponse<String> answer = get(sendRequest("directory-page", 3000));
            assertEquals(200, answer.statusCode());
            assertEquals("result of t" + requestCount, answer.body());
        }
    }

    @Test
    public void aLongResultWhoseLineComesInTwoReadsIsServed() throws Exception {
        String result = "r".repeat(60 * 1024);
        workerA.script = (request, out) -> {
            String body = ScriptedServer.line(ScriptedServer.id(request), "done", result) + "\n";
            ScriptedServer.write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n");
            ScriptedServer.write(out, body.substring(0, 30_000));
            Thread.sleep(50);
            ScriptedServer.write(out, body.substring(30_000));
            return true;
        };
        workerB.script = workerA.script;
        start();
        HttpResponse<String> answer = get(sendRequest("directory-page", 3000));
        assertEquals(200, answer.statusCode());
        assertEquals(result, answer.body());
    }

    @Test
    public void anEmptyResultIsServed() throws Exception {
        workerA.script = responding((id, out) -> line(out, id, "done", ""));
        workerB.script = workerA.script;
        start();
        HttpResponse<String> answer = get(sendRequest("directory-page", 3000));
        assertEquals("200 []", answer.statusCode() + " [" + answer.body() + "]");
    }
}
