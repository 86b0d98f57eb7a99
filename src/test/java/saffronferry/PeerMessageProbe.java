package saffronferry;

/** What a dispatcher that knows only of jobs makes of a datagram. */
public final class PeerMessageProbe {
    private PeerMessageProbe() {}

    public static Object read(byte[] bytes) {
        return PeerMessage.read(bytes, 0);
    }
}
