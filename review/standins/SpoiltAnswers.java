import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** One of three workers spoils answers: it gives lines that are not those of the request. */
final class SpoiltAnswers implements Case.Play {
    private static final int REQUESTS = 60;
    private static final int REMAINING_MS = 6_000;

    /** Every result that a worker has given, by the id of the request for which it was made. */
    private final Map<String, Set<String>> given = new ConcurrentHashMap<>();

    private int right;
    private int notServed;
    private int foreign;
    private int madeUp;
    private int unanswered;

    @Override
    public boolean play(Case of) throws Exception {
        Record record = of.record;
        Discovery discovery = new Discovery(record);
        for (int i = 0; i < 3; i++) {
            boolean spoils = i == 0 && of.trouble;
            Worker worker = new Worker("s-" + i, record, (w, request, answer) -> job(answer, w.id, spoils, record));
            discovery.put(worker.id, Discovery.entry(worker.id, worker.port, "dub-north", "big-box", 1, "SERVING", 0));
        }
        Setup setup = new Setup();
        setup.listen = Dispatcher.freePort();
        setup.console = Dispatcher.freePort();
        setup.discovery = discovery.port;
        setup.known = discovery.whole();
        Path config = of.temporary.resolve("config.json");
        setup.write(config);
        new Dispatcher("n0", of.root, config, of.temporary.resolve("tmp"), record).awaitUp(setup.listen);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String id = (i % 4 == 0 ? "gift-" : "page-") + i;
            Thread client = new Thread(() -> client(setup.listen, id, record));
            client.start();
            clients.add(client);
            Thread.sleep(100);
        }
        for (Thread client : clients) {
            client.join();
        }
        record.say("requests: " + REQUESTS + ", served with their own result " + right
                + ", served with the result of another request " + foreign
                + ", served with what no worker has given " + madeUp + ", failed or refused " + notServed
                + ", unanswered " + unanswered);
        return foreign > 0 || madeUp > 0;
    }

    private void job(Worker.Answer answer, String worker, boolean spoils, Record record) throws Exception {
        answer.taken();
        answer.state("started");
        Thread.sleep(250);
        String own = "result of " + answer.id;
        int number = Integer.parseInt(answer.id.substring(5));
        if (spoils && number % 2 == 0) {
            record.line("worker " + worker + " spoils " + answer.id + ": its last line has no result");
            answer.state("done");
        } else if (spoils) {
            String other = "page-" + (1_000 + number);
            record.line("worker " + worker + " spoils " + answer.id + ": its last line is that of " + other);
            answer.line("{\"id\":\"" + other + "\",\"from\":\"" + worker
                    + "\",\"state\":\"done\",\"result\":\"result of " + other + "\"}");
            given.computeIfAbsent(other, id -> ConcurrentHashMap.newKeySet()).add("result of " + other);
        } else {
            given.computeIfAbsent(answer.id, id -> ConcurrentHashMap.newKeySet()).add(own);
            answer.done(own);
        }
        answer.end();
    }

    private void client(int port, String id, Record record) {
        boolean gift = id.startsWith("gift-");
        try (Client client = new Client(port)) {
            record.line("client sends " + id + " with X-Remaining-Ms: " + REMAINING_MS);
            client.send(Client.job(
                    gift ? "record-gift" : "directory-page", id, REMAINING_MS, gift ? "key-" + id : null, new byte[200]));
            Http.Message answer = client.answer(REMAINING_MS + 2_000);
            record.line("client of " + id + " gets "
                    + (answer == null ? "a close" : answer.first + " [" + answer.text().strip() + "]"));
            boolean served = answer != null && answer.status() == 200;
            boolean own = served && given.getOrDefault(id, Set.of()).contains(answer.text());
            boolean others = served && !own && given.values().stream().anyMatch(g -> g.contains(answer.text()));
            count(own, others, served && !own && !others, answer != null && !served, answer == null);
        } catch (IOException e) {
            record.line("client of " + id + ": " + e);
            count(false, false, false, false, true);
        }
    }

    private synchronized void count(boolean own, boolean others, boolean none, boolean not, boolean silent) {
        right += own ? 1 : 0;
        foreign += others ? 1 : 0;
        madeUp += none ? 1 : 0;
        notServed += not ? 1 : 0;
        unanswered += silent ? 1 : 0;
    }
}
