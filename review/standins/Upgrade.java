import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

/** The process is replaced under load, with 256 descriptors. */
final class Upgrade implements Case.Play {
    private static final int DESCRIPTORS = 256;
    private static final int WORKERS = 13;
    private static final int SLOTS = 6;
    private static final int GIFTS = 64;
    private static final int PAGES = 16;
    private static final int GIFT_MS = 3_600;
    private static final int PAGE_MS = 2_000;
    private static final int FIRST_PAGE_MS = 600;
    private static final int GIFT_REMAINING_MS = 25_000;
    /** A page whose client has used up a part of its 6 s with an earlier try. */
    private static final int PAGE_REMAINING_MS = 3_400;

    private static final int TERM_AFTER_YES_MS = 5_500;
    private static final int KILL_AFTER_TERM_MS = 3_700;
    /** The pages' half a second, and 50 ms for each limit on sockets. */
    private static final int ANSWER_SLACK_MS = 550;
    /** The pages' 0.15 s, and 50 ms for each limit on sockets. */
    private static final int TOLD_SLACK_MS = 200;
    /** For the test's own threads, and for a machine that is slow for a moment. */
    private static final int TOLERANCE_MS = 400;

    /** Pages before the upgrade, from which the dispatcher learns what the workers can do. */
    private static final int FIRST_PAGES = 120;

    private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
    private int ok;
    private int other;
    private int late;
    private int unanswered;
    private int toldTooMuch;

    @Override
    public boolean play(Case of) throws Exception {
        Record record = of.record;
        Discovery discovery = new Discovery(record);
        for (int i = 0; i < WORKERS; i++) {
            Semaphore slots = new Semaphore(SLOTS, true);
            Worker worker = new Worker("s-" + i, record, (w, request, answer) -> job(w, request, answer, slots, record));
            discovery.put(
                    worker.id,
                    Discovery.entry(worker.id, worker.port, "dub-north", "big-box", 1 + i / 7, "SERVING", 0));
        }
        Setup setup = new Setup();
        setup.sockets = DESCRIPTORS;
        setup.listen = Dispatcher.freePort();
        setup.console = Dispatcher.freePort();
        setup.discovery = discovery.port;
        setup.known = discovery.whole();
        Path temporary = of.temporary.resolve("tmp");
        Path config = of.temporary.resolve("config.json");
        setup.write(config);
        Dispatcher old = new Dispatcher("n0", of.root, config, temporary, record);
        old.awaitUp(setup.listen);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < FIRST_PAGES; i++) {
            String id = "first-" + i;
            clients.add(start(() -> client(setup.listen, id, record)));
            Thread.sleep(30);
        }
        Thread.sleep(1_000);
        if (of.trouble) {
            setup.console = Dispatcher.freePort();
            setup.write(config);
            Dispatcher next = new Dispatcher("n0-next", of.root, config, temporary, record);
            next.awaitYes(setup.console);
            Thread ending = new Thread(() -> {
                try {
                    Thread.sleep(TERM_AFTER_YES_MS);
                    old.signal("TERM");
                    Thread.sleep(KILL_AFTER_TERM_MS);
                    if (old.process.isAlive()) {
                        old.signal("KILL");
                    }
                } catch (IOException | InterruptedException e) {
                    record.line("the old process was not ended: " + e);
                }
            });
            ending.setDaemon(true);
            ending.start();
        }
        Thread.sleep(500);
        for (int i = 0; i < GIFTS + PAGES; i++) {
            String id = (i < GIFTS ? "gift-" : "page-") + i;
            clients.add(start(() -> client(setup.listen, id, record)));
            Thread.sleep(i == GIFTS - 1 ? 200 : 12);
        }
        for (Thread client : clients) {
            client.join();
        }
        record.say("requests: " + clients.size() + ", answered 200 in time " + ok + ", answered otherwise in time " + other
                + ", answered too late " + late + ", closed or refused without an answer " + unanswered
                + ", attempts that were told more time than was left " + toldTooMuch);
        return late > 0 || toldTooMuch > 0;
    }

    private void job(Worker worker, Http.Message request, Worker.Answer answer, Semaphore slots, Record record)
            throws Exception {
        boolean gift = answer.id.startsWith("gift-");
        long left = (gift ? GIFT_REMAINING_MS : PAGE_REMAINING_MS) - (record.now() - sentAt.get(answer.id));
        long told = Long.parseLong(request.header("X-Remaining-Ms"));
        boolean tooMuch = told > Math.max(0, left) + TOLD_SLACK_MS + TOLERANCE_MS;
        record.line("attempt of " + answer.id + " is told " + told + " ms, left to the client are " + left + " ms"
                + (tooMuch ? ": too much" : ""));
        count(0, 0, 0, 0, tooMuch ? 1 : 0);
        answer.taken();
        slots.acquire();
        worker.freeSlots = slots.availablePermits();
        try {
            answer.state("started");
            Thread.sleep(gift ? GIFT_MS : answer.id.startsWith("page-") ? PAGE_MS : FIRST_PAGE_MS);
            answer.done("result of " + answer.id);
            answer.end();
        } finally {
            slots.release();
            worker.freeSlots = slots.availablePermits();
        }
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.start();
        return thread;
    }

    private void client(int port, String id, Record record) {
        boolean gift = id.startsWith("gift-");
        int remaining = gift ? GIFT_REMAINING_MS : PAGE_REMAINING_MS;
        long start = record.now();
        try (Client client = new Client(port)) {
            start = record.now();
            sentAt.put(id, start);
            record.line("client sends " + id + " with X-Remaining-Ms: " + remaining);
            client.send(Client.job(
                    gift ? "record-gift" : "directory-page", id, remaining, gift ? "key-" + id : null, new byte[200]));
            Http.Message answer = client.answer(40_000);
            long took = record.now() - start;
            boolean isLate = answer != null && took > remaining + ANSWER_SLACK_MS + TOLERANCE_MS;
            record.line("client of " + id + " gets " + (answer == null ? "a close" : answer.first) + " after " + took
                    + " ms" + (isLate ? ": too late" : ""));
            boolean served = answer != null && answer.status() == 200;
            count(!isLate && served ? 1 : 0, !isLate && !served && answer != null ? 1 : 0, isLate ? 1 : 0,
                    answer == null ? 1 : 0, 0);
        } catch (SocketTimeoutException e) {
            record.line("client of " + id + " has no answer after " + (record.now() - start) + " ms: too late");
            count(0, 0, 1, 0, 0);
        } catch (IOException e) {
            record.line("client of " + id + ": " + e + " after " + (record.now() - start) + " ms");
            count(0, 0, 0, 1, 0);
        }
    }

    private synchronized void count(int okNow, int otherNow, int lateNow, int unansweredNow, int toldNow) {
        ok += okNow;
        other += otherNow;
        late += lateNow;
        unanswered += unansweredNow;
        toldTooMuch += toldNow;
    }
}
