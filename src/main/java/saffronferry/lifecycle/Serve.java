package saffronferry.lifecycle;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import saffronferry.log.BoundedLog;
import saffronferry.log.LogProvider;
import saffronferry.wire.BoundedTransport;
import sun.misc.Signal;

/** The program {@code serve}: a real dispatcher, from its configuration to its end. */
public final class Serve {
    private Serve() {}

    /** Starts it; the process ends with 1 where it cannot run, with 2 where the configuration is at fault. */
    public static void run() {
        BoundedLog log = new BoundedLog();
        AtomicReference<DispatcherServer> serving = new AtomicReference<>();
        AtomicBoolean missed = new AtomicBoolean();
        // first of all: the default of SIGHUP ends the process, and one may come while it starts
        Signal.handle(new Signal("HUP"), s -> {
            missed.set(true);
            reload(serving.get());
        });
        LogProvider.install();
        if (ProcessLimits.hangupIgnored()) {
            // guards operators against a reload that nobody hears: it shows as an old list, and much later
            log.line(
                    "SIGHUP is ignored",
                    "as this process was started: no new configuration is followed;"
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
        // halt: the drain that an exit starts would wait for the loop that hangs
        server.onFatalFailure(() -> Runtime.getRuntime().halt(Watchdog.EXIT_UNABLE));
        Thread drain = new Thread(server::awaitDrain, "drain");
        server.start()
                .onSuccess(v -> {
                    Runtime.getRuntime().addShutdownHook(drain);
                    serving.set(server);
                    if (missed.get()) {
                        // guards against a configuration that changed after we read it; not on the loop
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
