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
import saffronferry.ops.DrainState.Phase;
import saffronferry.ops.Metrics;
import saffronferry.state.Channel;
import saffronferry.state.Ledger;
import saffronferry.state.RpcInfo;

/** Serves clients: reads whole requests, opens an RPC for each and writes its answer. */
public final class ChannelServer {
    static final int MOST_BODY = 64 * 1024;
    private static final int MOST_HEAD = 16 * 1024;
    private static final String TOO_LONG = "a body holds 64 KiB at most";

    private final HttpServer server;
    private final RpcParser parser;
    private final Ledger<HttpMessage> ledger;
    private final Admission admission;
    private final Metrics figures;
    private final BoundedLog log;
    private boolean ready;
    private Phase phase = Phase.SERVING;
    private boolean ending;
    private boolean elsewhere;
    private boolean heard;

    ChannelServer(
            Vertx vertx,
            RpcParser parser,
            Ledger<HttpMessage> ledger,
            BoundedTransport transport,
            Metrics figures,
            BoundedLog log) {
        this.parser = parser;
        this.ledger = ledger;
        this.figures = figures;
        this.log = log;
        admission = new Admission(vertx, transport);
        // guards against silent connections that nobody counts: where HTTP/2 may be spoken too, a
        // connection is announced only once its first bytes are here
        HttpServerOptions options = new HttpServerOptions()
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .setHttp2ClearTextEnabled(false)
                .setAcceptBacklog(1024)
                .setMaxHeaderSize(MOST_HEAD);
        server = vertx.createHttpServer(options);
        server.connectionHandler(connection -> {
            StrictDecoder.install(connection, options);
            admission.connected(connection);
        });
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

    /**
     * How clients are treated from now on. Where the process ends, what comes at the very last is refused;
     * where another process serves at our address, {@code /up} goes on saying yes for it.
     */
    public void drain(Phase next, boolean processEnds, boolean servedElsewhere) {
        phase = next;
        ending = processEnds;
        elsewhere = servedElsewhere;
        if (phase == Phase.CLOSING_IDLE) {
            admission.closeIdle();
        }
    }

    /** Whether a connection is to be closed once its request has its answer. */
    private boolean leaving() {
        return phase.compareTo(Phase.CLOSING_AFTER_RESPONSE) >= 0;
    }

    /** Whether no request is half here, and no answer still on its way out. */
    public boolean settled() {
        return admission.settled();
    }

    /** Whether any request has come. */
    boolean heard() {
        return heard;
    }

    private void handle(HttpServerRequest request) {
        heard = true;
        HttpConnection connection = request.connection();
        request.exceptionHandler(e -> {});
        if (!admission.begin(connection, () -> reject(request, new BadRequest(408, "too slow")))) {
            return;
        }
        request.response().headersEndHandler(v -> {
            // guards a client against a connection that ends without having been told so in the answer
            if (leaving()) {
                request.response().putHeader("Connection", "close");
            }
        });
        request.response().endHandler(v -> {
            admission.answered(connection);
            if ("close".equals(request.response().headers().get("Connection"))) {
                connection.close();
            }
        });
        try {
            framing(request);
            if (request.method() == HttpMethod.GET && "/up".equals(request.path())) {
                admission.whole(connection);
                boolean up = ready && (phase == Phase.SERVING || elsewhere);
                request.response().setStatusCode(up ? 200 : 503).end(up ? "up\n" : "not up\n");
                return;
            }
            if (request.method() != HttpMethod.POST) {
                throw new BadRequest(405, "jobs arrive by POST");
            }
            RpcInfo info = parser.parse(request);
            receive(request, info);
        } catch (BadRequest e) {
            reject(request, e);
        } catch (RuntimeException e) {
            // guards a client against waiting for an answer that an error of ours has swallowed
            reject(request, new BadRequest(500, "internal error: " + e));
        }
    }

    /** Guards against a request that hides another in its body, and against reading what is too long. */
    private static void framing(HttpServerRequest request) throws BadRequest {
        String length = request.getHeader("Content-Length");
        List<String> encodings = request.headers().getAll("Transfer-Encoding");
        if (!encodings.isEmpty() && (length != null || !List.of("chunked").equals(encodings))) {
            throw new BadRequest(400, "a body is framed by Content-Length, or else it is chunked");
        }
        if (length != null && Long.parseLong(length) > MOST_BODY) {
            throw new BadRequest(413, TOO_LONG);
        }
    }

    /** Guards against half a request reaching the balancer: an RPC opens only with its whole body. */
    private void receive(HttpServerRequest request, RpcInfo info) {
        if ("100-continue".equalsIgnoreCase(request.getHeader("Expect"))) {
            request.response().writeContinue();
        }
        Buffer body = Buffer.buffer();
        request.handler(chunk -> {
            if (body.length() + chunk.length() > MOST_BODY) {
                reject(request, new BadRequest(413, TOO_LONG));
            } else {
                body.appendBuffer(chunk);
            }
        });
        request.endHandler(v -> {
            admission.whole(request.connection());
            open(request, info, body);
        });
    }

    private void open(HttpServerRequest request, RpcInfo info, Buffer body) {
        if (ending && phase == Phase.CLOSING_IDLE) {
            // a whole answer to a request read whole, or the close would reset it over its unread rest
            figures.recordResult(info.rpcClass(), Metrics.Result.SHED);
            reject(request, new BadRequest(503, "shutting down"));
            return;
        }
        // guards an open RPC against a newcomer of the same name: workers would take the two for one
        if (ledger.holds(info.name())) {
            reject(request, new BadRequest(409, "a request with this X-Txn is open"));
            return;
        }
        HttpServerResponse response = request.response();
        HttpMessage message = new HttpMessage(
                request.method(),
                request.uri(),
                info.name(),
                request.getHeader("Idempotency-Key"),
                body,
                (System.nanoTime() - Turnstile.of(request.connection()).firstByteAt()) / 1000);
        long[] id = {0};
        response.closeHandler(v -> ledger.clientGone(id[0]));
        response.exceptionHandler(e -> {});
        id[0] = ledger.open(info, message, new HttpChannel(request));
    }

    private void reject(HttpServerRequest request, BadRequest bad) {
        if (ready) {
            log.line("request rejected", bad.getMessage());
        }
        request.handler(null);
        request.endHandler(null);
        admission.doom(request.connection());
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
