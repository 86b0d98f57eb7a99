package saffronferry.wire;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.limit.AttemptCapacity;
import saffronferry.limit.DescriptorBudget;
import saffronferry.limit.DescriptorBudget.Purpose;
import saffronferry.log.BoundedLog;
import saffronferry.state.CallAttempt;

/** The HTTP client for subchannels: call attempts and load probes, with one request per connection. */
final class SubchannelClient {
    /** The protocol limits a body to 64 KiB; longer lines and responses are treated as invalid. */
    private static final int MAX_LINE_BYTES = 128 * 1024;

    private static final int MAX_RESPONSE_BYTES = 1024 * 1024;
    /** How long a response may continue after the line that ends its attempt before its connection is closed. */
    private static final long RESPONSE_END_TIMEOUT_MS = 250;
    /** Added to the connect timeout: the margin that the balancer's decision on a repeat leaves. */
    private static final long DIAL_SLACK_MS = 25;

    private static final int MAX_PROBE_RESPONSE_BYTES = 16 * 1024;
    private static final long PROBE_TIMEOUT_MS = 500;
    /** Well above the slots of a subchannel, but bounded: one that hangs must not exhaust the file descriptors. */
    private static final int MAX_CONNECTIONS_PER_SUBCHANNEL = 40;

    private final Vertx vertx;
    private final Dialer attempts;
    private final Dialer probes;
    private final AttemptCapacity attemptCapacity;
    private final SubchannelResponseParser responseParser;
    private final LoadReportParser loads;
    private final InvalidResponseLog invalidResponses;
    private final long maxDialMs;

    /**
     * Each attempt opens its own connection. A connection kept alive may be broken without notice, and a job written
     * to it would end with a reset after which it may have run. Compared with the running time of a job, the cost of a
     * handshake is negligible.
     */
    SubchannelClient(
            Vertx vertx,
            double connectTimeout,
            LoadReportParser loads,
            DescriptorBudget descriptors,
            AttemptCapacity attemptCapacity,
            BoundedLog log) {
        this.vertx = vertx;
        this.loads = loads;
        this.attemptCapacity = attemptCapacity;
        invalidResponses = new InvalidResponseLog(log);
        responseParser = new SubchannelResponseParser(loads);
        int connectTimeoutMs = (int) Math.max(1, Math.round(connectTimeout * 1000));
        maxDialMs = connectTimeoutMs + DIAL_SLACK_MS;
        HttpClient client = vertx.httpClientBuilder()
                .with(new HttpClientOptions()
                        .setKeepAlive(false)
                        .setTcpNoDelay(true)
                        .setConnectTimeout(connectTimeoutMs))
                // the builder ignores the pool size in the client options and defaults to 5; further attempts would
                // wait unnoticed inside the library until earlier jobs end
                .with(new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_SUBCHANNEL))
                // the attempt itself handles a broken connection; without a handler the library would log it
                .withConnectHandler(connection -> connection.exceptionHandler(e -> {}))
                .build();
        attempts = new Dialer(vertx, client, descriptors, Purpose.WORKERS);
        probes = new Dialer(vertx, client, descriptors, Purpose.PROBES);
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /**
     * Starts a call attempt and reports its events to it.
     *
     * @param remainingMicros the time from now until the client must have an answer
     * @return an action that cancels the attempt and closes its connection
     */
    Runnable start(ForwardedRequest message, String address, long remainingMicros, CallAttempt attempt) {
        Exchange exchange = new Exchange(message, address, remainingMicros, attempt);
        attempts.dial(
                message.method(), Address.parse(address), message.uri(), exchange::connected, exchange::connectFailed);
        attemptCapacity.update(nowMs());
        return exchange::cancel;
    }

    /** One call attempt on its connection. */
    private final class Exchange {
        private final ForwardedRequest message;
        private final String address;
        private final long remainingMicros;
        private final CallAttempt attempt;
        private final long dialStartMs = nowMs();
        private HttpClientRequest request;
        private boolean cancelled;
        private long responseEndTimer = -1;
        private int responseBytes;

        Exchange(ForwardedRequest message, String address, long remainingMicros, CallAttempt attempt) {
            this.message = message;
            this.address = address;
            this.remainingMicros = remainingMicros;
            this.attempt = attempt;
        }

        void cancel() {
            cancelled = true;
            if (request != null) {
                Dialer.abort(request);
            }
        }

        void connected(HttpClientRequest connectedRequest) {
            request = connectedRequest;
            if (cancelled) {
                Dialer.abort(connectedRequest);
                return;
            }
            if (attempt.isRepeat() && nowMs() - dialStartMs > maxDialMs) {
                // the decision to repeat assumed a connection within this time; later, the window may have passed
                Dialer.abort(connectedRequest);
                attempt.ended(Outcome.NOT_SENT, null);
                return;
            }
            attempt.sendStarted();
            connectedRequest.putHeader("X-Txn", message.txn());
            connectedRequest.putHeader("X-Remaining-Ms", Long.toString(clientRemainingMs()));
            if (message.idempotencyKey() != null) {
                connectedRequest.putHeader("Idempotency-Key", message.idempotencyKey());
            }
            connectedRequest.exceptionHandler(this::connectionBroken);
            connectedRequest.response().onSuccess(this::onResponse).onFailure(this::connectionBroken);
            connectedRequest
                    .end(message.body())
                    .onSuccess(v -> attempt.written())
                    .onFailure(this::writeFailed);
        }

