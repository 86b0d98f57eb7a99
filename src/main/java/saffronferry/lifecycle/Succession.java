package saffronferry.lifecycle;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Which processes of this dispatcher there are, told by marks in the folder that they share: one for each
 * process that has started, and one that names who came to serve last. Marks of processes that are gone count
 * for nothing. All of it blocks: nothing here is for the event loop.
 */
final class Succession {
    private static final String STARTED = ".process-";

    private final Path folder;
    private final String name;
    private final long self = ProcessHandle.current().pid();

    Succession(Path folder, String name) {
        this.folder = folder;
        this.name = name;
    }

    /** This process is about to take its share of what both may hold. */
    void started() throws IOException {
        Files.writeString(mark(self), "");
    }

    /** This process serves: one that served before it is replaced. */
    void serving() throws IOException {
        Path whole = Files.createTempFile(folder, name, ".new");
        Files.writeString(whole, Long.toString(self));
        Files.move(whole, folder.resolve(name + ".serving"), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Whether another process, alive now, came to serve after this one. */
    boolean replaced() {
        try {
            long latest = Long.parseLong(Files.readString(folder.resolve(name + ".serving")).trim());
            return latest != self && alive(latest);
        } catch (IOException | NumberFormatException e) {
            return false; // no mark that can be read: nobody is known to serve in our place
        }
    }

    /** How many other processes of this dispatcher live. */
    int others() {
        int n = 0;
        try (DirectoryStream<Path> marks = Files.newDirectoryStream(folder, name + STARTED + "*")) {
            for (Path mark : marks) {
                long pid = pidOf(mark);
                if (pid != self && alive(pid)) {
                    n++;
                } else if (pid != self) {
                    Files.deleteIfExists(mark);
                }
            }
        } catch (IOException | java.nio.file.DirectoryIteratorException e) {
            return n; // what cannot be read now is read at the next look
        }
        return n;
    }

    /** This process is about to end. */
    void ended() {
        try {
            Files.deleteIfExists(mark(self));
        } catch (IOException e) {
            // whoever looks next sees that we are gone
        }
    }

    private Path mark(long pid) {
        return folder.resolve(name + STARTED + pid);
    }

    private long pidOf(Path mark) {
        try {
            return Long.parseLong(mark.getFileName().toString().substring((name + STARTED).length()));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** A process that has ended and is yet to be reaped serves nobody. */
    private static boolean alive(long pid) {
        try {
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
            return stat.charAt(stat.lastIndexOf(')') + 2) != 'Z';
        } catch (IOException | StringIndexOutOfBoundsException e) {
            return false;
        }
    }
}
