package saffronferry.fleet;

/**
 * What a dispatcher shares with others now, for operators.
 *
 * @param peers dispatchers of the fleet, itself included
 * @param heard of these those whom it hears, itself included
 * @param counted of its zone those to whom it would leave its parts, itself included
 * @param cold workers of its zone that are cold
 * @param guarded of these those that it guards
 * @param part of what all together may send to those it guards, the part that is its own or left to it: 0 to
 *     1, on the mean; 0 where it guards none
 * @param lent slot time that it has lent of such parts since its start, in microseconds
 * @param back of that, what came back unused
 * @param borrowed slot time that it was lent
 */
public record Sharing(
        int peers, int heard, int counted, int cold, int guarded, double part, long lent, long back, long borrowed) {
    /** What it falls back to. */
    public enum Fallback {
        /** It hears all others. */
        NONE,
        /** Some are silent: their parts are nobody's until the worker itself shows that they are free. */
        PARTS,
        /** It hears nobody: its own part, and what workers show. */
        ALONE
    }

    /** A fleet of one has nobody to fall back from. */
    public Fallback fallback() {
        return heard >= peers ? Fallback.NONE : heard > 1 ? Fallback.PARTS : Fallback.ALONE;
    }
}
