import java.nio.file.FileVisitResult;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.SimpleFileVisitor;
import java.nio.file.attribute.BasicFileAttributes;

/** Runs one case: {@code Case NAME FOLDER}. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
final class Case {
    /** What a case does; returns whether the rule was broken. */
    interface Play {
        boolean play(Case of) throws Exception;
    }

    /** The longest time that a case may run. */
    private static final long LIMIT_MS = 110_000;

    final Record record;
    /** The root of the repository. */
    final Path root;
    final Path temporary;
    /** Whether the disruption is played. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private Case(Path folder) throws Exception {
        root = folder.toAbsolutePath().normalize().getParent().getParent();
        record = new Record(folder.resolve("record.txt"));
        temporary = Files.createTempDirectory("review");
    }

    public static void main(String[] args) throws Exception {
        Play play =
                switch (args[0]) {
                    case "requests-at-once" -> new RequestsAtOnce();
                    case "upgrade" -> new Upgrade();
                    case "crowded-discovery" -> new CrowdedDiscovery();
                    case "spoilt-answers" -> new SpoiltAnswers();
                    default -> throw new IllegalArgumentException(args[0]);
                };
        Case of = new Case(Path.of(args[1]));
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(LIMIT_MS);
                of.record.say("the case did not end in time");
                of.end(2);
            } catch (InterruptedException e) {
                // ended
            }
        });
        limit.setDaemon(true);
        limit.start();
        Runtime.getRuntime().addShutdownHook(new Thread(Dispatcher::endAll));
        int code = 2;
        try {
            of.record.say("disruption: " + (of.trouble ? "on" : "off"));
            boolean broken = play.play(of);
            of.record.say(broken ? "the rule was broken" : "the rule held");
            code = broken ? 1 : 0;
        } catch (Exception e) {
            of.record.say("the case could not run: " + e);
        }
        of.end(code);
    }

    private void end(int code) {
        Dispatcher.endAll();
        try {
            Files.walkFileTree(temporary, new SimpleFileVisitor<>() {
                @Override
                public FileVisitResult visitFile(Path file, BasicFileAttributes attributes) throws java.io.IOException {
                    Files.delete(file);
                    return FileVisitResult.CONTINUE;
                }

                @Override
                public FileVisitResult postVisitDirectory(Path folder, java.io.IOException e)
                        throws java.io.IOException {
                    Files.delete(folder);
                    return FileVisitResult.CONTINUE;
                }
            });
        } catch (java.io.IOException e) {
            record.line("temporary folder not removed: " + e);
        }
        Runtime.getRuntime().halt(code);
    }
}
