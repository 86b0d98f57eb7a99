package saffronferry.lifecycle;

import saffronferry.log.BoundedLog;
import saffronferry.log.LogProvider;
import saffronferry.wire.BoundedTransport;
import sun.misc.Signal;

/** Command line: {@code serve} is a real dispatcher, {@code adapter} the same decisions in the simulator. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> serve();
            case "adapter" -> saffronferry.adapter.Main.run();
            default -> {
                System.err.println("usage: java -jar saffronferry.jar serve | adapter");
                System.exit(2);
            }
        }
    }

    private static void serve() {
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
