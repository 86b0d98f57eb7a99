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
    private static final long MAX_SAVED_US = 200_000;
    /** Part of the rate left unused by small shares, since jobs of several dispatchers may coincide. */
    private static final double COLLISION_MARGIN = 0.3;
    /** Time for which a computed share is reused: well below the clock error that leases allow for. */
    private static final long SHARE_CACHE_US = 25_000;

    private double balance;
    /** Tokens accrued since a job was last requested. */
    private double accrued;

    private long accruedUntil;
    /** When the balance last stopped being negative. */
    private long solventSince;

    private double share = 1;
    /** Upper bound of the tokens that are kept unused. */
    private double maxSaved;

    private long shareComputedAt = Long.MIN_VALUE;
    private boolean started;
    /** Growth beyond the own share, on evidence from the worker that other shares are unused. */
    public final ShareGrowth growth = new ShareGrowth();

    /** Starts again after a restart of the worker. */
    public void reset() {
        started = false;
        growth.reset();
    }

    /** This dispatcher's share of the allowed rate at a worker that it guards; see {@link ColdShares#share}. */
    public double share(ColdShares shares, long now, int worker, boolean inOwnZone) {
        // Recomputed after a pause of the process, during which leases may have expired.
        if (shareComputedAt == Long.MIN_VALUE || now - shareComputedAt >= SHARE_CACHE_US || now < shareComputedAt) {
            share = shares.share(now, worker, inOwnZone);
            shareComputedAt = now;
        }
        return share;
    }

    /** Whether the share, when last computed, was less than half. */
    public boolean hasSmallShare() {
        return share < 0.5;
    }

    /**
     * Whether a job may be sent now.
     *
     * @param work slot time of the job; 0 only accrues tokens
     * @param share this dispatcher's share of the rate, 0 to 1
     * @param rate slot time that all dispatchers together may send per microsecond
     * @param phase position of this bucket among the fleet's, 0 to 1; see {@link ColdShares#phase}
     */
    public boolean covers(double work, long now, double share, double rate, double phase) {
        if (!started && work <= 0) {
            return false;
        }
        if (!started) {
            started = true;
            balance = -phase * (1 - share) * work;
            accrued = 0;
            accruedUntil = now;
            solventSince = now;
        }
        double ownRate = share * rate * (1 - COLLISION_MARGIN * (1 - share));
        maxSaved = ownRate * MAX_SAVED_US;
        accrued = Math.min(accrued + ownRate * Math.max(0, now - accruedUntil), maxSaved);
        accruedUntil = Math.max(accruedUntil, now);
        if (work <= 0) {
            return false;
        }
        // An unused right to send expires: otherwise many dispatchers could use theirs at once.
        if (balance >= 0 && now - solventSince > MAX_SAVED_US) {
            balance -= (1 - share) * work;
            solventSince = now;
        }
        boolean inDebt = balance < 0;
        balance = Math.min(balance + accrued, Math.max(balance, maxSaved));
        accrued = 0;
        solventSince = inDebt && balance >= 0 ? now : solventSince;
        return balance >= 0;
    }

    /** Credits transferred budget that is returned unused, up to what would have been kept. */
    public void refund(double work) {
        balance = Math.min(balance + work, Math.max(balance, maxSaved));
    }

    /** Charges a job that is sent now; {@code now} is 0 if its start will not be reported. */
    public void sendJob(double work, long now) {
        spend(work);
        growth.jobSent(now);
    }

    /** Charges work that is sent, or budget that is transferred to another dispatcher. */
    public void spend(double work) {
        balance -= work;
    }
}
