import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Workers spoil some answers: the line of another job comes first, the right one some milliseconds later. The line of
 * another job says done to page jobs, and returned to gifts, which are a class that may not be repeated.
 */
final class CrossedAnswers {
    private static final int JOBS = 60;
    private static final int SPOILT_ONE_OF = 5;
    private static final String CLASSES = Kit.CLASSES.replace("\"by_key\"", "\"once\"");

    private CrossedAnswers() {}

    /** Remembers the last lines that it wrote and now and then writes an old one to the wrong job. */
    private static final class Spoiler extends Kit.Worker {
        private final ConcurrentLinkedDeque<Kit.Request> earlier = new ConcurrentLinkedDeque<>();
        private final AtomicInteger pages = new AtomicInteger();
        private final AtomicInteger gifts = new AtomicInteger();

        Spoiler(String id) throws IOException {
            super(id, 1, 5, 60);
        }

        @Override
        void work(Kit.Request request, OutputStream out) throws Exception {
            Kit.startChunks(out);
            Kit.chunk(out, event(request, "started", null));
            Kit.sleep(runMs);
            Kit.Request other = earlier.peekLast();
            earlier.add(request);
            boolean gift = request.target().startsWith("/record-gift");
            int count = (gift ? gifts : pages).incrementAndGet();
            if (Kit.TROUBLE && other != null && count % SPOILT_ONE_OF == 0) {
                String line = gift
                        ? event(other, "returned", null)
                        : event(other, "done", id + " did " + other.id());
                Kit.record(id + " spoils the answer to " + request.id() + " by " + line.strip());
                Kit.chunk(out, line);
                Kit.sleep(5);
            }
            Kit.chunk(out, event(request, "done", id + " did " + request.id()));
            Kit.endChunks(out);
        }
    }

    public static void main(String[] args) {
        Path root = Path.of(args[0]);
        Path folder = Path.of(args[1]);
        Kit.run(Path.of(args[2]), () -> {
            Spoiler a = new Spoiler("w-a");
            Spoiler b = new Spoiler("w-b");
            Kit.Discovery discovery = new Kit.Discovery(List.of(a, b));
            int listen = Kit.freePort();
            Path tmp = Files.createDirectories(folder.resolve("tmp"));
            new Kit.Dispatcher(root, folder, tmp, "n0",
                    Kit.config(listen, Kit.freePort(), discovery.port, Kit.freePort(), 1024, discovery.whole(), CLASSES));
            Kit.awaitYes(listen, "/up", 20_000);
            int foreign = 0;
            for (int i = 0; i < JOBS; i++) {
                String jobClass = i % 2 == 0 ? "directory-page" : "record-gift";
                String id = (i % 2 == 0 ? "page-" : "gift-") + i;
                try (Kit.Client client = new Kit.Client(listen)) {
                    client.send("POST", "/" + jobClass + "?obj=" + i, Kit.job(id, jobClass, 6_000, null), "");
                    Kit.Answer answer = client.answer(7_000);
                    Kit.record(id + " is answered " + answer.status() + ": " + answer.body().strip());
                    foreign += answer.status() == 200 && !answer.body().endsWith(" did " + id) ? 1 : 0;
                }
            }
            Kit.sleep(500);
            long twice = a.arrivals.keySet().stream()
                    .filter(id -> id.startsWith("gift-") && b.arrivals.containsKey(id))
                    .peek(id -> Kit.record(id + " has run at both workers"))
                    .count();
            Kit.record(foreign + " clients got the result of another client's job, " + twice + " gifts ran twice");
            return foreign == 0 && twice == 0;
        });
    }
}
