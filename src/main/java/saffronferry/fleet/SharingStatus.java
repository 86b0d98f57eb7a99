package saffronferry.fleet;

/**
 * A dispatcher's sharing of cold workers with the fleet, for operators. Slot times are in microseconds, since the
 * process started.
 *
 * @param dispatchers dispatchers of the fleet, this one included
 * @param heard dispatchers that it receives messages from, this one included
 * @param delegates dispatchers of its zone to which it may delegate its share, this one included
 * @param coldWorkers cold workers of its zone
 * @param guardedWorkers cold workers that it guards, that is, fills on behalf of the others
 * @param meanShare mean share, own and delegated to it, of the budget of the workers that it guards, 0 to 1; 0 if it
 *     guards none
 * @param lentSlotTime slot time of budget that it has transferred to others
 * @param returnedSlotTime part of {@code lentSlotTime} that was returned unused
 * @param borrowedSlotTime slot time of budget that others have transferred to it
 */
public record SharingStatus(
        int dispatchers,
        int heard,
        int delegates,
        int coldWorkers,
        int guardedWorkers,
        double meanShare,
        long lentSlotTime,
        long returnedSlotTime,
        long borrowedSlotTime) {
    /** Degree of degradation when peers are silent. */
    public enum Fallback {
        /** It hears all other dispatchers. */
        NONE,
        /** Some are silent; their shares stay unused until the worker itself shows free slots. */
        PARTS,
        /** It hears no other dispatcher, and has its own share only, plus growth on evidence from workers. */
        ALONE
    }

    /** The current degree; a fleet of one is never degraded. */
    public Fallback fallback() {
        return heard >= dispatchers ? Fallback.NONE : heard > 1 ? Fallback.PARTS : Fallback.ALONE;
    }
}
