package saffronferry;

/**
 * Token bucket for retries of attempts that may have run. Without it, an outage would turn each client request into
 * the largest allowed number of attempts. It grants a fifth of the requests plus a fixed rate; that rate is an even
 * share of the fleet's, independent of contact between dispatchers, so that the total does not grow with the fleet.
 * See docs/design/fleet-faults.md.
 */
final class RetryBudget {
    /** Retries for each request. */
    private static final double RETRIES_PER_REQUEST = 0.2;
    /** Fixed rate of the whole fleet, in retries per second. */
    private static final double FLEET_PER_S = 20;
    /** Burst of the whole fleet, in retries. */
    private static final double FLEET_BURST = 100;
    /** Minimum for one dispatcher: enough for one retry of each job of one failed worker. */
    private static final double MIN_PER_S = 0.5;

    private static final double MIN_BURST = 5;
    private static final double MAX_PER_S = 5;
    private static final double MAX_BURST = 25;

    private final double perS;
    private final double burst;
    private double tokens;
    private int processes = 1;

    /** Creates the budget of one of {@code dispatchers} dispatchers. */
    RetryBudget(int dispatchers) {
        perS = Math.max(MIN_PER_S, Math.min(MAX_PER_S, FLEET_PER_S / dispatchers));
        burst = Math.max(MIN_BURST, Math.min(MAX_BURST, FLEET_BURST / dispatchers));
        tokens = burst;
    }

    /** Divides the budget among the running processes of this dispatcher. */
    void shareAmong(int processCount) {
        processes = processCount;
        tokens = Math.min(tokens, burst / processes);
    }

    /** Adds the tokens of one new request. */
    void requestReceived() {
        tokens = Math.min(tokens + RETRIES_PER_REQUEST, burst / processes);
    }

    /** Adds the tokens of the time that has passed. */
    void refill(double seconds) {
        tokens = Math.min(tokens + perS / processes * seconds, burst / processes);
    }

    /** Takes one token for a retry; false if none is left. */
    boolean tryTake() {
        boolean allowed = tokens >= 1;
        tokens -= allowed ? 1 : 0;
        return allowed;
    }
}
