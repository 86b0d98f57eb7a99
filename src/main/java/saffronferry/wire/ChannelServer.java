package saffronferry.wire;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Set;
import saffronferry.state.Channel;
import saffronferry.state.Ledger;
import saffronferry.state.RpcInfo;

/** Serves clients: reads whole requests, opens an RPC for each and writes its answer. */
public final class ChannelServer {
    static final int MOST_BODY = 64 * 1024;

    private final HttpServer server;
    private final RpcParser parser;
    private final Ledger<HttpMessage> ledger;
    private final BoundedLog log;
    /** Connections between two requests, the one longest idle first. */
    private final Set<HttpConnection> idle = new LinkedHashSet<>();
    private final int mostConnections;
    private int connections;
    private boolean ready;
    private boolean draining;
    private boolean closing;

    ChannelServer(Vertx vertx, RpcParser parser, Ledger<HttpMessage> ledger, int mostConnections,
            BoundedLog log) {
        this.parser = parser;
        this.ledger = ledger;
        this.mostConnections = mostConnections;
        this.log = log;
        server = vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true).setReuseAddress(true)
                .setAcceptBacklog(1024).setMaxHeaderSize(16 * 1024));
        server.connectionHandler(this::connected);
        server.requestHandler(this::handle);
        server.exceptionHandler(e -> log.line("client connection broke", String.valueOf(e.getMessage())));
    }

    public Future<?> listen(Address at) {
        return server.listen(at.port(), at.host());
    }

    /** From now on {@code GET /up} answers 200. */
    public void ready() {
        ready = true;
    }

    /** From now on answers end their connections, and {@code GET /up} no longer says 200. */
    public void drain() {
        draining = true;
    }

    /** Takes nothing new: closes idle connections, and the others after their answers. */
    public void closeIdle() {
        closing = true;
        Set.copyOf(idle).forEach(HttpConnection::close);
    }

    private void connected(HttpConnection connection) {
        connections++;
        idle.add(connection);
        connection.closeHandler(v -> {
            connections--;
            idle.remove(connection);
        });
        // guards the descriptor limit: beyond our part of it, the client's longest idle connection makes room
        if (connections > mostConnections) {
            idle.iterator().next().close();
        }
    }

    private void handle(HttpServerRequest request) {
        idle.remove(request.connection());
        request.response().endHandler(v -> {
            idle.add(request.connection());
            if (closing) {
                request.connection().close();
            }
        });
        if (request.method() == HttpMethod.GET && "/up".equals(request.path())) {
            boolean up = ready && !draining;
            request.response().setStatusCode(up ? 200 : 503).end(up ? "up\n" : "not up\n");
            return;
        }
        try {
            if (request.method() != HttpMethod.POST) {
                throw new BadRequest(405, "jobs arrive by POST");
            }
            if (closing) {
                // a whole answer, so that a request which crossed the end of listening is not lost
                throw new BadRequest(503, "shutting down");
            }
            receive(request, parser.parse(request));
        } catch (BadRequest e) {
            reject(request, e);
        }
    }

    /** Guards against half a request reaching the balancer: an RPC opens only with its whole body. */
    private void receive(HttpServerRequest request, RpcInfo info) {
        Buffer body = Buffer.buffer();
        request.exceptionHandler(e -> { });
        request.handler(chunk -> {
            if (body.length() + chunk.length() > MOST_BODY) {
                request.handler(null);
                request.endHandler(null);
                reject(request, new BadRequest(413, "a body holds 64 KiB at most"));
            } else {
                body.appendBuffer(chunk);
            }
        });
        request.endHandler(v -> open(request, info, body));
    }

    private void open(HttpServerRequest request, RpcInfo info, Buffer body) {
        HttpServerResponse response = request.response();
        HttpMessage message = new HttpMessage(request.method(), request.uri(), request.getHeader("X-Txn"),
                request.getHeader("Idempotency-Key"), body);
        long[] id = {0};
        response.closeHandler(v -> ledger.clientGone(id[0]));
        response.exceptionHandler(e -> { });
        id[0] = ledger.open(info, message, new HttpChannel(request));
    }

    private void reject(HttpServerRequest request, BadRequest bad) {
        if (ready) {
            log.line("request rejected", bad.getMessage());
        }
        request.response().setStatusCode(bad.status).putHeader("Connection", "close")
                .end(bad.getMessage() + "\n").onComplete(v -> request.connection().close());
    }

    /** Writes the one answer of an RPC. */
    private final class HttpChannel implements Channel {
        private final HttpServerRequest request;

        HttpChannel(HttpServerRequest request) {
            this.request = request;
        }

        @Override
        public void served(String result) {
            end(200, 0, result);
        }

        @Override
        public void refused(long retryAfter) {
            end(503, retryAfter, "refused\n");
        }

        @Override
        public void failed() {
            end(500, 0, "failed\n");
        }

        private void end(int status, long retryAfter, String body) {
            HttpServerResponse response = request.response();
            if (response.closed() || response.ended()) {
                return;
            }
            response.setStatusCode(status);
            if (retryAfter > 0) {
                response.putHeader("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfter / 1e6));
            }
            if (draining) {
                response.putHeader("Connection", "close");
            }
            response.end(body);
        }
    }
}
