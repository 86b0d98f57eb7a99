package saffronferry;

/** Decodes a datagram as a peer message, for tests in other packages. */
public final class PeerMessageProbe {
    private PeerMessageProbe() {}

    public static Object read(byte[] bytes) {
        return PeerMessage.decode(bytes, 0);
    }
}
