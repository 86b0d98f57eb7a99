package saffronferry.log;

import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * The back end that SLF4J finds. The JVM's own logging formats each line with its time of day, for which it
 * opens a file of time zones: where descriptors have run out that fails with an Error on whichever thread
 * logs.
 */
public final class LogProvider implements SLF4JServiceProvider {
    private final BoundedLog log = new BoundedLog();
    private final IMarkerFactory markers = new BasicMarkerFactory();

    /** Leads Vert.x and Netty here; to be called before either is loaded. */
    public static void install() {
        System.setProperty("slf4j.provider", LogProvider.class.getName());
        System.setProperty("vertx.logger-delegate-factory-class-name", "io.vertx.core.logging.SLF4JLogDelegateFactory");
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return name -> new LibraryLog(name, log);
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
