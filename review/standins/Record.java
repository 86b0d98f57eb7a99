import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** record.txt of a case: one line for each event, with the milliseconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String text) {
        String line = String.format("%7d %s", now(), text);
        out.println(line);
        out.flush();
    }

    /** A line for the record and for standard output. */
    synchronized void say(String text) {
        line(text);
        System.out.println(text);
    }
}
