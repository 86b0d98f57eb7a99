import java.nio.file.FileVisitResult;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.SimpleFileVisitor;
import java.nio.file.attribute.BasicFileAttributes;

/**
 * Runs one case: {@code Case NAME FOLDER}. Exits with 0 if the rule held, {@link #BROKEN} if it was broken, and otherwise
 * if the case could not run; run.sh makes 0, 1 and 2 of these, since a virtual machine that does not start exits with 1.
 */
final class Case {
    private static final int BROKEN = 10;
    private static final int COULD_NOT_RUN = 2;

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

    public static void main(String[] args) {
        try {
            run(args);
        } catch (Throwable e) {
            System.out.println("the case could not run: " + e);
            Dispatcher.endAll();
            Runtime.getRuntime().halt(COULD_NOT_RUN);
        }
    }

    private static void run(String[] args) throws Exception {
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
                of.end(COULD_NOT_RUN);
            } catch (InterruptedException e) {
                // ended
            }
        });
        limit.setDaemon(true);
        limit.start();
        Runtime.getRuntime().addShutdownHook(new Thread(of::cleanUp));
        int code = COULD_NOT_RUN;
        try {
            of.record.say("disruption: " + (of.trouble ? "on" : "off"));
            boolean broken = play.play(of);
            of.record.say(broken ? "the rule was broken" : "the rule held");
            code = broken ? BROKEN : 0;
        } catch (Throwable e) {
            of.record.say("the case could not run: " + e);
        }
        of.end(code);
    }

    private void end(int code) {
        cleanUp();
        Runtime.getRuntime().halt(code);
    }

    /** Ends all processes that the case started, and removes its folder. */
    private void cleanUp() {
        record.line("processes of the case that have not ended: " + Dispatcher.endAll());
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
    }
}
