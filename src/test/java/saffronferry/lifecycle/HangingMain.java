package saffronferry.lifecycle;

/** A dispatcher whose event loop hangs for good soon after its start; its watchdog has little patience. */
final class HangingMain {
    private HangingMain() {}

    public static void main(String[] args) {
        Node node = new Node(Config.read(System.getenv()));
        node.onUnable(() -> Runtime.getRuntime().halt(Watchdog.EXIT_UNABLE));
        node.patience(1_000);
        node.start()
                .onSuccess(v -> node.onLoop(() -> {
                    while (true) {
                        Thread.onSpinWait();
                    }
                }));
    }
}
