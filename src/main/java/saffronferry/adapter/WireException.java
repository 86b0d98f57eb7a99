package saffronferry.adapter;

/** Malformed input: says what and where. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(long line, String message) {
        super("line " + line + ": " + message);
    }
}
