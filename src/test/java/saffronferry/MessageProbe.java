package saffronferry;

/** What a dispatcher that knows only of jobs makes of a datagram. */
public final class MessageProbe {
    private MessageProbe() {}

    public static Object read(byte[] bytes) {
        return Message.read(bytes, 0);
    }
}
