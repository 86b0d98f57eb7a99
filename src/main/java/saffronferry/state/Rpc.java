package saffronferry.state;

import java.util.ArrayList;
import java.util.List;

/** One open RPC. Only {@link RpcCoordinator} changes it. */
public final class Rpc<M> {
    final long id;
    final String name;
    final int rpcClass;
    final M message;
    final long deadline;
    final List<CallAttempt> attempts = new ArrayList<>(1);
    int outstanding;
    long timer;
    /** The client's side; null once it has its final answer or is gone. */
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
