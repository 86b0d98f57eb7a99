package saffronferry.state;

/**
 * What a client's message says of its RPC, whatever the protocol. Class and tenant are indices into the
 * settings, -1 for no tenant; {@code name} is the client's own id for it; {@code remaining}: microseconds the
 * client will wait.
 */
public record RpcInfo(String name, int rpcClass, int tenant, long remaining, int slots,
                      boolean repeat) { }
