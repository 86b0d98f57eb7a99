package saffronferry.lifecycle;

import saffronferry.log.BoundedLog;
import saffronferry.log.LogProvider;
import saffronferry.wire.BoundedTransport;
import sun.misc.Signal;

/** The program {@code serve}: a real dispatcher, from its configuration to its end. */
public final class Serve {
    private Serve() { }

    /** Starts it; the process ends with 1 where it cannot run, with 2 where the configuration is at fault. */
    public static void run() {
        BoundedLog log = new BoundedLog();
        LogProvider.install();
        Node node;
        try {
            node = new Node(Config.read(System.getenv()), log, BoundedTransport::new);
        } catch (IllegalArgumentException e) {
            System.err.println("saffronferry: " + e.getMessage());
            System.exit(2);
            return;
        }
        // halt: the drain that an exit starts would wait for the loop that hangs
        node.onUnable(() -> Runtime.getRuntime().halt(Watchdog.EXIT_UNABLE));
        // guards against the default of SIGHUP, which ends the process
        Signal.handle(new Signal("HUP"), s -> node.reload(() -> Config.read(System.getenv())));
        Thread drain = new Thread(node::awaitDrain, "drain");
        node.start().onSuccess(v -> Runtime.getRuntime().addShutdownHook(drain)).onFailure(e -> {
            System.err.println("saffronferry: cannot start: " + e.getMessage());
            System.exit(1);
        });
    }
}
