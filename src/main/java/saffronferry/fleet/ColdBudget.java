package saffronferry.fleet;

/**
 * Token bucket for the work that this dispatcher may send to one cold worker, filled at its share of the rate that is
 * allowed to all dispatchers together.
 *
 * <p>A job may be sent while the balance is not negative, and is charged afterwards. Many buckets with small shares
 * must not all release a job at the same time: they start with a debt of evenly spread parts of a job, and unused
 * tokens expire after a short time, so that they stay spread. See docs/design/fleet-faults.md. Work is in microseconds
 * of slot time. The clock is passed in.
 */
public final class ColdBudget {
    /** Time for which unused tokens, and an unused right to send a job, are kept. */
    private static final long KEPT = 200_000;
    /** Part of the rate left unused by small shares, since jobs of several dispatchers may coincide. */
    private static final double ROOM = 0.3;
    /** Time for which a computed share is reused: well below the clock error that leases allow for. */
    private static final long LOOK = 25_000;

    private double left;
    /** Tokens accrued since a job was last requested. */
    private double coming;

    private long at;
    /** When the balance last stopped being negative. */
    private long since;

    private double part = 1;
    /** Upper bound of the tokens that are kept unused. */
    private double kept;

    private long lookedAt = Long.MIN_VALUE;
    private boolean begun;
    /** Growth beyond the own share, on evidence from the worker that other shares are unused. */
    public final ShareGrowth growth = new ShareGrowth();

    /** Starts again after a restart of the worker. */
    public void reset() {
        begun = false;
        growth.reset();
    }

    /** This dispatcher's share of the allowed rate at a worker that it guards; see {@link ColdShares#share}. */
    public double part(ColdShares shares, long now, int worker, boolean home) {
        // Recomputed after a pause of the process, during which leases may have expired.
        if (lookedAt == Long.MIN_VALUE || now - lookedAt >= LOOK || now < lookedAt) {
            part = shares.share(now, worker, home);
            lookedAt = now;
        }
        return part;
    }

    /** Whether the share, when last computed, was less than half. */
    public boolean small() {
        return part < 0.5;
    }

    /**
     * Whether a job may be sent now.
     *
     * @param work slot time of the job; 0 only accrues tokens
     * @param part this dispatcher's share of the rate, 0 to 1
     * @param rate slot time that all dispatchers together may send per microsecond
     * @param phase position of this bucket among the fleet's, 0 to 1; see {@link ColdShares#phase}
     */
    public boolean covers(double work, long now, double part, double rate, double phase) {
        if (!begun && work <= 0) {
            return false;
        }
        if (!begun) {
            begun = true;
            left = -phase * (1 - part) * work;
            coming = 0;
            at = now;
            since = now;
        }
        double ownRate = part * rate * (1 - ROOM * (1 - part));
        kept = ownRate * KEPT;
        coming = Math.min(coming + ownRate * Math.max(0, now - at), kept);
        at = Math.max(at, now);
        if (work <= 0) {
            return false;
        }
        // An unused right to send expires: otherwise many dispatchers could use theirs at once.
        if (left >= 0 && now - since > KEPT) {
            left -= (1 - part) * work;
            since = now;
        }
        boolean inDebt = left < 0;
        left = Math.min(left + coming, Math.max(left, kept));
        coming = 0;
        since = inDebt && left >= 0 ? now : since;
        return left >= 0;
    }

    /** Credits transferred budget that is returned unused, up to what would have been kept. */
    public void back(double work) {
        left = Math.min(left + work, Math.max(left, kept));
    }

    /** Charges a job that is sent now; {@code now} is 0 if its start will not be reported. */
    public void send(double work, long now) {
        spend(work);
        growth.jobSent(now);
    }

    /** Charges work that is sent, or budget that is transferred to another dispatcher. */
    public void spend(double work) {
        left -= work;
    }
}
