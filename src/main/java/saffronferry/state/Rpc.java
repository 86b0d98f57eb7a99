package saffronferry.state;

import java.util.ArrayList;
import java.util.List;

/** The state of one open RPC. Only {@link RpcCoordinator} modifies it. */
public final class Rpc<M> {
    final long id;
    final String name;
    final int rpcClass;
    final M message;
    final long deadline;
    final List<CallAttempt> attempts = new ArrayList<>(1);
    int openAttempts;
    long deadlineTimer;
    /** The client side; null once the client has its final answer or has disconnected. */
    Channel channel;

    Rpc(long id, String name, int rpcClass, M message, long deadline, Channel channel) {
        this.id = id;
        this.name = name;
        this.rpcClass = rpcClass;
        this.message = message;
        this.deadline = deadline;
        this.channel = channel;
    }

    boolean answered() {
        return channel == null;
    }
}
