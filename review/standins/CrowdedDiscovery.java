import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** After a common restart discovery has too many callers for a while; a worker drains once that is over. */
final class CrowdedDiscovery implements Case.Play {
    private static final int FLEET = 30;
    private static final int PLAYED = 8;
    /** Calls of one dispatcher that fail, because each has waited too long. */
    private static final int FAILED_CALLS = 3;

    private static final int QUEUE_TIMEOUT_MS = 3_000;
    private static final int TOLD_AFTER_MS = 6_000;
    private static final int GRACE_MS = 2_050;
    /** For the test's own threads, and for the connection of an attempt that was decided in time. */
    private static final int TOLERANCE_MS = 500;

    private static final int LENGTH_MS = 95_000;
    private static final int JOB_EVERY_MS = 250;

    private int broken;

    @Override
    public boolean play(Case of) throws Exception {
        List<Thread> threads = new ArrayList<>();
        List<Exception> failures = new ArrayList<>();
        for (int i = 0; i < PLAYED; i++) {
            int number = i;
            // each is played apart: the others of its fleet do not answer
            List<String> peers = new ArrayList<>();
            for (int p = 0; p < FLEET; p++) {
                peers.add("127.0.0.1:" + Dispatcher.freePort());
            }
            Thread thread = new Thread(() -> {
                try {
                    new One(of, number, peers).play();
                } catch (Exception e) {
                    synchronized (failures) {
                        failures.add(e);
                    }
                }
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        if (!failures.isEmpty()) {
            throw failures.get(0);
        }
        of.record.say("dispatchers: " + PLAYED + ", of these with new work for the draining worker more than "
                + (TOLD_AFTER_MS + GRACE_MS) + " ms after discovery had the change and could be reached: " + broken);
        return broken > 0;
    }

    private synchronized void countBroken() {
        broken++;
    }

    /** One dispatcher with its own discovery and workers. */
    private final class One {
        private final Case of;
        private final Record record;
        private final String name;
        private final int number;
        private final List<String> peers;
        private volatile long drainsAt = -1;
        private volatile long lastAt = -1;

        One(Case of, int number, List<String> peers) {
            this.of = of;
            this.record = of.record;
            this.name = "n" + number;
            this.number = number;
            this.peers = peers;
        }

        void play() throws Exception {
            Discovery discovery = new Discovery(record);
            List<Worker> workers = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                boolean drains = i == 0;
                Worker worker = new Worker("s-" + name + "-" + i, record, (w, request, answer) -> {
                    if (drains && drainsAt >= 0) {
                        long after = record.now() - drainsAt;
                        record.line("worker " + w.id + " gets " + answer.id + " " + after + " ms after it began to drain");
                        lastAt = Math.max(lastAt, after);
                    }
                    answer.taken();
                    answer.state("started");
                    Thread.sleep(300);
                    answer.done("result of " + answer.id);
                    answer.end();
                });
                workers.add(worker);
                discovery.put(worker.id, entry(worker, i, "SERVING"));
            }
            AtomicBoolean crowded = new AtomicBoolean(of.trouble);
            if (!of.trouble) {
                // the same change at about the same time
                start(() -> {
                    sleep(10_000);
                    drain(discovery, workers.get(0));
                });
            }
            discovery.hook = (call, message, socket) -> {
                if (!crowded.get()) {
                    return false;
                }
                Thread.sleep(QUEUE_TIMEOUT_MS);
                if (call == FAILED_CALLS) {
                    crowded.set(false);
                    start(() -> {
                        sleep(100);
                        drain(discovery, workers.get(0));
                    });
                }
                record.line("discovery of " + name + " fails call " + call + " with 503: it has waited too long");
                socket.getOutputStream().write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
                        .getBytes(StandardCharsets.UTF_8));
                return true;
            };
            Setup setup = new Setup();
            setup.name = name;
            setup.listen = Dispatcher.freePort();
            setup.discovery = discovery.port;
            setup.known = discovery.whole();
            setup.peersTotal = FLEET;
            setup.peers = peers;
            setup.self = number;
            Path config = of.temporary.resolve(name + ".json");
            setup.write(config);
            Dispatcher dispatcher =
                    new Dispatcher(name, of.root, config, of.temporary.resolve("tmp-" + name), record);
            dispatcher.awaitUp(setup.listen);
            for (int i = 0; record.now() < LENGTH_MS && (drainsAt < 0 || record.now() - drainsAt < 30_000); i++) {
                String id = name + "-" + i;
                start(() -> client(setup.listen, id));
                sleep(JOB_EVERY_MS);
            }
            if (drainsAt < 0) {
                throw new IOException("discovery of " + name + " was not called in time");
            }
            boolean late = lastAt > TOLD_AFTER_MS + GRACE_MS + TOLERANCE_MS;
            record.say(name + ": last new work for the draining worker " + lastAt + " ms after the change"
                    + (late ? ": too late" : ""));
            if (late) {
                countBroken();
            }
        }

        private void drain(Discovery discovery, Worker worker) {
            drainsAt = record.now();
            record.line("discovery of " + name + " has " + worker.id + " as draining, and can be reached");
            discovery.put(worker.id, entry(worker, 0, "DRAINING"));
        }

        private String entry(Worker worker, int cell, String phase) {
            return Discovery.entry(worker.id, worker.port, "dub-north", "big-box", cell, phase, 0);
        }

        private void client(int port, String id) {
            try (Client client = new Client(port)) {
                client.send(Client.job("directory-page", id, 6_000, null, new byte[200]));
                Http.Message answer = client.answer(7_000);
                record.line("client of " + id + " gets " + (answer == null ? "a close" : answer.first));
            } catch (IOException e) {
                record.line("client of " + id + ": " + e);
            }
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }
}
