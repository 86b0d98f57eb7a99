package saffronferry.adapter;

/** Thrown for malformed input; the message has the line number. */
final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ProtocolException(long line, String message) {
        super("line " + line + ": " + message);
    }
}
