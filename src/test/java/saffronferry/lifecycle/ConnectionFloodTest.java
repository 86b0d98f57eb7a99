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

/** Crowds, exhaustion and threads that die: a dispatcher goes on serving, or ends so that all can see it. */
public class ConnectionFloodTest extends SocketsFixture {
    private static final int KEPT_FREE = 16;

    private Process serve(int descriptors) throws Exception {
        config.getJSONObject("limits").put("sockets", descriptors);
        return launch(configFile(), descriptors, "saffronferry.cli.Main", "serve");
    }

    private void crowdsAgainst(int descriptors) throws Exception {
        Process process = serve(descriptors);
        awaitUp();
        try (ConnectionFlood.DescriptorPeak held = new ConnectionFlood.DescriptorPeak(process.pid())) {
            for (int size : new int[] {400, 800, 3000}) {
                ConnectionFlood crowd = new ConnectionFlood(port(), size);
                Thread.sleep(500);
                crowd.close();
                long up = ConnectionFlood.msUntilUp(port());
                assertTrue(size + " against " + descriptors + ": up after " + up, up <= 1000);
            }
            assertTrue(held.most() + " of " + descriptors, held.most() <= descriptors - KEPT_FREE);
            assertTrue("the crowd was felt", held.most() > descriptors / 2);
        }
        assertTrue(process.isAlive());
    }

    @Test
    public void crowdsComeAndGoAgainst384() throws Exception {
        crowdsAgainst(384);
    }

    @Test
    public void crowdsComeAndGoAgainst256() throws Exception {
        crowdsAgainst(256);
    }

    /** Usual clients with connections of their own are served on while a crowd presses. */
    @Test
    @SuppressWarnings("try") // the resource only has to stay open meanwhile
    public void usualClientsAreServedDuringACrowd() throws Exception {
        serve(256);
        awaitUp();
        List<SocketChannel> usual = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            usual.add(closeAfterTest(SocketChannel.open(new java.net.InetSocketAddress("127.0.0.1", port()))));
        }
        int served = 0;
        for (int round = 0; round < 4; round++) {
            try (ConnectionFlood crowd = round == 0 ? null : new ConnectionFlood(port(), round == 3 ? 3000 : 800)) {
                List<CompletableFuture<Integer>> answers = new ArrayList<>();
                for (int i = 0; i < usual.size(); i++) {
                    SocketChannel s = usual.get(i);
                    String request = "POST /directory-page HTTP/1.1\r\nHost: h\r\nX-Txn: r" + round + "-" + i
                            + "\r\nX-Remaining-Ms: 5000\r\nContent-Length: 0\r\n\r\n";
                    answers.add(CompletableFuture.supplyAsync(() -> unchecked(() -> ConnectionFlood.status(s, request))));
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

    /** A crowd that is there before the dispatcher keeps it neither from starting nor from serving. */
    @Test
    public void aCrowdWaitsAtARestart() throws Exception {
        serve(384).destroyForcibly().waitFor();
        Process process = serve(384);
        List<ConnectionFlood> crowds = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            crowds.add(closeAfterTest(new ConnectionFlood(port(), 200)));
            Thread.sleep(100);
        }
        long up = ConnectionFlood.msUntilUp(port());
        assertTrue("up after " + up, up <= 5000);
        for (ConnectionFlood crowd : crowds) {
            crowd.close();
        }
        assertTrue(ConnectionFlood.msUntilUp(port()) <= 1000);
        assertTrue(process.isAlive());
    }

    @Test
    public void connectionsThatOpenAndCloseAllTheTimeDoNoHarm() throws Exception {
        Process process = serve(256);
        awaitUp();
        try (ConnectionFlood.DescriptorPeak held = new ConnectionFlood.DescriptorPeak(process.pid())) {
            ConnectionFlood.openAndClose(port(), 2000, 10);
            assertTrue(ConnectionFlood.msUntilUp(port()) <= 1000);
            assertTrue("" + held.most(), held.most() <= 256 - KEPT_FREE);
        }
        assertEquals(200, get(sendGift(3000)).statusCode());
    }

    /** Workers that hang hold what is left for workers; every RPC still has its answer in time. */
    @Test
    public void attemptsThatHangTakeNoMoreThanTheirPart() throws Exception {
        workerA.script = ScriptedServer::neverAnswer;
        workerB.script = ScriptedServer::neverAnswer;
        Process process = serve(256);
        awaitUp();
        try (ConnectionFlood.DescriptorPeak held = new ConnectionFlood.DescriptorPeak(process.pid())) {
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            long begun = System.nanoTime();
            for (int i = 0; i < 200; i++) {
                answers.add(sendRequest("directory-page", 2500).exceptionally(e -> null));
            }
            int told = 0;
            for (CompletableFuture<HttpResponse<String>> answer : answers) {
                HttpResponse<String> r = get(answer);
                told += r != null && r.statusCode() >= 500 ? 1 : 0;
            }
            long took = (System.nanoTime() - begun) / 1_000_000;
            assertEquals(200, told);
            assertTrue("in " + took + " ms", took < 7500);
            assertTrue("" + held.most(), held.most() <= 256 - KEPT_FREE);
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

    /** A dispatcher whose system call {@code accept} fails as told while {@code failing} says so. */
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

    /** For 5 s: nothing ends, nothing spins, and the first one after that is served. */
    @Test
    public void aFailingAcceptIsTriedAgainWithPausesUntilItRecovers() throws Exception {
        long[] until = {0};
        AtomicInteger calls = startWithFailingAccept(
                () -> System.nanoTime() < until[0] ? new SocketException("Too many open files") : null);
        until[0] = System.nanoTime() + 5_000_000_000L;
        CompletableFuture<HttpResponse<String>> answer = sendGift(9000);
        assertEquals(200, get(answer).statusCode());
        assertTrue(System.nanoTime() > until[0]);
        assertTrue(calls + " calls", calls.get() >= 5 && calls.get() < 40);
    }

    /** The library would close the listening socket on an Error, for good and without a word. */
    @Test
    public void anErrorWhileAcceptingEndsNothing() throws Exception {
        AtomicInteger left = new AtomicInteger();
        AtomicInteger calls = startWithFailingAccept(() -> left.getAndDecrement() > 0
                ? new NoClassDefFoundError("Could not initialize class sun.util.calendar.ZoneInfoFile")
                : null);
        left.set(3);
        assertEquals(200, get(sendGift(9000)).statusCode());
        assertEquals(3, calls.get());
    }

    /** A process that is stopped for a while is no process that hangs. */
    @Test
    public void aPauseOfTheWholeProcessIsSurvived() throws Exception {
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

    /** A loop that hangs ends the process with the code that the operators' page names. */
    @Test
    public void aLoopThatHangsEndsTheProcessLoudly() throws Exception {
        Process process = launch(configFile(), 384, HungEventLoopMain.class.getName());
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
        assertEquals(Watchdog.EXIT_UNABLE, process.exitValue());
    }
}
