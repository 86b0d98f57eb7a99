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
import java.util.List;
import java.util.Locale;
import saffronferry.log.BoundedLog;
import saffronferry.ops.Drain.Phase;
import saffronferry.ops.Figures;
import saffronferry.state.Channel;
import saffronferry.state.RpcCoordinator;
import saffronferry.state.RpcInfo;

/** Serves clients: reads whole requests, opens an RPC for each and writes its answer. */
public final class ChannelServer {
    static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final String BODY_TOO_LONG = "a body holds 64 KiB at most";

    private final HttpServer server;
    private final RpcParser parser;
    private final RpcCoordinator<ForwardedRequest> coordinator;
    private final ClientConnections clientConnections;
    private final Figures figures;
    private final BoundedLog log;
    private boolean ready;
    private Phase phase = Phase.OPEN;
    private boolean processEnding;
    private boolean servedElsewhere;
    private boolean requestReceived;

    ChannelServer(
            Vertx vertx,
            RpcParser parser,
            RpcCoordinator<ForwardedRequest> coordinator,
            BoundedTransport transport,
            Figures figures,
            BoundedLog log) {
        this.parser = parser;
        this.coordinator = coordinator;
        this.figures = figures;
        this.log = log;
        clientConnections = new ClientConnections(vertx, transport);
        // guards against silent connections that nobody counts: where HTTP/2 may be spoken too, a
        // connection is announced only once its first bytes are here
        HttpServerOptions options = new HttpServerOptions()
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .setHttp2ClearTextEnabled(false)
                .setAcceptBacklog(1024)
                .setMaxHeaderSize(MAX_HEAD_BYTES);
        server = vertx.createHttpServer(options);
        server.connectionHandler(connection -> {
            StrictDecoder.install(connection, options);
            clientConnections.connected(connection);
        });
        server.requestHandler(this::handle);
        server.exceptionHandler(e -> log.line("client connection broke", String.valueOf(e.getMessage())));
    }

    public Future<?> listen(Address at) {
        return server.listen(at.port(), at.host());
    }

    /** From now on {@code GET /up} answers 200. */
    public void markReady() {
        ready = true;
    }

    /**
     * How clients are treated from now on. Where the process ends, what comes at the very last is refused;
     * where another process serves at our address, {@code /up} goes on saying yes for it.
     */
    public void setDrainPhase(Phase next, boolean processEnds, boolean otherProcessServes) {
        phase = next;
        processEnding = processEnds;
        servedElsewhere = otherProcessServes;
        if (phase == Phase.EMPTY) {
            clientConnections.closeIdle();
        }
    }

    /** Whether a connection is to be closed once its request has its answer. */
    private boolean leaving() {
        return phase.compareTo(Phase.LEAVING) >= 0;
    }

    /** Whether no request is half here, and no answer still on its way out. */
    public boolean isSettled() {
        return clientConnections.isSettled();
    }

    /** Whether any request has come. */
    boolean hasReceivedRequest() {
        return requestReceived;
    }

    private void handle(HttpServerRequest request) {
        requestReceived = true;
        HttpConnection connection = request.connection();
        request.exceptionHandler(e -> {});
        if (!clientConnections.begin(connection, () -> reject(request, new RejectedRequestException(408, "too slow")))) {
            return;
        }
        request.response().headersEndHandler(v -> {
            // guards a client against a connection that ends without having been told so in the answer
            if (leaving()) {
                request.response().putHeader("Connection", "close");
            }
        });
        request.response().endHandler(v -> {
            clientConnections.answered(connection);
            if ("close".equals(request.response().headers().get("Connection"))) {
                connection.close();
            }
        });
        try {
            checkFraming(request);
            if (request.method() == HttpMethod.GET && "/up".equals(request.path())) {
                clientConnections.whole(connection);
                boolean up = ready && (phase == Phase.OPEN || servedElsewhere);
                request.response().setStatusCode(up ? 200 : 503).end(up ? "up\n" : "not up\n");
                return;
            }
            if (request.method() != HttpMethod.POST) {
                throw new RejectedRequestException(405, "jobs arrive by POST");
            }
            RpcInfo info = parser.parse(request);
            receive(request, info);
        } catch (RejectedRequestException e) {
            reject(request, e);
        } catch (RuntimeException e) {
            // guards a client against waiting for an answer that an error of ours has swallowed
            reject(request, new RejectedRequestException(500, "internal error: " + e));
        }
    }

    /** Guards against a request that hides another in its body, and against reading what is too long. */
    private static void checkFraming(HttpServerRequest request) throws RejectedRequestException {
        String length = request.getHeader("Content-Length");
        List<String> encodings = request.headers().getAll("Transfer-Encoding");
        if (!encodings.isEmpty() && (length != null || !List.of("chunked").equals(encodings))) {
            throw new RejectedRequestException(400, "a body is framed by Content-Length, or else it is chunked");
        }
        if (length != null && Long.parseLong(length) > MAX_BODY_BYTES) {
            throw new RejectedRequestException(413, BODY_TOO_LONG);
        }
    }

    /** Guards against half a request reaching the balancer: an RPC opens only with its whole body. */
    private void receive(HttpServerRequest request, RpcInfo info) {
        if ("100-continue".equalsIgnoreCase(request.getHeader("Expect"))) {
            request.response().writeContinue();
        }
        Buffer body = Buffer.buffer();
        request.handler(chunk -> {
            if (body.length() + chunk.length() > MAX_BODY_BYTES) {
                reject(request, new RejectedRequestException(413, BODY_TOO_LONG));
            } else {
                body.appendBuffer(chunk);
            }
        });
        request.endHandler(v -> {
            clientConnections.whole(request.connection());
            open(request, info, body);
        });
    }

    private void open(HttpServerRequest request, RpcInfo info, Buffer body) {
        if (processEnding && phase == Phase.EMPTY) {
            // a whole answer to a request read whole, or the close would reset it over its unread rest
            figures.answered(info.rpcClass(), Figures.Result.SHED);
            reject(request, new RejectedRequestException(503, "shutting down"));
            return;
        }
        // guards an open RPC against a newcomer of the same name: workers would take the two for one
        if (coordinator.isNameInUse(info.name())) {
            reject(request, new RejectedRequestException(409, "a request with this X-Txn is open"));
            return;
        }
        HttpServerResponse response = request.response();
        ForwardedRequest message = new ForwardedRequest(
                request.method(),
                request.uri(),
                info.name(),
                request.getHeader("Idempotency-Key"),
                body,
                (System.nanoTime() - PipeliningHandler.of(request.connection()).firstByteAt()) / 1000);
        long[] id = {0};
        response.closeHandler(v -> coordinator.clientDisconnected(id[0]));
        response.exceptionHandler(e -> {});
        id[0] = coordinator.open(info, message, new HttpChannel(request));
    }

    private void reject(HttpServerRequest request, RejectedRequestException bad) {
        if (ready) {
            log.line("request rejected", bad.getMessage());
        }
        request.handler(null);
        request.endHandler(null);
        clientConnections.doom(request.connection());
        request.response()
                .setStatusCode(bad.status)
                .putHeader("Connection", "close")
                .end(bad.getMessage() + "\n")
                .onComplete(v -> request.connection().close());
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
            response.end(body);
        }
    }
}
