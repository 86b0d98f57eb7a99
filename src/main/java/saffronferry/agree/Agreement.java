package saffronferry.agree;

/**
 * How far a dispatcher agrees with others, for operators.
 *
 * @param held changes held, marks of removals among them
 * @param marks of these the marks of removals
 * @param digest equal where the same is held
 * @param newest the newest stamp held, in microseconds; 0 for none
 * @param behind for how long others are known to hold something else, in microseconds; 0 where they do not
 * @param refused changes that were not taken: faulty, ahead of the clock, too old or too many
 * @param dropped datagrams that were forged, garbled, late or of another version
 */
public record Agreement(
        State state,
        int held,
        int marks,
        long digest,
        long newest,
        long behind,
        long bytesOut,
        long bytesIn,
        long refused,
        long dropped) {
    /** Where a dispatcher stands. */
    public enum State {
        /** It hears others. */
        IN_TOUCH,
        /** It has started, and has not found itself equal with another yet. */
        CATCHING_UP,
        /** It has heard nobody for the stated time, and goes on with what it has. */
        ALONE
    }
}
