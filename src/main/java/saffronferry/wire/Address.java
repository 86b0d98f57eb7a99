package saffronferry.wire;

/** An IPv4 address and port, as configuration and discovery write them. */
public record Address(String host, int port) {
    /** Throws an {@link IllegalArgumentException} that quotes what is malformed. */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port < 65536) {
                return new Address(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new IllegalArgumentException("not host:port: '" + text + "'");
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
