package saffronferry.wire;

/** An IPv4 address and port, in the form of the configuration and of discovery. */
public record Address(String host, int port) {
    /** Parses {@code host:port}; throws an {@link IllegalArgumentException} that quotes malformed text. */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port < 65536) {
                return new Address(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new IllegalArgumentException("not host:port: '" + text + "'");
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
