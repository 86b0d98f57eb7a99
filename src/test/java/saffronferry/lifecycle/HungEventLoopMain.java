package saffronferry.lifecycle;

/** A dispatcher whose event loop hangs forever soon after its start, with a short watchdog timeout. */
final class HungEventLoopMain {
    private HungEventLoopMain() {}

    public static void main(String[] args) {
        DispatcherServer server = new DispatcherServer(Config.read(System.getenv()));
        server.onFatalFailure(() -> Runtime.getRuntime().halt(Watchdog.EXIT_UNABLE));
        server.setHangTimeout(1_000);
        server.start()
                .onSuccess(v -> server.runOnLoop(() -> {
                    while (true) {
                        Thread.onSpinWait();
                    }
                }));
    }
}
