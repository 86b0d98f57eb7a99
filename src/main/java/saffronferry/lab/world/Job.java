package saffronferry.lab.world;

/** One attempt's job at a worker. */
final class Job {
    final Node node;
    final int life;
    final long rpc;
    final int attempt;
    /** Work left, in microseconds at speed 1. */
    double left;

    boolean running;
    boolean gone;

    Job(Node node, long rpc, int attempt, double work) {
        this.node = node;
        this.life = node.life();
        this.rpc = rpc;
        this.attempt = attempt;
        this.left = work;
    }
}
