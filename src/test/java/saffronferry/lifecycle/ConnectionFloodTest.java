package saffronferry.lifecycle;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.SocketException;
import java.net.http.HttpResponse;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.junit.Test;
import saffronferry.limit.AcceptGate;
import saffronferry.log.BoundedLog;
import saffronferry.wire.BoundedTransport;

/**
 * Connection floods, exhausted descriptors and failing threads: a dispatcher continues to serve, or its process ends
 * with an exit code that the platform sees.
 */
public class ConnectionFloodTest extends SocketsFixture {
    private static final int RESERVED_DESCRIPTORS = 16;

    private Process serve(int descriptors) throws Exception {
        config.getJSONObject("limits").put("sockets", descriptors);
        return launch(configFile(), descriptors, "saffronferry.cli.Main", "serve");
    }

    private void floodsAgainst(int descriptors) throws Exception {
        Process process = serve(descriptors);
        awaitUp();
        try (ConnectionFlood.DescriptorPeak peak = new ConnectionFlood.DescriptorPeak(process.pid())) {
            for (int size : new int[] {400, 800, 3000}) {
                ConnectionFlood flood = new ConnectionFlood(port(), size);
                Thread.sleep(500);
                flood.close();
                long up = ConnectionFlood.msUntilUp(port());
                assertTrue(size + " against " + descriptors + ": up after " + up, up <= 1000);
            }
            assertTrue(peak.max() + " of " + descriptors, peak.max() <= descriptors - RESERVED_DESCRIPTORS);
            assertTrue("the flood used many descriptors", peak.max() > descriptors / 2);
        }
        assertTrue(process.isAlive());
    }

    @Test
    public void floodsAreSurvivedWith384Descriptors() throws Exception {
        floodsAgainst(384);
    }

    @Test
    public void floodsAreSurvivedWith256Descriptors() throws Exception {
        floodsAgainst(256);
    }

