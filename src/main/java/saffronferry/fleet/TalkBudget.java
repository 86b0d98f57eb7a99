package saffronferry.fleet;

/**
 * Limits the cost of peer messages to a fixed part of the value of the dispatcher's requests, whatever the number of
 * peers. It sets how many peers get a message in one exchange and the time until the next one. Times are in
 * microseconds.
 */
public final class TalkBudget {
    /** Part of the total value of requests that peer messages may cost. */
    private static final double SPEND = 0.006;
    /** Request rate assumed at least, so that a dispatcher without requests stays known to its peers. */
    private static final double LEAST_RATE = 1;

    private static final double LEAST_PRICE = 1e-4;

    private final double bytesPerRequest;
    private final long shortest;
    private final long longest;
    private long spent;

    /**
     * Creates a budget.
     *
     * @param price cost of one datagram of maximum size for each request, relative to the value of the request
     * @param maxDatagramBytes maximum size of a datagram
     * @param shortest least time between exchanges
     * @param longest longest time between exchanges
     */
    public TalkBudget(double price, int maxDatagramBytes, long shortest, long longest) {
        bytesPerRequest = SPEND / Math.max(price, LEAST_PRICE) * maxDatagramBytes;
        this.shortest = shortest;
        this.longest = longest;
    }

    private double bytesPerS(double rate) {
        return bytesPerRequest * Math.max(rate, LEAST_RATE);
    }

    /** Records a sent datagram. */
    public void spent(int bytes) {
        spent += bytes;
    }

    /** Number of peers, at least one, that may get a datagram of that size in one exchange at that request rate. */
    public int fan(int peers, int bytes, double rate) {
        return (int) Math.max(1, Math.min(peers, bytesPerS(rate) * shortest * 2 / 1e6 / bytes));
    }

    /** Time until the next exchange, by the bytes sent since the last one. */
    public long period(double rate) {
        long paidTime = (long) (spent / bytesPerS(rate) * 1e6);
        spent = 0;
        return Math.max(shortest, Math.min(longest, paidTime));
    }
}
