package saffronferry.log;

import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * SLF4J provider that sends the libraries' logging to the {@link BoundedLog}. It replaces {@code java.util.logging},
 * which formats each line with the time of day and opens the time zone file for that: when the process has run out of
 * descriptors, this throws an Error on the thread that logs.
 */
public final class LogProvider implements SLF4JServiceProvider {
    private final BoundedLog log = new BoundedLog();
    private final IMarkerFactory markers = new BasicMarkerFactory();

    /** Makes Vert.x and Netty log through this provider; to be called before either is loaded. */
    public static void install() {
        System.setProperty("slf4j.provider", LogProvider.class.getName());
        System.setProperty("vertx.logger-delegate-factory-class-name", "io.vertx.core.logging.SLF4JLogDelegateFactory");
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return name -> new LibraryLogger(name, log);
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return new NOPMDCAdapter();
    }

    @Override
    public String getRequestedApiVersion() {
        return "2.0.99";
    }

    @Override
    public void initialize() {}
}
