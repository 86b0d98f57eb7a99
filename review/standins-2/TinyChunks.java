import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients send bodies of 60 MB in chunks of one byte, and again the moment they are turned away. */
final class TinyChunks {
    /** Hundreds of connections; with those of the usual clients fewer than the half of the descriptors. */
    private static final int BAD_CLIENTS = 450;
    private static final int BAD_BYTES = 60_000_000;
    private static final int USUAL = 100;
    private static final long USUAL_EVERY_MS = 180;
    private static final long DEADLINE_MS = 6_000;
    /** Half a second after its time, 50 ms, and 450 ms more for the test itself. */
    private static final long SLACK_MS = 1_000;

    private static volatile boolean over;

    private TinyChunks() {}

    public static void main(String[] args) {
        Path root = Path.of(args[0]);
        Path folder = Path.of(args[1]);
        Kit.run(Path.of(args[2]), () -> {
            List<Kit.Worker> workers = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                workers.add(new Kit.Worker("w-" + i, i / 6, 5, 300));
            }
            Kit.Discovery discovery = new Kit.Discovery(workers);
            int listen = Kit.freePort();
            Path tmp = Files.createDirectories(folder.resolve("tmp"));
            Kit.Dispatcher dispatcher = new Kit.Dispatcher(root, folder, tmp, "n0",
                    Kit.config(listen, Kit.freePort(), discovery.port, Kit.freePort(), 1024, discovery.whole(), Kit.CLASSES));
            Kit.awaitYes(listen, "/up", 20_000);
            AtomicInteger answered = new AtomicInteger();
            AtomicInteger closed = new AtomicInteger();
            AtomicInteger silent = new AtomicInteger();
            AtomicInteger turnedAway = new AtomicInteger();
            AtomicInteger left = new AtomicInteger(USUAL);
            for (int i = 0; Kit.TROUBLE && i < BAD_CLIENTS; i++) {
                String id = "bad-" + i;
                Kit.inBackground(id, () -> bad(listen, id, turnedAway));
            }
            String before = Kit.cpu(dispatcher);
            for (int i = 0; i < USUAL; i++) {
                String id = "usual-" + i;
                Kit.inBackground(id, () -> {
                    double from = Kit.now();
                    int status = usual(listen, id);
                    Kit.record(String.format(Locale.ROOT, "%s: %d after %.2f s", id, status, Kit.now() - from));
                    (status > 0 ? answered : status == 0 ? closed : silent).incrementAndGet();
                    left.decrementAndGet();
                });
                Kit.sleep(USUAL_EVERY_MS);
            }
            Kit.record("processor time from " + before + " to " + Kit.cpu(dispatcher));
            while (left.get() > 0) {
                Kit.sleep(100);
            }
            over = true;
            boolean alive = dispatcher.process.isAlive();
            Kit.record(turnedAway + " times a bad client was answered or closed on");
            Kit.record(answered + " usual requests answered in time, " + closed + " closed or reset, " + silent
                    + " without any answer in time, of " + USUAL + "; the dispatcher " + (alive ? "is alive" : "has ended"));
            return alive && silent.get() == 0;
        });
    }

    private static int usual(int listen, String id) {
        try (Kit.Client client = new Kit.Client(listen)) {
            client.send("POST", "/directory-page?obj=7f", Kit.job(id, "directory-page", DEADLINE_MS, null), "");
            return client.answer(DEADLINE_MS + SLACK_MS).status();
        } catch (IOException e) {
            return 0;
        }
    }

    private static void bad(int listen, String id, AtomicInteger turnedAway) {
        byte[] chunks = "1\r\ny\r\n".repeat(2_000).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; !over; i++) {
            try (Kit.Client client = new Kit.Client(listen)) {
                client.raw("POST /directory-page?obj=7f HTTP/1.1\r\nHost: service.internal\r\nX-Txn: " + id + "-" + i
                        + "\r\nX-Lane: directory-page\r\nX-Remaining-Ms: 6000\r\nTransfer-Encoding: chunked\r\n\r\n");
                OutputStream out = client.socket.getOutputStream();
                for (int sent = 0; sent < BAD_BYTES && client.socket.getInputStream().available() == 0; sent += chunks.length) {
                    out.write(chunks);
                }
                client.answer(1_000);
            } catch (IOException e) {
                // turned away
            }
            turnedAway.incrementAndGet();
        }
    }
}
