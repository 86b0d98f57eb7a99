import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Bad clients send hundreds of requests at once, while usual clients send pages and gifts. */
final class RequestsAtOnce implements Case.Play {
    private static final int BAD_CLIENTS = 100;
    private static final int REQUESTS_OF_ONE = 800;
    /** A header as long as the cookies of a browser. */
    private static final String COOKIE = "Cookie: " + "c".repeat(1024) + "\r\n";

    private static final String BODY = "b".repeat(200);

    private static final int USUAL_REQUESTS = 200;
    private static final int USUAL_EVERY_MS = 80;
    private static final int REMAINING_MS = 6_000;
    /** What the pages allow beyond the client's time: half a second, and 50 ms for each limit on sockets. */
    private static final int SLACK_MS = 550;
    /** For the test's own threads. */
    private static final int TOLERANCE_MS = 450;

    private int answered;
    private int closed;
    private int lost;

    @Override
    public boolean play(Case of) throws Exception {
        Record record = of.record;
        Discovery discovery = new Discovery(record);
        for (int i = 0; i < 8; i++) {
            Worker worker = new Worker("s-" + i, record, RequestsAtOnce::job);
            discovery.put(
                    worker.id,
                    Discovery.entry(
                            worker.id, worker.port, "dub-north", i % 2 == 0 ? "big-box" : "small-box", 1, "SERVING", 0));
        }
        Setup setup = new Setup();
        setup.listen = Dispatcher.freePort();
        setup.console = Dispatcher.freePort();
        setup.discovery = discovery.port;
        setup.known = discovery.whole();
        Path config = of.temporary.resolve("config.json");
        setup.write(config);
        Dispatcher dispatcher = new Dispatcher("n0", of.root, config, of.temporary.resolve("tmp"), record);
        dispatcher.awaitUp(setup.listen);
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_REQUESTS; i++) {
            int number = i;
            if (of.trouble && i == 25) {
                for (int b = 0; b < BAD_CLIENTS; b++) {
                    int bad = b;
                    start(() -> bad(bad, setup.listen, record));
                }
            }
            usual.add(start(() -> usual(number, setup.listen, record)));
            Thread.sleep(USUAL_EVERY_MS);
        }
        for (Thread thread : usual) {
            thread.join();
        }
        boolean crashed = !dispatcher.process.isAlive();
        record.say("usual requests: " + USUAL_REQUESTS + ", answered in time " + answered + ", not answered in time "
                + lost + ", connection refused or closed without an answer " + closed
                + (crashed ? "; the dispatcher ended by itself with " + dispatcher.process.exitValue() : ""));
        return lost > 0 || crashed;
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A sound worker: what no usual client sent gets 400, as the protocol page says. */
    private static void job(Worker worker, Http.Message request, Worker.Answer answer) throws Exception {
        if (answer.id.startsWith("bad")) {
            answer.raw("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        answer.taken();
        answer.state("started");
        Thread.sleep(300);
        answer.done("result of " + answer.id);
        answer.end();
    }

    private static void bad(int number, int port, Record record) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < REQUESTS_OF_ONE; i++) {
            requests.append("POST /directory-page?obj=7f HTTP/1.1\r\nHost: service.internal\r\nX-Txn: bad" + number + "-"
                    + i + "\r\nX-Lane: directory-page\r\nX-Remaining-Ms: 6000\r\n" + COOKIE
                    + "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY);
        }
        try (Client client = new Client(port)) {
            record.line("bad client " + number + " sends " + REQUESTS_OF_ONE + " requests at once, "
                    + requests.length() + " bytes");
            start(() -> readAll(client));
            client.send(requests.toString());
            record.line("bad client " + number + " has sent everything");
            Thread.sleep(20_000);
        } catch (IOException | InterruptedException e) {
            record.line("bad client " + number + " ends: " + e);
        }
    }

    private static void readAll(Client client) {
        try {
            InputStream in = client.socket.getInputStream();
            byte[] bytes = new byte[8 * 1024];
            while (in.read(bytes) >= 0) {
                // what is sent to them is read
            }
            client.close();
        } catch (IOException e) {
            // the connection has ended
        }
    }

    private void usual(int number, int port, Record record) {
        String id = "u" + number;
        boolean gift = number % 4 == 0;
        long sentAt = record.now();
        try (Client client = new Client(port)) {
            record.line("usual client sends " + id + " with X-Remaining-Ms: " + REMAINING_MS);
            client.send(Client.job(
                    gift ? "record-gift" : "directory-page", id, REMAINING_MS, gift ? "key" + number : null, new byte[200]));
            sentAt = record.now();
            Http.Message answer = client.answer(REMAINING_MS + SLACK_MS + TOLERANCE_MS);
            record.line("usual request " + id + " sent at " + sentAt + " gets "
                    + (answer == null ? "a close without an answer" : answer.first));
            count(answer == null ? 1 : 0);
        } catch (java.net.SocketTimeoutException e) {
            record.line("usual request " + id + " sent at " + sentAt + " has no answer " + (record.now() - sentAt)
                    + " ms later; its time was " + REMAINING_MS + " ms");
            count(2);
        } catch (IOException e) {
            record.line("usual request " + id + " ends: " + e);
            count(1);
        }
    }

    private synchronized void count(int how) {
        answered += how == 0 ? 1 : 0;
        closed += how == 1 ? 1 : 0;
        lost += how == 2 ? 1 : 0;
    }
}
