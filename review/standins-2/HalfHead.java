import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A client stops in the middle of its second request and stays. */
final class HalfHead {
    private static final long OWED_MS = 3_000;

    private HalfHead() {}

    public static void main(String[] args) {
        Path root = Path.of(args[0]);
        Path folder = Path.of(args[1]);
        Kit.run(Path.of(args[2]), () -> {
            Kit.Discovery discovery = new Kit.Discovery(List.of(new Kit.Worker("w-a", 1, 5, 100)));
            int listen = Kit.freePort();
            Path tmp = Files.createDirectories(folder.resolve("tmp"));
            new Kit.Dispatcher(root, folder, tmp, "n0",
                    Kit.config(listen, Kit.freePort(), discovery.port, Kit.freePort(), 1024, discovery.whole(), Kit.CLASSES));
            Kit.awaitYes(listen, "/up", 20_000);
            Kit.Client client = new Kit.Client(listen);
            client.send("POST", "/directory-page?obj=7f", Kit.job("first", "directory-page", 6_000, null), "");
            Kit.record("first is answered " + client.answer(7_000).status());
            Map<String, String> second = Kit.job("second", "directory-page", 6_000, null);
            String whole = Kit.request("POST", "/directory-page?obj=7f", second, "");
            client.raw(Kit.TROUBLE ? whole.substring(0, whole.length() / 2) : whole);
            double sentAt = Kit.now();
            Kit.record((Kit.TROUBLE ? "half of" : "all of") + " the second request is sent on the same connection");
            Kit.Answer answer = client.answer(20_000);
            double after = Kit.now() - sentAt;
            Kit.record((answer.status() > 0 ? "answered " + answer.status() : answer.status() == 0 ? "closed" : "silence")
                    + String.format(" %.2f s later", after));
            return answer.status() >= 0 && after * 1000 <= OWED_MS + 50;
        });
    }
}
