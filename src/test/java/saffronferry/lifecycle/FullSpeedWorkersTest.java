package saffronferry.lifecycle;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** Usual clients are served beside workers whose responses go on without a pause, whatever these send. */
public class FullSpeedWorkersTest extends HostileClientsFixture {
    private static final int SPOILT_WORKERS = 8;

    /** Guards against turns of the event loop that grow with the responses of workers. */
    @Test
    public void endlessResponsesInChunksOfOneByteLeaveTimeForOthers() throws Exception {
        assertUsualClientsAreServedBeside("1\r\n\n\r\n".repeat(2_000));
    }

    /** Guards against lines of events that are parsed without a bound. */
    @Test
    public void endlessEventsLeaveTimeForOthers() throws Exception {
        String event = "{\"state\":\"running\",\"share\":0.4}\n";
        String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
        assertUsualClientsAreServedBeside(chunk.repeat(500));
    }

    private void assertUsualClientsAreServedBeside(String repeated) throws Exception {
        List<String> workers = new ArrayList<>();
        workers.add(entry("b", workerB.address(), 0, "SERVING", 0));
        for (int i = 0; i < SPOILT_WORKERS; i++) {
            ScriptedServer worker =
                    closeAfterTest(new ScriptedServer((request, out) -> respondWithoutEnd(out, repeated)));
            workers.add(entry("spoilt" + i, worker.address(), i + 1, "SERVING", 0));
        }
        setKnownWorkers(workers.toArray(String[]::new));
        assertUsualClientsAreServed(startDispatcher());
    }

    private static boolean respondWithoutEnd(OutputStream out, String repeated) throws IOException {
        ScriptedServer.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        while (true) {
            ScriptedServer.write(out, repeated);
        }
    }
}
