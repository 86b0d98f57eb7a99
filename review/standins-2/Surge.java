import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** An association sends more than usual, with bodies as long as the protocol allows. */
final class Surge {
    /** As the deployment page's example has it. */
    private static final int SOCKETS = 4096;
    /** Clients hold at most a third of the descriptors. */
    private static final int MOST_CONNECTIONS = SOCKETS / 3;

    private static final double USUAL_PER_S = 26;
    private static final double SURGE = 5.3;
    private static final double SURGE_S = 17;
    private static final int BODY_BYTES = 64 * 1024;
    private static final long DEADLINE_MS = 25_000;
    private static final long ANSWER_SLACK_MS = 500;
    private static final String CLASSES = "[{\"name\":\"record-gift\",\"deadline\":25.0,\"target\":20.0,\"points\":8.0,"
            + "\"lateValue\":0.25,\"idempotency\":\"by_key\",\"group\":\"cell\",\"keyTtl\":40.0,\"stream\":false}]";

    private Surge() {}

    public static void main(String[] args) {
        Path root = Path.of(args[0]);
        Path folder = Path.of(args[1]);
        Kit.run(Path.of(args[2]), () -> {
            List<Kit.Worker> workers = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                workers.add(new Kit.Worker("w-" + i, i / 6, 5, 2_500));
            }
            Kit.Discovery discovery = new Kit.Discovery(workers);
            int listen = Kit.freePort();
            Path tmp = Files.createDirectories(folder.resolve("tmp"));
            Kit.Dispatcher dispatcher = new Kit.Dispatcher(root, folder, tmp, "n0",
                    Kit.config(listen, Kit.freePort(), discovery.port, Kit.freePort(), SOCKETS, discovery.whole(), CLASSES)
                            .replace("\"memory_mb\":192", "\"memory_mb\":2048"));
            Kit.awaitYes(listen, "/up", 20_000);
            double perS = USUAL_PER_S * (Kit.TROUBLE ? SURGE : 1);
            Semaphore connections = new Semaphore(MOST_CONNECTIONS);
            AtomicInteger open = new AtomicInteger();
            AtomicInteger answered = new AtomicInteger();
            AtomicInteger lost = new AtomicInteger();
            String body = "y".repeat(BODY_BYTES);
            int sent = 0;
            for (double from = Kit.now(); Kit.now() - from < SURGE_S && dispatcher.process.isAlive(); sent++) {
                connections.acquire();
                String id = "gift-" + sent;
                open.incrementAndGet();
                Kit.inBackground(id, () -> {
                    int status = send(listen, id, body);
                    Kit.record(id + (status > 0 ? " is answered " + status : " is lost: " + (status == 0 ? "reset" : "silence")));
                    (status > 0 ? answered : lost).incrementAndGet();
                    open.decrementAndGet();
                    connections.release();
                });
                if (sent % 100 == 0) {
                    Kit.record(open.get() + " requests are open, " + memory(dispatcher));
                }
                Kit.sleep((long) (1000 * ((sent + 1) / perS - (Kit.now() - from))));
            }
            while (open.get() > 0) {
                Kit.sleep(100);
            }
            boolean alive = dispatcher.process.isAlive();
            Kit.record(sent + " sent, " + answered + " answered, " + lost + " lost; the dispatcher "
                    + (alive ? "is alive" : "has ended by itself with " + dispatcher.process.exitValue()));
            Files.readAllLines(dispatcher.log).forEach(line -> Kit.record("log: " + line));
            return alive && lost.get() == 0;
        });
    }

    private static int send(int listen, String id, String body) {
        try (Kit.Client client = new Kit.Client(listen)) {
            client.send("POST", "/record-gift?obj=7f", Kit.job(id, "record-gift", DEADLINE_MS, id), body);
            return client.answer(DEADLINE_MS + ANSWER_SLACK_MS).status();
        } catch (IOException e) {
            return 0;
        }
    }

    private static String memory(Kit.Dispatcher dispatcher) {
        try {
            return Files.readAllLines(Path.of("/proc/" + dispatcher.process.pid() + "/status")).stream()
                    .filter(line -> line.startsWith("VmRSS"))
                    .findFirst()
                    .orElse("no memory");
        } catch (IOException e) {
            return "no memory";
        }
    }
}
