package saffronferry.fleet;

/**
 * What may be sent to one cold worker now, out of what all together may send: a bucket filled at the part of
 * the whole rate that is ours. A job goes when the bucket owes nothing, and is paid for after. So that many
 * buckets, each with a small part, let no job each go at once, they begin owing evenly spread parts of a
 * job, and what nobody asks for is lost but for a little time's worth; so they stay spread. Worked out in
 * docs/design/fleet-faults.md. Work in microseconds of slot time. Pure: the clock is handed in.
 */
public final class ColdBudget {
    /** So much time's worth is kept for a job that comes a little later, and a right to send one as long. */
    private static final long KEPT = 200_000;
    /** Who has all of it knows what was sent. Where many each have a part, their jobs meet by chance. */
    private static final double ROOM = 0.3;
    /** For so long a part once worked out is taken to stand: well below what leases allow for clocks. */
    private static final long LOOK = 25_000;

    private double left;
    private double coming; // filled since a job last asked
    private long at;
    private long since; // when it last came to owe nothing
    private double part = 1;
    private double kept; // the most that is kept of what nobody asks for
    private long lookedAt = Long.MIN_VALUE;
    private boolean begun;
    /** What the worker itself shows of the others' parts. */
    public final Growth growth = new Growth();

    /** The worker has started anew. */
    public void reset() {
        begun = false;
        growth.reset();
    }

    /** Our part of the whole now, at a worker that we guard ({@link ColdShares#part}). */
    public double part(ColdShares shares, long now, int worker, boolean home) {
        // guards against a lease that ran out while this process was stopped
        if (lookedAt == Long.MIN_VALUE || now - lookedAt >= LOOK || now < lookedAt) {
            part = shares.part(now, worker, home);
            lookedAt = now;
        }
        return part;
    }

    /** Whether, when last looked at, most of the whole was in other hands. */
    public boolean small() {
        return part < 0.5;
    }

    /**
     * Whether so much may be spent now.
     *
     * @param work what is asked; 0 only lets time pass
     * @param part ours of the whole, 0 to 1
     * @param rate what all together may send in a microsecond
     * @param phase of our bucket among the fleet's, 0 to 1 ({@link ColdShares#phase})
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
        double ours = part * rate * (1 - ROOM * (1 - part));
        kept = ours * KEPT;
        coming = Math.min(coming + ours * Math.max(0, now - at), kept);
        at = Math.max(at, now);
        if (work <= 0) {
            return false;
        }
        // guards against rights that many have gathered while other workers had room, used all at once
        if (left >= 0 && now - since > KEPT) {
            left -= (1 - part) * work;
            since = now;
        }
        boolean owed = left < 0;
        left = Math.min(left + coming, Math.max(left, kept));
        coming = 0;
        since = owed && left >= 0 ? now : since;
        return left >= 0;
    }

    /** Some that was lent comes back unspent; what could not have been kept meanwhile is lost. */
    public void back(double work) {
        left = Math.min(left + work, Math.max(left, kept));
    }

    /** A job of ours is sent at that time; 0 where nobody will tell of its start. */
    public void send(double work, long now) {
        spend(work);
        growth.sent(now);
    }

    /** Some of it is sent, or lent: whoever it is lent to may spend it, or lose it, and we do not. */
    public void spend(double work) {
        left -= work;
    }
}
