package saffronferry.fleet;

/**
 * Limits the cost of peer messages to a fixed part of the value of the dispatcher's requests, whatever the number of
 * peers. It sets how many peers get a message in one exchange and the time until the next one. Times are in
 * microseconds.
 */
public final class PeerMessageBudget {
    /** Part of the total value of requests that peer messages may cost. */
    private static final double MAX_COST_SHARE = 0.006;
    /** Request rate assumed at least, so that a dispatcher without requests stays known to its peers. */
    private static final double MIN_REQUESTS_PER_S = 1;

    private static final double MIN_PRICE = 1e-4;

    private final double bytesPerRequest;
    private final long minPeriod;
    private final long maxPeriod;
    private long bytesSent;

    /**
     * Creates a budget.
     *
     * @param price cost of one datagram of maximum size for each request, relative to the value of the request
     * @param maxDatagramBytes maximum size of a datagram
     * @param minPeriod least time between exchanges
     * @param maxPeriod longest time between exchanges
     */
    public PeerMessageBudget(double price, int maxDatagramBytes, long minPeriod, long maxPeriod) {
        bytesPerRequest = MAX_COST_SHARE / Math.max(price, MIN_PRICE) * maxDatagramBytes;
        this.minPeriod = minPeriod;
        this.maxPeriod = maxPeriod;
    }

    private double bytesPerS(double rate) {
        return bytesPerRequest * Math.max(rate, MIN_REQUESTS_PER_S);
    }

    /** Records a sent datagram. */
    public void recordSent(int bytes) {
        bytesSent += bytes;
    }

    /** Number of peers, at least one, that may get a datagram of that size in one exchange at that request rate. */
    public int fanOut(int peers, int bytes, double rate) {
        return (int) Math.max(1, Math.min(peers, bytesPerS(rate) * minPeriod * 2 / 1e6 / bytes));
    }

    /** Time until the next exchange, by the bytes sent since the last one. */
    public long nextPeriod(double rate) {
        long paidTime = (long) (bytesSent / bytesPerS(rate) * 1e6);
        bytesSent = 0;
        return Math.max(minPeriod, Math.min(maxPeriod, paidTime));
    }
}
