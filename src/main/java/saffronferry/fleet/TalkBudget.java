package saffronferry.fleet;

/**
 * What a dispatcher may spend on datagrams: a stated part of what its requests are worth, whatever the number
 * of those it speaks with. It decides how many are told at once, and how long until the next exchange. Times
 * in microseconds.
 */
public final class TalkBudget {
    private static final double SPEND = 0.006; // part of the result that datagrams may cost
    private static final double LEAST_RATE = 1; // requests a second: who has none must be heard of too
    private static final double LEAST_PRICE = 1e-4;

    private final double bytesPerRequest;
    private final long shortest;
    private final long longest;
    private long spent;

    /**
     * The settings' price is that of one datagram of the greatest length to a request.
     *
     * @param shortest the shortest time between exchanges
     * @param longest the longest
     */
    public TalkBudget(double price, int mostBytes, long shortest, long longest) {
        bytesPerRequest = SPEND / Math.max(price, LEAST_PRICE) * mostBytes;
        this.shortest = shortest;
        this.longest = longest;
    }

    private double bytesPerS(double rate) {
        return bytesPerRequest * Math.max(rate, LEAST_RATE);
    }

    /** A datagram has been sent. */
    public void spent(int bytes) {
        spent += bytes;
    }

    /** How many of so many peers may hear a datagram of that size in one exchange, at that rate. */
    public int fan(int peers, int bytes, double rate) {
        return (int) Math.max(1, Math.min(peers, bytesPerS(rate) * shortest * 2 / 1e6 / bytes));
    }

    /** How long until the next exchange, by what has been spent since the last one. */
    public long period(double rate) {
        long paid = (long) (spent / bytesPerS(rate) * 1e6);
        spent = 0;
        return Math.max(shortest, Math.min(longest, paid));
    }
}
