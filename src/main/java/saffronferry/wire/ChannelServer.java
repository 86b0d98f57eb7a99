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
import io.vertx.core.http.impl.HttpServerConnection;
import java.util.List;
import java.util.Locale;
import saffronferry.limit.PipelineBudget;
import saffronferry.log.BoundedLog;
import saffronferry.ops.DrainState.Phase;
import saffronferry.ops.Metrics;
import saffronferry.state.Channel;
import saffronferry.state.RpcCoordinator;
import saffronferry.state.RpcInfo;

/** The HTTP server for clients: reads complete requests, opens an RPC for each and writes its answer. */
public final class ChannelServer {
    static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final String BODY_TOO_LONG = "a body holds 64 KiB at most";

    private final HttpServer server;
    private final RpcParser parser;
    private final RpcCoordinator<ForwardedRequest> coordinator;
    private final ClientConnections clientConnections;
    private final Metrics metrics;
    private final BoundedLog log;
    private boolean ready;
    private Phase phase = Phase.SERVING;
    private boolean processEnding;
    private boolean servedElsewhere;
    private boolean requestReceived;

    ChannelServer(
            Vertx vertx,
            RpcParser parser,
            RpcCoordinator<ForwardedRequest> coordinator,
            BoundedTransport transport,
            PipelineBudget pipelineBudget,
            Metrics metrics,
            BoundedLog log) {
        this.parser = parser;
        this.coordinator = coordinator;
        this.metrics = metrics;
        this.log = log;
        clientConnections = new ClientConnections(vertx, transport);
        // with HTTP/2 enabled, the library reports a connection only after its first bytes, so that silent
        // connections would not be counted
        HttpServerOptions options = new HttpServerOptions()
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .setHttp2ClearTextEnabled(false)
                .setAcceptBacklog(1024)
                .setMaxHeaderSize(MAX_HEAD_BYTES);
        server = vertx.createHttpServer(options);
        server.connectionHandler(connection -> {
            StrictDecoder.install(connection, options, pipelineBudget);
            clientConnections.add(connection);
        });
        server.requestHandler(this::handle);
        server.exceptionHandler(e -> log.line("client connection failed", String.valueOf(e.getMessage())));
    }

    public Future<?> listen(Address address) {
        return server.listen(address.port(), address.host());
    }

    /** Makes {@code GET /up} answer 200 from now on. */
    public void markReady() {
        ready = true;
    }

    /**
     * Sets the drain phase.
     *
     * @param processEnds whether the process ends with the drain, so that requests in the last phase are refused
     * @param otherProcessServes whether another process serves at the same address, so that {@code /up} still answers
     *     200
     */
    public void setDrainPhase(Phase next, boolean processEnds, boolean otherProcessServes) {
        phase = next;
        processEnding = processEnds;
        servedElsewhere = otherProcessServes;
        if (phase == Phase.CLOSING_IDLE) {
            clientConnections.closeIdle();
        }
    }

    /** Whether connections are closed once their request is answered. */
    private boolean closesAnsweredConnections() {
        return phase.compareTo(Phase.CLOSING_AFTER_RESPONSE) >= 0;
    }

    /** Whether no request is partially received and no response is waiting to be sent. */
    public boolean isSettled() {
        return clientConnections.isSettled();
    }

    /** Whether any request has been received. */
    boolean hasReceivedRequest() {
        return requestReceived;
    }

    private void handle(HttpServerRequest request) {
        requestReceived = true;
        HttpConnection connection = request.connection();
        long waitedMs = waitBeforeAcceptMs(connection);
        request.exceptionHandler(e -> {});
        if (!clientConnections.requestStarted(
                connection, () -> reject(request, new RejectedRequestException(408, "too slow")))) {
            return;
        }
        request.response().headersEndHandler(v -> {
            // the client has to know from the response that the connection will be closed
            if (closesAnsweredConnections()) {
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
                clientConnections.requestComplete(connection);
                boolean up = ready && (phase == Phase.SERVING || servedElsewhere);
                request.response().setStatusCode(up ? 200 : 503).end(up ? "up\n" : "not up\n");
                return;
            }
            if (request.method() != HttpMethod.POST) {
                throw new RejectedRequestException(405, "jobs arrive by POST");
            }
            RpcInfo info = parser.parse(request);
            receive(request, info.afterWait(waitedMs * 1000));
        } catch (RejectedRequestException e) {
            reject(request, e);
        } catch (RuntimeException e) {
            // the client must get a response even after an internal error
            reject(request, new RejectedRequestException(500, "internal error: " + e));
        }
    }

    /** How long the request may have waited in the backlog; the time that the client states includes this. */
    private static long waitBeforeAcceptMs(HttpConnection connection) {
        return ((HttpServerConnection) connection).channel() instanceof AcceptedConnection accepted
                ? accepted.takeRequestWaitMs()
                : 0;
    }

    /** Rejects ambiguous framing, which allows request smuggling, and bodies that are too long. */
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

    /** Reads the body and opens the RPC once it is complete, so that the balancer never gets a partial request. */
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
            clientConnections.requestComplete(request.connection());
            open(request, info, body);
        });
    }

    private void open(HttpServerRequest request, RpcInfo info, Buffer body) {
        if (processEnding && phase == Phase.CLOSING_IDLE) {
            // answered only when the request is read completely: closing with unread input would reset the
            // connection before the client has read the response
            metrics.recordResult(info.rpcClass(), Metrics.Result.SHED);
            reject(request, new RejectedRequestException(503, "shutting down"));
            return;
        }
        // workers would confuse two open RPCs of the same name
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
                (System.nanoTime() - PipeliningHandler.of(request.connection()).firstByteNanos()) / 1000);
        long[] id = {0};
        response.closeHandler(v -> coordinator.clientDisconnected(id[0]));
        response.exceptionHandler(e -> {});
        id[0] = coordinator.open(info, message, new HttpChannel(request));
    }

    private void reject(HttpServerRequest request, RejectedRequestException rejection) {
        if (ready) {
            log.line("request rejected", rejection.getMessage());
        }
        request.handler(null);
        request.endHandler(null);
        clientConnections.discardInput(request.connection());
        request.response()
                .setStatusCode(rejection.status)
                .putHeader("Connection", "close")
                .end(rejection.getMessage() + "\n")
                .onComplete(v -> request.connection().close());
    }

    /** Writes the final answer of an RPC to the client. */
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
        public void refused(long retryAfterMicros) {
            end(503, retryAfterMicros, "refused\n");
        }

        @Override
        public void failed() {
            end(500, 0, "failed\n");
        }

        private void end(int status, long retryAfterMicros, String body) {
            HttpServerResponse response = request.response();
            if (response.closed() || response.ended()) {
                return;
            }
            response.setStatusCode(status);
            if (retryAfterMicros > 0) {
                response.putHeader("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfterMicros / 1e6));
            }
            response.end(body);
        }
    }
}
