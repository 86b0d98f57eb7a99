package saffronferry.lifecycle;

import java.util.List;
import org.junit.Test;
import saffronferry.lifecycle.HostileClients.Input;
import saffronferry.lifecycle.HostileClients.InputOf;

/** Usual clients are served beside others that send without a pause, whatever these send. */
public class FullSpeedClientsTest extends HostileClientsFixture {
    /** Guards against turns of the event loop that grow with the input of all connections (review/7). */
    @Test
    public void hundredsOfConnectionsWithChunksOfOneByteLeaveTimeForOthers() throws Exception {
        assertUsualClientsAreServedBeside(
                450, name -> new Input(head(name) + "Transfer-Encoding: chunked\r\n\r\n", "1\r\ny\r\n".repeat(2_000)));
    }

    /** Guards against clients that are turned away at once, and come again at once. */
    @Test
    public void hundredsOfConnectionsWithEndlessTrailersLeaveTimeForOthers() throws Exception {
        assertUsualClientsAreServedBeside(
                450,
                name -> new Input(head(name) + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "a:b\r\n".repeat(2_000)));
    }

    /** Guards against reads of one byte each, heads read without a bound, and input that is dropped and still read. */
    @Test
    public void singleBytesEndlessHeadsAndEndlessSmallRequestsLeaveTimeForOthers() throws Exception {
        List<InputOf> forms = List.of(
                name -> new Input(head(name) + "Content-Length: 60000\r\n\r\n", "y"),
                name -> new Input(head(name) + "Cookie: ", "c".repeat(15_000)),
                name -> new Input("", smallRequests(name, 100)));
        assertUsualClientsAreServedBeside(
                180,
                name -> forms.get(Math.floorMod(name.hashCode(), forms.size())).connection(name));
    }

    private static String smallRequests(String name, int count) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            all.append(head(name + "-" + i)).append("Content-Length: 0\r\n\r\n");
        }
        return all.toString();
    }

    private void assertUsualClientsAreServedBeside(int hostileClients, InputOf inputs) throws Exception {
        Process process = startDispatcher();
        closeAfterTest(new HostileClients(port(), hostileClients, inputs));
        assertUsualClientsAreServed(process);
    }
}
