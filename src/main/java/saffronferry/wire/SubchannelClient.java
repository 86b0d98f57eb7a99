package saffronferry.wire;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.limit.AttemptRoom;
import saffronferry.limit.Descriptors;
import saffronferry.limit.Descriptors.Purpose;
import saffronferry.log.BoundedLog;
import saffronferry.state.CallAttempt;

/** Speaks with subchannels: call attempts and probes. A connection carries one request at a time. */
final class SubchannelClient {
    private static final int MOST_LINE = 256 * 1024;
    private static final int MOST_PROBE = 16 * 1024;
    private static final long PROBE_WAIT_MS = 500;
    /** To one subchannel, well above its slots: one that hangs must not take the descriptors of all. */
    private static final int MOST_CONNECTIONS = 40;

    private final Vertx vertx;
    private final Dialer attempts;
    private final Dialer probes;
    private final AttemptRoom room;
    private final AnswerParser answers;
    private final LoadParser loads;
    private final BoundedLog log;

    /**
     * Each attempt opens a connection of its own. A kept one may be dead without a word, and a job written to
     * it ends as a reset that may have run; beside a job's running time a handshake costs next to nothing.
     */
    SubchannelClient(Vertx vertx, double connectTimeout, LoadParser loads, Descriptors descriptors,
            AttemptRoom room, BoundedLog log) {
        this.vertx = vertx;
        this.loads = loads;
        this.room = room;
        this.log = log;
        answers = new AnswerParser(loads);
        HttpClient client = vertx.httpClientBuilder().with(new HttpClientOptions().setKeepAlive(false)
                .setMaxPoolSize(MOST_CONNECTIONS).setTcpNoDelay(true)
                .setConnectTimeout((int) Math.max(1, Math.round(connectTimeout * 1000))))
                // guards the log: the attempt hears of a broken connection itself
                .withConnectHandler(connection -> connection.exceptionHandler(e -> { }))
                .build();
        attempts = new Dialer(vertx, client, descriptors, Purpose.WORKERS);
        probes = new Dialer(vertx, client, descriptors, Purpose.PROBES);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Starts a call attempt and tells it what comes. Running the result closes its connection. */
    Runnable start(HttpMessage message, String address, long remaining, CallAttempt attempt) {
        Exchange exchange = new Exchange(message, remaining, attempt);
        attempts.dial(message.method(), Address.parse(address), message.uri(), exchange::connected,
                exchange::unopened);
        room.look(now());
        return exchange::giveUp;
    }

    /** One call attempt on its connection. */
    private final class Exchange {
        private final HttpMessage message;
        private final long remaining;
        private final CallAttempt attempt;
        private HttpClientRequest request;
        private boolean written;
        private boolean givenUp;

        Exchange(HttpMessage message, long remaining, CallAttempt attempt) {
            this.message = message;
            this.remaining = remaining;
            this.attempt = attempt;
        }

        void giveUp() {
            givenUp = true;
            if (request != null) {
                request.reset();
            }
        }

        void connected(HttpClientRequest r) {
            request = r;
            if (givenUp) {
                r.reset();
                return;
            }
            attempt.begun();
            r.putHeader("X-Txn", message.txn());
            r.putHeader("X-Remaining-Ms", Long.toString(Math.max(1, remaining / 1000)));
            if (message.idempotencyKey() != null) {
                r.putHeader("Idempotency-Key", message.idempotencyKey());
            }
            r.exceptionHandler(this::broken);
            r.response().onSuccess(this::answered).onFailure(this::broken);
            r.end(message.body()).onSuccess(v -> written()).onFailure(this::broken);
        }

        private void written() {
            written = true;
            attempt.written();
        }

        /** No connection came up: where that is our own want, the balancer is to stop for a while. */
        void unopened(Throwable cause) {
            if (Dialer.unopened(cause) == Outcome.NOT_SENT) {
                room.refused(now());
                vertx.setTimer(AttemptRoom.PAUSE, t -> room.look(now()));
            }
            broken(cause);
        }

        /** Only before the last byte is written is it certain that the job never ran. */
        void broken(Throwable cause) {
            // guards a healthy subchannel against being blamed for a connection that we closed ourselves
            if (!givenUp) {
                attempt.ended(written ? Outcome.RESET : Dialer.unopened(cause), null);
            }
        }

        void answered(HttpClientResponse response) {
            if (response.statusCode() != 200) {
                answers.status(attempt, response.statusCode(), response.getHeader("X-Turned-Away"),
                        response.getHeader("X-Pressure"));
                response.exceptionHandler(e -> { });
                return;
            }
            Lines lines = new Lines(MOST_LINE, line -> answers.line(attempt, line));
            response.exceptionHandler(this::broken);
            response.handler(chunk -> tolerant(() -> lines.feed(chunk)));
            response.endHandler(v -> {
                tolerant(lines::end);
                attempt.ended(Outcome.RESET, null);
            });
        }

        /** A subchannel that talks nonsense is one that broke: the job may have run. */
        private void tolerant(Runnable read) {
            try {
                read.run();
            } catch (IllegalArgumentException e) {
                log.line("subchannel answer dropped", e.getMessage());
                request.reset();
                attempt.ended(Outcome.RESET, null);
            }
        }
    }

    /** Asks for the load if that is still wanted once connected; tells how it ended, and the load or null. */
    void probe(String address, BooleanSupplier wanted, BiConsumer<Outcome, Report> told) {
        Probe probe = new Probe(wanted, told);
        probes.dial(HttpMethod.GET, Address.parse(address), "/metrics/load", probe::connected,
                e -> probe.end(Dialer.unopened(e), null));
    }

    private final class Probe {
        private final BooleanSupplier wanted;
        private final BiConsumer<Outcome, Report> told;
        private final long timer = vertx.setTimer(PROBE_WAIT_MS, t -> expire());
        private HttpClientRequest request;
        private boolean over;

        Probe(BooleanSupplier wanted, BiConsumer<Outcome, Report> told) {
            this.wanted = wanted;
            this.told = told;
        }

        void connected(HttpClientRequest r) {
            request = r;
            if (over || !wanted.getAsBoolean()) {
                r.reset();
                end(Outcome.CANCELLED, null);
                return;
            }
            r.exceptionHandler(e -> end(Outcome.RESET, null));
            r.response().onSuccess(this::answered).onFailure(e -> end(Outcome.RESET, null));
            r.end();
        }

        private void answered(HttpClientResponse response) {
            Outcome outcome = response.statusCode() == 200 ? Outcome.OK : Outcome.ERROR;
            Buffer body = Buffer.buffer();
            response.exceptionHandler(e -> end(Outcome.RESET, null));
            response.handler(chunk -> {
                if (body.length() + chunk.length() <= MOST_PROBE) {
                    body.appendBuffer(chunk);
                }
            });
            response.endHandler(v ->
                    end(outcome, outcome == Outcome.OK ? loads.parse(body.toString()) : null));
        }

        private void expire() {
            end(Outcome.TIMEOUT, null); // first, or the reset would be told in its place
            if (request != null) {
                request.reset();
            }
        }

        private void end(Outcome outcome, Report load) {
            if (!over) {
                over = true;
                vertx.cancelTimer(timer);
                told.accept(outcome, load);
            }
        }
    }
}
