package saffronferry.lifecycle;

import static java.nio.file.StandardOpenOption.CREATE;
import static java.nio.file.StandardOpenOption.WRITE;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import java.util.function.UnaryOperator;
import saffronferry.ops.Bans;

/**
 * The file that keeps bans over the replacement of the process. Both processes of one may change it, since an
 * operator's call may reach either. Reads and writes block: nothing here is for the event loop.
 */
final class BanFile {
    private final Path file;
    private final Path lock;
    private List<Object> lastSeen = List.of();

    BanFile(Path folder, String name) {
        file = folder.resolve(name + ".bans");
        lock = folder.resolve(name + ".bans.lock");
    }

    /**
     * What is written there; none where there is no file.
     *
     * @throws IOException if it is damaged, of another version, or cannot be read
     */
    synchronized Bans read() throws IOException {
        try {
            lastSeen = stamp();
            return Bans.parse(Files.readString(file));
        } catch (NoSuchFileException e) {
            return Bans.NONE;
        } catch (IllegalArgumentException e) {
            throw new IOException(file.getFileName() + ": " + e.getMessage());
        }
    }

    /** What is written there if another process has written since the last look, else null. */
    synchronized Bans readIfChanged() throws IOException {
        List<Object> now = stamp();
        // guards the bans against a folder that somebody has emptied: only a call back ends one
        return now.isEmpty() || now.equals(lastSeen) ? null : read();
    }

    /** What tells one written file from the next: each is renamed into place, so its key is another. */
    private List<Object> stamp() throws IOException {
        try {
            BasicFileAttributes a = Files.readAttributes(file, BasicFileAttributes.class);
            return List.of(String.valueOf(a.fileKey()), a.lastModifiedTime().toMillis(), a.size());
        } catch (NoSuchFileException e) {
            return List.of();
        }
    }

    /** Changes what is written there, calls to the other process included; the result is what holds now. */
    @SuppressWarnings("try") // the lock is held for the block and not read in it
    synchronized Bans change(UnaryOperator<Bans> how) throws IOException {
        // guards against a change by the other process between our reading and our renaming
        try (FileChannel channel = FileChannel.open(lock, CREATE, WRITE);
                FileLock held = channel.lock()) {
            Bans next = how.apply(readOrNone());
            Path whole =
                    Files.createTempFile(file.getParent(), file.getFileName().toString(), ".new");
            try {
                Files.writeString(whole, next.toJson());
                // guards against a reader, or a start, that finds half a file
                Files.move(whole, file, StandardCopyOption.ATOMIC_MOVE);
            } finally {
                Files.deleteIfExists(whole);
            }
            lastSeen = stamp();
            return next;
        }
    }

    /** A damaged file must not keep an operator from taking a worker out. */
    private Bans readOrNone() {
        try {
            return read();
        } catch (IOException e) {
            return Bans.NONE;
        }
    }
}
