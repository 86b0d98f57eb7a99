package saffronferry;

/**
 * How many repeats of what may have run are allowed. Danger: where all fails, each of a client's tries would
 * become as many attempts as the rules allow. So it is a fifth of the requests and some a second, no more.
 * Data: {@link Dispatcher} decides.
 */
final class RepeatBudget {
    private static final double PART = 0.2;
    private static final double PER_S = 5;
    private static final double MOST = 25; // at once

    private double left = MOST;
    private int processes = 1;

    /** So many processes of this dispatcher share it. */
    void share(int among) {
        processes = among;
        left = Math.min(left, MOST / processes);
    }

    /** A request has come in. */
    void asked() {
        left = Math.min(left + PART, MOST / processes);
    }

    void pass(double seconds) {
        left = Math.min(left + PER_S / processes * seconds, MOST / processes);
    }

    /** Takes one repeat out; false where none is left. */
    boolean take() {
        boolean may = left >= 1;
        left -= may ? 1 : 0;
        return may;
    }
}
