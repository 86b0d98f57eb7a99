import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** A new configuration names a discovery that is slow: a call waits in its turn, and the list comes in pieces. */
final class SlowDiscovery {
    /** Below the 3 s after which a call fails. */
    private static final long WAIT_MS = 2_700;
    /** The list is written in so many pieces, with a pause before each. */
    private static final int PIECES = 10;

    private static final long PAUSE_MS = 80;
    private static final double TOLD_AFTER_S = 4;
    private static final double GRACE_S = 2.05;

    private SlowDiscovery() {}

    private static final class Slow extends Kit.Discovery {
        Slow(List<Kit.Worker> workers) throws java.io.IOException {
            super(workers);
        }

        @Override
        int first(Kit.Request request, OutputStream out) throws Exception {
            if (!Kit.TROUBLE) {
                return super.first(request, out);
            }
            Kit.sleep(WAIT_MS);
            String list = whole() + "\n";
            int size = list.length() / PIECES + 1;
            for (int from = 0; from < list.length(); from += size) {
                Kit.sleep(PAUSE_MS);
                Kit.chunk(out, list.substring(from, Math.min(list.length(), from + size)));
            }
            told(list.strip());
            return changeCount();
        }
    }

    public static void main(String[] args) {
        Path root = Path.of(args[0]);
        Path folder = Path.of(args[1]);
        Kit.run(Path.of(args[2]), () -> {
            Kit.Worker leaving = new Kit.Worker("w-a", 1, 5, 100);
            Kit.Worker staying = new Kit.Worker("w-b", 1, 5, 100);
            List<Kit.Worker> workers = List.of(leaving, staying);
            Kit.Discovery before = new Kit.Discovery(workers);
            Kit.Discovery after = new Slow(workers);
            int listen = Kit.freePort();
            int console = Kit.freePort();
            int peer = Kit.freePort();
            Path tmp = Files.createDirectories(folder.resolve("tmp"));
            Kit.Dispatcher dispatcher = new Kit.Dispatcher(root, folder, tmp, "n0",
                    Kit.config(listen, console, before.port, peer, 1024, before.whole(), Kit.CLASSES));
            Kit.awaitYes(listen, "/up", 20_000);
            Kit.jobs(listen, 100);
            Kit.sleep(3_000);
            Files.writeString(folder.resolve("n0.json"),
                    Kit.config(listen, console, after.port, peer, 1024, before.whole(), Kit.CLASSES));
            leaving.phase = "DRAINING";
            before.endWatches(1_500);
            dispatcher.signal("HUP");
            double hangup = Kit.now();
            Kit.record("SIGHUP: discovery is another one, which has w-a draining");
            Kit.sleep(20_000);
            double bound = hangup + TOLD_AFTER_S + GRACE_S;
            long late = leaving.arrivals.values().stream().filter(t -> t > bound).count();
            Kit.record(late + " jobs were sent to w-a later than " + (TOLD_AFTER_S + GRACE_S) + " s after SIGHUP");
            return late == 0;
        });
    }
}
