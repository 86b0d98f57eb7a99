package saffronferry.lifecycle;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import saffronferry.log.BoundedLog;
import saffronferry.log.LogProvider;
import saffronferry.wire.BoundedTransport;
import sun.misc.Signal;

/** The program {@code serve}: runs a dispatcher on real sockets until it is stopped. */
public final class Serve {
    private Serve() {}

    /** Starts the dispatcher; the process exits with 1 if it cannot start, with 2 if the configuration is faulty. */
    public static void run() {
        BoundedLog log = new BoundedLog();
        AtomicReference<DispatcherServer> serving = new AtomicReference<>();
        AtomicBoolean hangupReceived = new AtomicBoolean();
        // The handler is installed first, because the default action of SIGHUP would end a starting process.
        Signal.handle(new Signal("HUP"), s -> {
            hangupReceived.set(true);
            reload(serving.get());
        });
        LogProvider.install();
        if (ProcessLimits.hangupIgnored()) {
            // Without this line an ignored reload would show only much later, as an outdated worker list.
            log.line(
                    "SIGHUP is ignored",
                    "as this process was started, so that it cannot reload its configuration;"
                            + " start it by `env --default-signal=HUP`, as run in deploy/balancer.toml does");
        }
        DispatcherServer server;
        try {
            server = new DispatcherServer(Config.read(System.getenv()), log, BoundedTransport::new);
        } catch (IllegalArgumentException e) {
            System.err.println("saffronferry: " + e.getMessage());
            System.exit(2);
            return;
        }
        // halt, since exit would run the drain, which would wait for the hanging loop
        server.onFatalFailure(() -> Runtime.getRuntime().halt(Watchdog.EXIT_UNABLE));
        Thread drain = new Thread(server::awaitDrain, "drain");
        server.start()
                .onSuccess(v -> {
                    Runtime.getRuntime().addShutdownHook(drain);
                    serving.set(server);
                    if (hangupReceived.get()) {
                        // the file may have changed after it was read; not on the event loop, since it blocks
                        new Thread(() -> reload(server), "reload").start();
                    }
                })
                .onFailure(e -> {
                    System.err.println("saffronferry: cannot start: " + e.getMessage());
                    System.exit(1);
                });
    }

    private static void reload(DispatcherServer server) {
        if (server != null) {
            server.reload(() -> Config.read(System.getenv()));
        }
    }
}
