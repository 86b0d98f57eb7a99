package saffronferry.wire;

/** A request that is rejected without processing, mostly with a 4xx status; the message is sent to the client. */
final class RejectedRequestException extends Exception {
    private static final long serialVersionUID = 1;
    final int status;

    RejectedRequestException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }
}
