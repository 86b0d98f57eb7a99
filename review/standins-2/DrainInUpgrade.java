import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** An operator drains the dispatcher at its new console while the old process still lives. */
final class DrainInUpgrade {
    private DrainInUpgrade() {}

    public static void main(String[] args) {
        Path root = Path.of(args[0]);
        Path folder = Path.of(args[1]);
        Kit.run(Path.of(args[2]), () -> {
            Kit.Worker worker = new Kit.Worker("w-a", 1, 5, 100);
            Kit.Discovery discovery = new Kit.Discovery(List.of(worker));
            int listen = Kit.freePort();
            int oldConsole = Kit.freePort();
            int newConsole = Kit.freePort();
            int peer = Kit.freePort();
            Path tmp = Files.createDirectories(folder.resolve("tmp"));
            Kit.Dispatcher old = new Kit.Dispatcher(root, folder, tmp, "old",
                    Kit.config(listen, oldConsole, discovery.port, peer, 1024, discovery.whole(), Kit.CLASSES));
            Kit.awaitYes(listen, "/up", 20_000);
            Kit.Client resting = new Kit.Client(listen);
            resting.send("POST", "/directory-page?obj=7f", Kit.job("a1", "directory-page", 3000, null), "");
            Kit.record("the resting client's first job: " + resting.answer(3_000));
            Kit.Client front = new Kit.Client(listen);
            front.send("GET", "/up", Map.of(), "");
            Kit.record("/up on the front's kept connection: " + front.answer(1_000).status());
            int console = oldConsole;
            if (Kit.TROUBLE) {
                new Kit.Dispatcher(root, folder, tmp, "new",
                        Kit.config(listen, newConsole, discovery.port, peer, 1024, discovery.whole(), Kit.CLASSES));
                Kit.awaitYes(newConsole, "/ops/readiness", 20_000);
                console = newConsole;
                Kit.record("the new process says yes");
                Kit.sleep(500);
            }
            Kit.Client operator = new Kit.Client(console);
            operator.send("PUT", "/ops/drain/start", Map.of(), "");
            Kit.record("drain/start: " + operator.answer(1_000).status());
            double drainedAt = Kit.now();
            Kit.Answer end = resting.answer(4_500);
            Kit.record("the resting client's connection " + (end.status() == 0 ? "was closed" : "is open")
                    + String.format(Locale.ROOT, " %.2f s after the call", Kit.now() - drainedAt));
            boolean held = end.status() != 0;
            Kit.Answer up = new Kit.Answer(0, Map.of(), "");
            try {
                front.send("GET", "/up", Map.of(), "");
                up = front.answer(1_000);
            } catch (java.io.IOException e) {
                // closed
            }
            Kit.record("/up on the front's kept connection: " + up.status());
            if (held) {
                resting.send("POST", "/directory-page?obj=7f", Kit.job("a2", "directory-page", 3000, null), "");
                Kit.record("the resting client's next job: " + resting.answer(3_000));
            }
            old.signal("TERM");
            return !held && up.status() != 200;
        });
    }
}
