package saffronferry.lifecycle;

import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import org.junit.Test;

/** A process with the memory limits of a deployment answers usual clients while others send as much as they can. */
public class ClientMemoryTest extends HostileClientsFixture {
    /** Many complete requests sent at once, each with a long header. */
    private static String pipelined(int client, int requests, int headerLength) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < requests; i++) {
            all.append(head("bad" + client + "-" + i))
                    .append("Cookie: ")
                    .append("c".repeat(headerLength))
                    .append("\r\nContent-Length: 200\r\n\r\n")
                    .append("b".repeat(200));
        }
        return all.toString();
    }

    /** Guards against direct buffers that grow with the input behind an open request until none can be allocated. */
    @Test
    public void hundredsOfPipelinedRequestsDoNotUseUpTheDirectMemory() throws Exception {
        assertUsualClientsAreServedBeside(100, client -> pipelined(client, 800, 1024));
    }

    /** Guards against heads of pipelined requests that are queued without a limit. */
    @Test
    public void pipelinedRequestsWithLongHeadsDoNotUseUpTheHeap() throws Exception {
        assertUsualClientsAreServedBeside(300, client -> pipelined(client, 33, 15_000));
    }

    /** Guards against heads of many short headers, which take far more memory decoded than encoded. */
    @Test
    public void headsOfManyHeadersDoNotUseUpTheHeap() throws Exception {
        assertUsualClientsAreServedBeside(300, client -> head("bad" + client) + "a:b\r\n".repeat(3_000));
    }

    private void assertUsualClientsAreServedBeside(int badClients, IntFunction<String> input) throws Exception {
        Process process = startDispatcher();
        CountDownLatch started = new CountDownLatch(badClients);
        for (int i = 0; i < badClients; i++) {
            int number = i;
            Socket socket = connect();
            daemon(() -> {
                started.countDown();
                socket.getOutputStream().write(input.apply(number).getBytes(StandardCharsets.ISO_8859_1));
            });
            daemon(() -> socket.getInputStream().transferTo(java.io.OutputStream.nullOutputStream()));
        }
        assertTrue(started.await(10, TimeUnit.SECONDS));
        assertUsualClientsAreServed(process);
    }

    private interface SocketTask {
        void run() throws IOException;
    }

    private static void daemon(SocketTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // the dispatcher has closed the connection, or the test is over
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
