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
 * Which connections of clients may stay. A request has so long to arrive whole, counted for the first one
 * from the connection's start, so that silence and half a request cost a descriptor no longer than that.
 * Where clients have few descriptors left, connections that have said nothing make room first, then half
 * requests, then those idle longest; one at work on a request never does. A connection idle between requests
 * has no time limit.
 */
final class ClientConnections {
    /** A client that says nothing, or half a request, is owed an end within 3 s of connecting. */
    static final long REQUEST_MS = 2_000;

    private final Vertx vertx;
    private final AcceptGate gate;
    private final PendingConnections lobby;
    private final Map<HttpConnection, ClientConnection> visits = new HashMap<>();
    /** Those that have begun their first request and not finished it, the oldest first. */
    private final Set<ClientConnection> unfinished = new LinkedHashSet<>();

    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    /** One connection, from its start to its end. */
    private static final class ClientConnection {
        final HttpConnection connection;
        /** Runs out when a request has taken too long; -1 while none is under way. */
        long timer = -1;

        Runnable onTooLate;
        boolean doomed;

        ClientConnection(HttpConnection connection) {
            this.connection = connection;
            onTooLate = connection::close;
        }
    }

    ClientConnections(Vertx vertx, BoundedTransport transport) {
        this.vertx = vertx;
        gate = transport.clientAdmission().gate();
        lobby = transport.clientAdmission().lobby();
        lobby.onSilent(this::makeRoomIfTight);
    }

    void connected(HttpConnection connection) {
        ClientConnection visit = new ClientConnection(connection);
        visits.put(connection, visit);
        await(visit, Math.max(1, REQUEST_MS - waited(connection)));
        connection.closeHandler(v -> forget(visit));
        makeRoomIfTight();
        unfinished.add(visit);
    }

    private static long waited(HttpConnection connection) {
        Channel channel = ((HttpServerConnection) connection).channel();
        return channel instanceof BoundedTransport.AcceptedConnection accepted ? accepted.waitedMs() : 0;
    }

    /**
     * Guards usual clients against crowds that connect and say nothing. Where all are at work nobody has to
     * go: then the gate lets no further ones in.
     */
    private void makeRoomIfTight() {
        if (!gate.tight() || lobby.closeOldest()) {
            return;
        }
        Set<ClientConnection> candidates = unfinished.isEmpty() ? idle : unfinished;
        if (!candidates.isEmpty()) {
            ClientConnection loser = candidates.iterator().next();
            forget(loser); // at once: the next newcomer must not find the same one again
            loser.connection.close();
        }
    }

    private void forget(ClientConnection visit) {
        visits.remove(visit.connection);
        unfinished.remove(visit);
        idle.remove(visit);
        arrived(visit);
    }

    private void await(ClientConnection visit, long ms) {
        visit.timer = vertx.setTimer(ms, t -> {
            visit.timer = -1;
            visit.onTooLate.run();
        });
    }

    private void arrived(ClientConnection visit) {
        if (visit.timer >= 0) {
            vertx.cancelTimer(visit.timer);
            visit.timer = -1;
        }
    }

    /** A request's head has arrived; false if nothing more is taken from this connection. */
    boolean begin(HttpConnection connection, Runnable onTooLate) {
        ClientConnection visit = visits.get(connection);
        if (visit == null || visit.doomed) {
            return false;
        }
        idle.remove(visit);
        visit.onTooLate = onTooLate;
        if (visit.timer < 0) {
            await(visit, REQUEST_MS);
        }
        return true;
    }

    /** The request has arrived whole: how long it now takes is not the client's doing. */
    void whole(HttpConnection connection) {
        ClientConnection visit = visits.get(connection);
        if (visit != null) {
            unfinished.remove(visit);
            arrived(visit);
        }
    }

    /** The request has its answer. */
    void answered(HttpConnection connection) {
        ClientConnection visit = visits.get(connection);
        if (visit != null && !visit.doomed) {
            idle.add(visit);
            makeRoomIfTight(); // newcomers wait outside, and no other moment might come to let them in
        }
    }

    /** What else the connection holds is left unread: it may be part of the request that was turned away. */
    void doom(HttpConnection connection) {
        ClientConnection visit = visits.get(connection);
        if (visit != null) {
            visit.doomed = true;
        }
    }

    /** Whether no request is half here, and all that was answered has left. */
    boolean isSettled() {
        return visits.values().stream().noneMatch(v -> v.timer >= 0 || unsent(v.connection));
    }

    private static boolean unsent(HttpConnection connection) {
        ChannelOutboundBuffer out =
                ((HttpServerConnection) connection).channel().unsafe().outboundBuffer();
        return out != null && out.totalPendingWriteBytes() > 0;
    }

    /** Closes the connections that are at no request; new ones are to be closed as they are answered. */
    void closeIdle() {
        Set.copyOf(idle).forEach(visit -> visit.connection.close());
    }
}
