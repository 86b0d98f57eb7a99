package saffronferry.lifecycle;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.After;
import org.junit.Test;

/** Usual clients are served beside others that send without a pause, whatever these send. */
public class FullSpeedClientsTest extends HostileClientsFixture {
    /** What a hostile client sends: once, and then again and again until the dispatcher answers or closes. */
    private record Input(String first, String repeated) {}

    private interface InputOf {
        Input connection(String id);
    }

    private volatile boolean over;

    @After
    public void endClients() {
        over = true;
    }

    /** Guards against turns of the event loop that grow with the input of all connections (review/7). */
    @Test
    public void hundredsOfConnectionsWithChunksOfOneByteLeaveTimeForOthers() throws Exception {
        assertUsualClientsAreServedBeside(450, FullSpeedClientsTest::chunksOfOneByte);
    }

    /** Guards against clients that are turned away at once, and come again at once. */
    @Test
    public void hundredsOfConnectionsWithEndlessTrailersLeaveTimeForOthers() throws Exception {
        assertUsualClientsAreServedBeside(
                450, id -> new Input(head(id) + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "a:b\r\n".repeat(2_000)));
    }

    /** Guards against input that is dropped, and still read without a bound. */
    @Test
    public void connectionsWithEndlessSmallRequestsLeaveTimeForOthers() throws Exception {
        assertUsualClientsAreServedBeside(60, id -> new Input("", smallRequests(id, 100)));
    }

    /** Guards against heads that are read without a bound. */
    @Test
    public void connectionsWithEndlessHeadsLeaveTimeForOthers() throws Exception {
        assertUsualClientsAreServedBeside(60, id -> new Input(head(id) + "Cookie: ", "c".repeat(15_000)));
    }

    /** Guards against reads of one byte each. */
    @Test
    public void connectionsThatWriteSingleBytesLeaveTimeForOthers() throws Exception {
        assertUsualClientsAreServedBeside(60, id -> new Input(head(id) + "Content-Length: 60000\r\n\r\n", "y"));
    }

    private static Input chunksOfOneByte(String id) {
        return new Input(head(id) + "Transfer-Encoding: chunked\r\n\r\n", "1\r\ny\r\n".repeat(2_000));
    }

    private static String smallRequests(String id, int count) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            all.append(head(id + "-" + i)).append("Content-Length: 0\r\n\r\n");
        }
        return all.toString();
    }

    private void assertUsualClientsAreServedBeside(int hostileClients, InputOf inputs) throws Exception {
        Process process = startDispatcher();
        for (int i = 0; i < hostileClients; i++) {
            String client = "hostile" + i;
            daemon(() -> {
                for (int connection = 0; !over; connection++) {
                    sendUntilTurnedAway(inputs.connection(client + "-" + connection));
                }
            });
        }
        assertUsualClientsAreServed(process);
    }

    private void sendUntilTurnedAway(Input input) throws IOException {
        byte[] repeated = input.repeated.getBytes(StandardCharsets.ISO_8859_1);
        try (Socket socket = new Socket("127.0.0.1", port())) {
            socket.setTcpNoDelay(true);
            ScriptedServer.write(socket.getOutputStream(), input.first);
            while (!over && socket.getInputStream().available() == 0) {
                socket.getOutputStream().write(repeated);
            }
        } catch (java.net.SocketException e) {
            // closed by the dispatcher; a refused connection means that the dispatcher has ended, which the test finds
        }
    }
}
