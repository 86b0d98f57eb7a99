package saffronferry.wire;

/** A request that is turned away unread, mostly with a 4xx; the message tells the client why. */
final class RejectedRequestException extends Exception {
    private static final long serialVersionUID = 1;
    final int status;

    RejectedRequestException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }
}
