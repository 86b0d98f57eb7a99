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
 * The file that keeps the bans across restarts and replacements of the process. During a replacement both processes
 * may change it, since an operator's call may reach either. Reads and writes block; not for the event loop.
 */
final class BanFile {
    private final Path file;
    private final Path lock;
    private List<Object> lastFingerprint = List.of();

    BanFile(Path folder, String name) {
        file = folder.resolve(name + ".bans");
        lock = folder.resolve(name + ".bans.lock");
    }

    /**
     * Reads the bans; none if the file does not exist.
     *
     * @throws IOException if the file is damaged, of another version, or cannot be read
     */
    synchronized Bans read() throws IOException {
        try {
            lastFingerprint = fingerprint();
            return Bans.parse(Files.readString(file));
        } catch (NoSuchFileException e) {
            return Bans.NONE;
        } catch (IllegalArgumentException e) {
            throw new IOException(file.getFileName() + ": " + e.getMessage());
        }
    }

    /** Reads the bans if another process has written the file since the last read or change, else returns null. */
    synchronized Bans readIfChanged() throws IOException {
        List<Object> now = fingerprint();
        // A missing file is no change: only an operator's call ends a ban, not a folder that was emptied.
        return now.isEmpty() || now.equals(lastFingerprint) ? null : read();
    }

    /** Identifies a version of the file: each is renamed into place and has its own file key; empty without a file. */
    private List<Object> fingerprint() throws IOException {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return List.of(
                    String.valueOf(attributes.fileKey()),
                    attributes.lastModifiedTime().toMillis(),
                    attributes.size());
        } catch (NoSuchFileException e) {
            return List.of();
        }
    }

    /** Applies a change to the bans in the file, which include those made by other processes; returns the result. */
    @SuppressWarnings("try") // the lock is held for the block and not read in it
    synchronized Bans change(UnaryOperator<Bans> operation) throws IOException {
        // The lock prevents another process from changing the file between this read and this rename.
        try (FileChannel channel = FileChannel.open(lock, CREATE, WRITE);
                FileLock held = channel.lock()) {
            Bans next = operation.apply(readOrNone());
            Path temporary =
                    Files.createTempFile(file.getParent(), file.getFileName().toString(), ".new");
            try {
                Files.writeString(temporary, next.toJson());
                // The rename is atomic, so that no reader sees a partly written file.
                Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
            } finally {
                Files.deleteIfExists(temporary);
            }
            lastFingerprint = fingerprint();
            return next;
        }
    }

    /** A damaged file counts as empty here, so that it cannot keep an operator from banning a worker. */
    private Bans readOrNone() {
        try {
            return read();
        } catch (IOException e) {
            return Bans.NONE;
        }
    }
}
