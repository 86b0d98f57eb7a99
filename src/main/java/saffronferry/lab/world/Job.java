package saffronferry.lab.world;

/** The job of a call attempt at a worker. */
final class Job {
    final EmulatedDispatcher dispatcher;
    final int incarnation;
    final long rpc;
    final int attempt;
    /** Remaining work in microseconds at speed 1. */
    double workLeft;

    boolean running;
    boolean finished;

    Job(EmulatedDispatcher dispatcher, long rpc, int attempt, double work) {
        this.dispatcher = dispatcher;
        this.incarnation = dispatcher.incarnation();
        this.rpc = rpc;
        this.attempt = attempt;
        this.workLeft = work;
    }
}
