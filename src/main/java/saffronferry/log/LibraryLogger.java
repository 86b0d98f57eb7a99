package saffronferry.log;

import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;

/** SLF4J logger that forwards warnings and errors of a library to the {@link BoundedLog}. */
final class LibraryLogger extends LegacyAbstractLogger {
    private static final long serialVersionUID = 1;
    private final transient BoundedLog log;

    LibraryLogger(String name, BoundedLog log) {
        this.name = name;
        this.log = log;
    }

    @Override
    protected void handleNormalizedLoggingCall(
            Level level, Marker marker, String pattern, Object[] arguments, Throwable thrown) {
        String text = MessageFormatter.basicArrayFormat(pattern, arguments);
        log.line("library", thrown == null ? text : text + ": " + thrown);
    }

    @Override
    protected String getFullyQualifiedCallerName() {
        return null;
    }

    @Override
    public boolean isTraceEnabled() {
        return false;
    }

    @Override
    public boolean isDebugEnabled() {
        return false;
    }

    @Override
    public boolean isInfoEnabled() {
        return false;
    }

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }
}
