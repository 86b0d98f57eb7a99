package saffronferry.fleet;

/** How a call to discovery, or the watch that it opened, has ended. */
public enum WatchEnd {
    /** The connection was refused or closed at once; the call has cost discovery nothing. */
    DOWN,
    /** The call timed out: discovery's queue is too long already. */
    LATE,
    /** The watch was closed after it had delivered the list; for a call without a list it means {@link #LATE}. */
    ENDED,
    /** The watch has delivered the list and then no more data, although the connection is open. */
    SILENT
}