        /**
         * The time in milliseconds that the client still waits, as the client measures it, so that the subchannel does
         * not work on a job after the client has stopped waiting. It excludes the time taken to connect since the
         * attempt was decided, and the time in which the request arrived: clients measure from the start of sending.
         */
        private long clientRemainingMs() {
            return Math.max(1, (remainingMicros - message.arrivalMicros()) / 1000 - (nowMs() - dialStartMs));
        }

        /** No connection was opened. If this process lacks resources, the balancer must pause new attempts. */
        void connectFailed(Throwable cause) {
            if (Dialer.connectFailureOutcome(cause) == Outcome.NOT_SENT) {
                attemptCapacity.openFailed(nowMs());
                vertx.setTimer(AttemptCapacity.PAUSE_MS, t -> attemptCapacity.update(nowMs()));
            }
            writeFailed(cause);
        }

        /** The last byte was never written, so it is certain that the job never ran. */
        private void writeFailed(Throwable cause) {
            // a connection closed by this process is no failure of the subchannel
            if (!cancelled) {
                attempt.ended(Dialer.connectFailureOutcome(cause), null);
            }
        }

        /**
         * The connection broke. The job may have run, unless a failed write was reported before: the success of a
         * complete write may be reported only after the break that followed it.
         */
        private void connectionBroken(Throwable cause) {
            vertx.cancelTimer(responseEndTimer);
            if (!cancelled) {
                attempt.ended(Outcome.RESET, null);
            }
        }

        void onResponse(HttpClientResponse response) {
            response.exceptionHandler(this::connectionBroken);
            if (response.statusCode() != 200) {
                responseParser.status(
                        attempt,
                        response.statusCode(),
                        response.getHeader("X-Turned-Away"),
                        response.getHeader("X-Pressure"));
            }
            LineSplitter lines =
                    new LineSplitter(MAX_LINE_BYTES, line -> responseParser.line(attempt, message.txn(), line));
            response.handler(chunk -> endingOnInvalidInput(() -> feed(lines, chunk)));
            response.endHandler(v -> {
                endingOnInvalidInput(lines::end);
                vertx.cancelTimer(responseEndTimer);
                attempt.ended(Outcome.RESET, null);
            });
            scheduleCloseIfEnded();
        }

        private void feed(LineSplitter lines, Buffer chunk) {
            responseBytes += chunk.length();
            if (responseBytes > MAX_RESPONSE_BYTES) {
                throw new IllegalArgumentException("response has more than " + MAX_RESPONSE_BYTES + " bytes");
            }
            if (!attempt.isEnded()) {
                lines.feed(chunk);
                scheduleCloseIfEnded();
            }
        }

        /** Closes the connection soon after the attempt's end, so that endless responses hold no file descriptors. */
        private void scheduleCloseIfEnded() {
            if (attempt.isEnded() && responseEndTimer < 0) {
                responseEndTimer = vertx.setTimer(RESPONSE_END_TIMEOUT_MS, t -> Dialer.abort(request));
            }
        }

        /** Treats an invalid response like a broken connection: the job may have run. */
        private void endingOnInvalidInput(Runnable read) {
            try {
                read.run();
            } catch (IllegalArgumentException e) {
                invalidResponses.report(address, e.getMessage());
                Dialer.abort(request);
                attempt.ended(Outcome.RESET, null);
            }
        }
    }

    /**
     * Requests a load report.
     *
     * @param wanted evaluated once connected; if false, the probe is cancelled
     * @param listener receives the outcome, and the report or null
     */
    void probe(String address, BooleanSupplier wanted, BiConsumer<Outcome, Report> listener) {
        Probe probe = new Probe(wanted, listener);
        probes.dial(
                HttpMethod.GET,
                Address.parse(address),
                "/metrics/load",
                probe::connected,
                e -> probe.end(Dialer.connectFailureOutcome(e), null));
    }

    private final class Probe {
        private final BooleanSupplier wanted;
        private final BiConsumer<Outcome, Report> listener;
        private final long timer = vertx.setTimer(PROBE_TIMEOUT_MS, t -> onTimeout());
        private HttpClientRequest request;
        private boolean ended;

        Probe(BooleanSupplier wanted, BiConsumer<Outcome, Report> listener) {
            this.wanted = wanted;
            this.listener = listener;
        }

        void connected(HttpClientRequest connectedRequest) {
            request = connectedRequest;
            if (ended || !wanted.getAsBoolean()) {
                Dialer.abort(connectedRequest);
                end(Outcome.CANCELLED, null);
                return;
            }
            connectedRequest.exceptionHandler(e -> end(Outcome.RESET, null));
            connectedRequest.response().onSuccess(this::onResponse).onFailure(e -> end(Outcome.RESET, null));
            connectedRequest.end();
        }

        private void onResponse(HttpClientResponse response) {
            Outcome outcome = response.statusCode() == 200 ? Outcome.OK : Outcome.ERROR;
            Buffer body = Buffer.buffer();
            response.exceptionHandler(e -> end(Outcome.RESET, null));
            response.handler(chunk -> {
                if (body.length() + chunk.length() <= MAX_PROBE_RESPONSE_BYTES) {
                    body.appendBuffer(chunk);
                }
            });
            response.endHandler(v -> end(outcome, outcome == Outcome.OK ? loads.parse(body.toString()) : null));
        }

        private void onTimeout() {
            // reported before the abort, which would otherwise be reported as a reset
            end(Outcome.TIMEOUT, null);
            if (request != null) {
                Dialer.abort(request);
            }
        }

        private void end(Outcome outcome, Report load) {
            if (!ended) {
                ended = true;
                vertx.cancelTimer(timer);
                listener.accept(outcome, load);
            }
        }
    }
}
