package saffronferry.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Replies to events of the simulator, the messages for malformed input, and number formats. */
class SimulatorProtocolTest {
    private static final String SETTINGS = "{\"kinds\":[\"k\"],\"zones\":[\"z\"],\"zone\":\"z\",\"peersTotal\":1,"
            + "\"unknown\":{\"x\":[1]},\"profiles\":[{\"name\":\"c\",\"deadline\":5.0,\"target\":0.3,"
            + "\"idempotency\":\"by_key\",\"group\":\"all\",\"keyTtl\":7.5}],\"limits\":{\"mostTries\":3},"
            + "\"report\":{\"how\":\"on_probe\",\"fields\":[\"depth\",\"x0\"]},"
            + "\"familyInfo\":{\"reportX0\":\"free slots\"},"
            + "\"rules\":{\"fall\":1.0,\"fallMultiple\":3.0,\"cold\":10.0,\"coldShare\":0.2}}";
    private static final String SPAWN_WITH_WORKER = "turn 8.5 1\nat 3\nspawn 77 " + SETTINGS
            + "\ninventory 0 1\nrow k in_service 10.0.0.1:9 1 z - 0\nmembers 0 41 warm_copy\n";

    private static String run(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorProtocol(new LineReader(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8))), out)
                .run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void repliesToEachBatch() throws IOException {
        assertEquals("finished 1\n", run("turn 8.41225 1\ngo\n"));
        String reply = run(SPAWN_WITH_WORKER + "call 15 c - 4569004829183723 8.75225 - 1 - 0\ngo\n");
        assertTrue(reply.contains("by 3\n") && reply.contains("send 15 10.0.0.1:9 -\n"), reply);
        assertTrue(reply.endsWith("finished 1\n"), reply);
    }

    @Test
    void anInstanceCanBeSpawnedAgainInTheBatchThatKillsIt() throws IOException {
        String again = "at 3\ncrash_now\nspawn 78 " + SETTINGS + "\nmembers 0 42 warm_copy\n";
        assertTrue(run(SPAWN_WITH_WORKER + "go\nturn 9 2\n" + again + "go\n").endsWith("finished 2\n"));
    }

    @Test
    void eventsOfUnknownRequestsAreIgnored() throws IOException {
        String reply = run(SPAWN_WITH_WORKER + "dropped 5\nresult 6 10.0.0.1:9 dropped 0 - 0.01 1 -\ngo\n");
        assertTrue(reply.endsWith("finished 1\n"), reply);
    }

    private static void assertMalformed(String input, String message) {
        Exception e = assertThrows(ProtocolException.class, () -> run(input));
        assertTrue(e.getMessage().contains(message), e.getMessage());
    }

    @Test
    void malformedInputIsReportedWithLineAndField() {
        assertMalformed("turn 1 1\nhello\n", "line 2: unknown message");
        assertMalformed("turn x 1\n", "line 1: field clock is not a number: x");
        assertMalformed("turn 1\n", "line 1: field batch is missing");
        assertMalformed("turn 1 1\nat 4\ntimer 1\n", "line 3: event for an instance that was never spawned: 4");
        assertMalformed("turn 1 1\nat 4\nspawn 1 {\"a\":\n", "line 3: field settings");
        assertMalformed(SPAWN_WITH_WORKER + "timer 1.5\n", "field nonce is not a number");
        assertMalformed(SPAWN_WITH_WORKER + "call 1 nope - - 9 - 1 - 0\n", "field kind is not a class");
    }

    @Test
    void timesAreWrittenWithMicrosecondPrecision() {
        LineWriter writer = new LineWriter();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writer.time(8_412_250).space().time(5_000_000).space().time(7).endLine();
        try {
            writer.flush(out);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        assertEquals("8.41225 5 0.000007\n", out.toString(StandardCharsets.US_ASCII));
    }
}
