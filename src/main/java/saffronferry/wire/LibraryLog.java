package saffronferry.wire;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Takes the lines that the libraries log over to the bounded log. The JVM's own handler formats each with
 * its time of day, for which it opens a file of time zones: where descriptors have run out that fails with
 * an Error on whichever thread logs.
 */
public final class LibraryLog extends Handler {
    private final BoundedLog log;

    private LibraryLog(BoundedLog log) {
        this.log = log;
        setLevel(Level.WARNING);
    }

    /** To be called before the libraries start. */
    public static void install(BoundedLog log) {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(new LibraryLog(log));
    }

    @Override
    public void publish(LogRecord line) {
        if (isLoggable(line)) {
            String text = line.getMessage();
            log.line("library", line.getThrown() == null ? text : text + ": " + line.getThrown());
        }
    }

    @Override
    public void flush() { }

    @Override
    public void close() { }
}
