package saffronferry.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpServerConnection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import saffronferry.limit.AcceptGate;

/**
 * Tracks client connections, enforces the request timeout and selects connections to close. A request must arrive
 * completely within the timeout, which for the first request starts with the connection, so that silent connections
 * and partial requests hold a file descriptor no longer than that. When clients have few file descriptors left,
 * connections that have sent nothing are closed first, then those with a partial first request, then those that have
 * been idle longest. A connection with a request in progress is never closed for that. A connection that is idle
 * between requests has no timeout.
 */
final class ClientConnections {
    /** Silent connections and partial requests must be ended within 3 s of connecting. */
    static final long REQUEST_TIMEOUT_MS = 2_000;

    private final Vertx vertx;
    private final AcceptGate gate;
    private final PendingConnections pending;
    private final Map<HttpConnection, ClientConnection> connections = new HashMap<>();
    /** Connections whose first request has begun and is not complete, the oldest first. */
    private final Set<ClientConnection> inFirstRequest = new LinkedHashSet<>();

    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    /** The state of one connection. */
    private static final class ClientConnection {
        final HttpConnection connection;
        /** Id of the request timeout's timer; -1 while no request is arriving. */
        long timer = -1;

        Runnable onTimeout;
        boolean discardsInput;

        ClientConnection(HttpConnection connection) {
            this.connection = connection;
            onTimeout = connection::close;
        }
    }

    ClientConnections(Vertx vertx, BoundedTransport transport) {
        this.vertx = vertx;
        gate = transport.clientAdmission().gate();
        pending = transport.clientAdmission().pending();
        pending.onSilent(this::closeOldestIfScarce);
    }

    void add(HttpConnection connection) {
        ClientConnection client = new ClientConnection(connection);
        connections.put(connection, client);
        startTimeout(client, Math.max(1, REQUEST_TIMEOUT_MS - ageMs(connection)));
        connection.closeHandler(v -> remove(client));
        closeOldestIfScarce();
        inFirstRequest.add(client);
    }

    private static long ageMs(HttpConnection connection) {
        Channel channel = ((HttpServerConnection) connection).channel();
        return channel instanceof AcceptedConnection accepted ? accepted.ageMs() : 0;
    }

    /**
     * Closes one connection without a request in progress if file descriptors are short, so that clients that connect
     * and send nothing cannot lock out others. If all connections have a request in progress, none is closed and the
     * gate admits no further ones.
     */
    private void closeOldestIfScarce() {
        if (!gate.isLow() || pending.closeOldest()) {
            return;
        }
        Set<ClientConnection> candidates = inFirstRequest.isEmpty() ? idle : inFirstRequest;
        if (!candidates.isEmpty()) {
            ClientConnection oldest = candidates.iterator().next();
            // removed before the close completes, so that the next call selects another one
            remove(oldest);
            oldest.connection.close();
        }
    }

    private void remove(ClientConnection client) {
        connections.remove(client.connection);
        inFirstRequest.remove(client);
        idle.remove(client);
        cancelTimeout(client);
    }

    private void startTimeout(ClientConnection client, long ms) {
        client.timer = vertx.setTimer(ms, t -> {
            client.timer = -1;
            client.onTimeout.run();
        });
    }

    private void cancelTimeout(ClientConnection client) {
        if (client.timer >= 0) {
            vertx.cancelTimer(client.timer);
            client.timer = -1;
        }
    }

    /** The head of a request has arrived; returns false if no more input is accepted from this connection. */
    boolean requestStarted(HttpConnection connection, Runnable onTimeout) {
        ClientConnection client = connections.get(connection);
        if (client == null || client.discardsInput) {
            return false;
        }
        idle.remove(client);
        client.onTimeout = onTimeout;
        if (client.timer < 0) {
            startTimeout(client, REQUEST_TIMEOUT_MS);
        }
        return true;
    }

    /** The request has arrived completely; from here on its duration does not depend on the client. */
    void requestComplete(HttpConnection connection) {
        ClientConnection client = connections.get(connection);
        if (client != null) {
            inFirstRequest.remove(client);
            cancelTimeout(client);
        }
    }

    /** The response to the request has been written. */
    void answered(HttpConnection connection) {
        ClientConnection client = connections.get(connection);
        if (client != null && !client.discardsInput) {
            idle.add(client);
            // connections may wait in the backlog, and no later event might let them in
            closeOldestIfScarce();
        }
    }

    /** Discards further input of the connection: it may be part of the rejected request. */
    void discardInput(HttpConnection connection) {
        ClientConnection client = connections.get(connection);
        if (client != null) {
            client.discardsInput = true;
        }
    }

    /** Whether no request is partially received and no response is waiting to be sent. */
    boolean isSettled() {
        return connections.values().stream().noneMatch(c -> c.timer >= 0 || hasUnsentBytes(c.connection));
    }

    private static boolean hasUnsentBytes(HttpConnection connection) {
        ChannelOutboundBuffer out =
                ((HttpServerConnection) connection).channel().unsafe().outboundBuffer();
        return out != null && out.totalPendingWriteBytes() > 0;
    }

    /** Closes the idle connections; the caller has to close the others as they are answered. */
    void closeIdle() {
        Set.copyOf(idle).forEach(client -> client.connection.close());
    }
}