    /** Clients with established connections are served during a flood. */
    @Test
    @SuppressWarnings("try") // the resource only has to stay open meanwhile
    public void establishedClientsAreServedDuringAFlood() throws Exception {
        serve(256);
        awaitUp();
        List<SocketChannel> clients = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            clients.add(closeAfterTest(SocketChannel.open(new java.net.InetSocketAddress("127.0.0.1", port()))));
        }
        int served = 0;
        for (int round = 0; round < 4; round++) {
            try (ConnectionFlood flood = round == 0 ? null : new ConnectionFlood(port(), round == 3 ? 3000 : 800)) {
                List<CompletableFuture<Integer>> answers = new ArrayList<>();
                for (int i = 0; i < clients.size(); i++) {
                    SocketChannel s = clients.get(i);
                    String request = "POST /directory-page HTTP/1.1\r\nHost: h\r\nX-Txn: r" + round + "-" + i
                            + "\r\nX-Remaining-Ms: 5000\r\nContent-Length: 0\r\n\r\n";
                    answers.add(
                            CompletableFuture.supplyAsync(() -> unchecked(() -> ConnectionFlood.status(s, request))));
                }
                for (CompletableFuture<Integer> answer : answers) {
                    served += answer.get(10, TimeUnit.SECONDS) == 200 ? 1 : 0;
                }
            }
        }
        assertTrue(served + " of 400", served >= 396);
    }

    private interface Work<T> {
        T run() throws IOException;
    }

    private static <T> T unchecked(Work<T> work) {
        try {
            return work.run();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Connections that arrive while the dispatcher restarts prevent neither its start nor its serving. */
    @Test
    public void aFloodDuringARestartIsSurvived() throws Exception {
        serve(384).destroyForcibly().waitFor();
        Process process = serve(384);
        List<ConnectionFlood> floods = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            floods.add(closeAfterTest(new ConnectionFlood(port(), 200)));
            Thread.sleep(100);
        }
        long up = ConnectionFlood.msUntilUp(port());
        assertTrue("up after " + up, up <= 5000);
        for (ConnectionFlood flood : floods) {
            flood.close();
        }
        assertTrue(ConnectionFlood.msUntilUp(port()) <= 1000);
        assertTrue(process.isAlive());
    }

    @Test
    public void rapidlyOpenedAndClosedConnectionsDoNoHarm() throws Exception {
        Process process = serve(256);
        awaitUp();
        try (ConnectionFlood.DescriptorPeak peak = new ConnectionFlood.DescriptorPeak(process.pid())) {
            ConnectionFlood.openAndClose(port(), 2000, 10);
            assertTrue(ConnectionFlood.msUntilUp(port()) <= 1000);
            assertTrue("" + peak.max(), peak.max() <= 256 - RESERVED_DESCRIPTORS);
        }
        assertEquals(200, get(sendGift(3000)).statusCode());
    }

    /** Hanging workers may use only the descriptors reserved for workers; every RPC is still answered in time. */
    @Test
    public void hangingAttemptsStayWithinTheDescriptorsForWorkers() throws Exception {
        workerA.script = ScriptedServer::neverAnswer;
        workerB.script = ScriptedServer::neverAnswer;
        Process process = serve(256);
        awaitUp();
        try (ConnectionFlood.DescriptorPeak peak = new ConnectionFlood.DescriptorPeak(process.pid())) {
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            long begun = System.nanoTime();
            for (int i = 0; i < 200; i++) {
                answers.add(sendRequest("directory-page", 2500).exceptionally(e -> null));
            }
            int failed = 0;
            for (CompletableFuture<HttpResponse<String>> answer : answers) {
                HttpResponse<String> r = get(answer);
                failed += r != null && r.statusCode() >= 500 ? 1 : 0;
            }
            long took = (System.nanoTime() - begun) / 1_000_000;
            assertEquals(200, failed);
            assertTrue("in " + took + " ms", took < 7500);
            assertTrue("" + peak.max(), peak.max() <= 256 - RESERVED_DESCRIPTORS);
        }
        workerA.script = ScriptedServer::serve;
        workerB.script = ScriptedServer::serve;
        await(() -> unchecked(() -> {
            try {
                return get(sendGift(3000)).statusCode() == 200;
            } catch (Exception e) {
                throw new IOException(e);
            }
        }));
    }

    /** Starts a dispatcher whose system call {@code accept} throws what {@code failing} returns, if not null. */
    private AtomicInteger startWithFailingAccept(Supplier<Throwable> failing) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        class Failing extends BoundedTransport {
            Failing(AcceptGate gate, BoundedLog log) {
                super(gate, log);
            }

            @Override
            protected SocketChannel accept(ServerSocketChannel from) throws IOException {
                Throwable t = failing.get();
                if (t != null) {
                    calls.incrementAndGet();
                    if (t instanceof Error e) {
                        throw e;
                    }
                    throw (IOException) t;
                }
                return super.accept(from);
            }
        }
        start(new DispatcherServer(new Config(config, folder), new BoundedLog(), Failing::new));
        return calls;
    }

    /** Accept fails for 5 s: the dispatcher neither ends nor spins, and then serves the waiting request. */
    @Test
    public void aFailingAcceptIsRetriedWithDelaysUntilItRecovers() throws Exception {
        long[] until = {0};
        AtomicInteger calls = startWithFailingAccept(
                () -> System.nanoTime() < until[0] ? new SocketException("Too many open files") : null);
        until[0] = System.nanoTime() + 5_000_000_000L;
        CompletableFuture<HttpResponse<String>> answer = sendGift(9000);
        assertEquals(200, get(answer).statusCode());
        assertTrue(System.nanoTime() > until[0]);
        assertTrue(calls + " calls", calls.get() >= 5 && calls.get() < 40);
    }

    /** On an {@code Error} in accept, Netty would silently close the listening socket for good. */
    @Test
    public void anErrorInAcceptDoesNotCloseTheListeningSocket() throws Exception {
        AtomicInteger left = new AtomicInteger();
        AtomicInteger calls = startWithFailingAccept(() -> left.getAndDecrement() > 0
                ? new NoClassDefFoundError("Could not initialize class sun.util.calendar.ZoneInfoFile")
                : null);
        left.set(3);
        assertEquals(200, get(sendGift(9000)).statusCode());
        assertEquals(3, calls.get());
    }

    /** The watchdog must not take a process that was stopped for a while for one that hangs. */
    @Test
    public void aPausedProcessIsNotEndedByTheWatchdog() throws Exception {
        Process process = serve(384);
        awaitUp();
        signal(process, "STOP");
        Thread.sleep(3000);
        signal(process, "CONT");
        assertTrue(ConnectionFlood.msUntilUp(port()) <= 1000);
        assertEquals(200, get(sendGift(3000)).statusCode());
        assertTrue(process.isAlive());
    }

    private static void signal(Process process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** A hanging event loop ends the process with the documented exit code. */
    @Test
    public void aHangingEventLoopEndsTheProcess() throws Exception {
        Process process = launch(configFile(), 384, HungEventLoopMain.class.getName());
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(Watchdog.EXIT_UNABLE, process.exitValue());
    }
}
