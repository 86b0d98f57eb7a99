import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** All watches are reset; then nothing changes for a time; then a worker begins to drain. */
final class QuietWatch {
    private static final int DISPATCHERS = 24;
    private static final int WORKERS = 24;
    /** Nearly half of them. */
    private static final int LEAVING = 11;

    private static final long QUIET_MS = 65_000;
    private static final double TOLD_AFTER_S = 6;
    private static final double GRACE_S = 2.05;

    private QuietWatch() {}

    /** The first line of a watch holds the changes after its version; without any, an empty line comes every 2 s. */
    private static final class Changes extends Kit.Discovery {
        Changes(List<Kit.Worker> workers) throws IOException {
            super(workers);
        }

        @Override
        synchronized int first(Kit.Request request, OutputStream out) throws Exception {
            int from = Integer.parseInt(request.target().replaceAll(".*from=", ""));
            return from == 0 ? super.first(request, out) : from - 1;
        }
    }

    public static void main(String[] args) {
        Path root = Path.of(args[0]);
        Path folder = Path.of(args[1]);
        Kit.run(Path.of(args[2]), () -> {
            List<Kit.Worker> workers = new ArrayList<>();
            for (int i = 0; i < WORKERS; i++) {
                workers.add(new Kit.Worker("w-" + i, i / 8, 5, 100));
            }
            List<Kit.Worker> leaving = workers.subList(0, LEAVING);
            Kit.Discovery discovery = new Changes(workers);
            String known = discovery.whole();
            discovery.changed(workers.subList(LEAVING, WORKERS));
            List<Integer> peers = new ArrayList<>();
            List<Integer> listeners = new ArrayList<>();
            for (int i = 0; i < DISPATCHERS; i++) {
                peers.add(Kit.freePort());
                listeners.add(Kit.freePort());
            }
            for (int i = 0; i < DISPATCHERS; i++) {
                String config = Kit.config(
                        listeners.get(i), Kit.freePort(), discovery.port, peers.get(i), 1024, known, Kit.CLASSES);
                Path tmp = Files.createDirectories(folder.resolve("tmp-" + i));
                new Kit.Dispatcher(root, folder, tmp, "n" + i, Kit.inFleet(config, i, peers));
            }
            for (int listen : listeners) {
                Kit.awaitYes(listen, "/up", 25_000);
            }
            Kit.record("all dispatchers are ready");
            for (int listen : listeners) {
                Kit.jobs(listen, 500);
            }
            Kit.sleep(3_000);
            if (Kit.TROUBLE) {
                discovery.resetWatches();
                Kit.record("all open watches were reset");
            }
            Kit.sleep(QUIET_MS);
            for (Kit.Worker worker : leaving) {
                worker.phase = "DRAINING";
            }
            discovery.changed(leaving);
            double draining = Kit.now();
            Kit.record(LEAVING + " workers drain");
            Kit.sleep(15_000);
            double bound = draining + TOLD_AFTER_S + GRACE_S;
            long late = leaving.stream()
                    .flatMap(w -> w.arrivals.values().stream())
                    .filter(t -> t > bound)
                    .count();
            Kit.record(late + " jobs were sent to them later than " + (TOLD_AFTER_S + GRACE_S) + " s after the change");
            return late == 0;
        });
    }
}
