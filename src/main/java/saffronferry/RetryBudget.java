package saffronferry;

/**
 * How many repeats of what may have run are allowed. Danger: where all fails, each of a client's tries would
 * become as many attempts as the rules allow. So it is a fifth of the requests, and beside that a part of
 * what the whole fleet may repeat: an even one, whoever hears whom, so that the sum does not grow with the
 * fleet. Data: {@link Dispatcher} decides. Worked out in docs/design/fleet-faults.md.
 */
final class RetryBudget {
    private static final double PART = 0.2;
    /** All together, a second and at once, beside the fifth. */
    private static final double FLEET_PER_S = 20;

    private static final double FLEET_MOST = 100;
    /** One dispatcher, few as it may have: the jobs of one worker that fails must find a repeat each. */
    private static final double LEAST_PER_S = 0.5;

    private static final double LEAST_MOST = 5;
    private static final double ALONE_PER_S = 5;
    private static final double ALONE_MOST = 25;

    private final double perS;
    private final double most;
    private double left;
    private int processes = 1;

    /** For one of so many dispatchers. */
    RetryBudget(int dispatchers) {
        perS = Math.max(LEAST_PER_S, Math.min(ALONE_PER_S, FLEET_PER_S / dispatchers));
        most = Math.max(LEAST_MOST, Math.min(ALONE_MOST, FLEET_MOST / dispatchers));
        left = most;
    }

    /** So many processes of this dispatcher share it. */
    void share(int among) {
        processes = among;
        left = Math.min(left, most / processes);
    }

    /** A request has come in. */
    void asked() {
        left = Math.min(left + PART, most / processes);
    }

    void pass(double seconds) {
        left = Math.min(left + perS / processes * seconds, most / processes);
    }

    /** Takes one repeat out; false where none is left. */
    boolean take() {
        boolean may = left >= 1;
        left -= may ? 1 : 0;
        return may;
    }
}
