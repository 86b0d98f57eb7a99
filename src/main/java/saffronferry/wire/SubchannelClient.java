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
import saffronferry.limit.AttemptRoom;
import saffronferry.limit.Descriptors;
import saffronferry.limit.Descriptors.Purpose;
import saffronferry.log.BoundedLog;
import saffronferry.state.CallAttempt;

/** Speaks with subchannels: call attempts and probes. A connection carries one request at a time. */
final class SubchannelClient {
    /** A body holds 64 KiB by the protocol; what a line or an answer has beyond that is nonsense. */
    private static final int MOST_LINE = 128 * 1024;

    private static final int MOST_ANSWER = 1024 * 1024;
    /** How long an answer may go on after the line that ends its attempt, before its connection is closed. */
    private static final long TAIL_MS = 250;
    /** Beyond the time for which a connection may take to open: the margin in which the module decides. */
    private static final long DIAL_SLACK_MS = 25;

    private static final int MOST_PROBE = 16 * 1024;
    private static final long PROBE_WAIT_MS = 500;
    /** To one subchannel, well above its slots: one that hangs must not take the descriptors of all. */
    private static final int MOST_CONNECTIONS = 40;

    private final Vertx vertx;
    private final Dialer attempts;
    private final Dialer probes;
    private final AttemptRoom room;
    private final SubchannelResponseParser answers;
    private final LoadReportParser loads;
    private final BoundedLog log;
    private final long dialMs;

    /**
     * Each attempt opens a connection of its own. A kept one may be dead without a word, and a job written to
     * it ends as a reset that may have run; beside a job's running time a handshake costs next to nothing.
     */
    SubchannelClient(
            Vertx vertx,
            double connectTimeout,
            LoadReportParser loads,
            Descriptors descriptors,
            AttemptRoom room,
            BoundedLog log) {
        this.vertx = vertx;
        this.loads = loads;
        this.room = room;
        this.log = log;
        answers = new SubchannelResponseParser(loads);
        int connectMs = (int) Math.max(1, Math.round(connectTimeout * 1000));
        dialMs = connectMs + DIAL_SLACK_MS;
        HttpClient client = vertx.httpClientBuilder()
                .with(new HttpClientOptions()
                        .setKeepAlive(false)
                        .setTcpNoDelay(true)
                        .setConnectTimeout(connectMs))
                // danger: the builder does not read the most in these options, and takes five: what is beyond
                // would wait inside the library, unseen, for as long as the jobs before it take
                .with(new PoolOptions().setHttp1MaxSize(MOST_CONNECTIONS))
                // guards the log: the attempt hears of a broken connection itself
                .withConnectHandler(connection -> connection.exceptionHandler(e -> {}))
                .build();
        attempts = new Dialer(vertx, client, descriptors, Purpose.WORKERS);
        probes = new Dialer(vertx, client, descriptors, Purpose.PROBES);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /**
     * Starts a call attempt and tells it what comes. Running the result closes its connection. {@code
     * remaining}: microseconds from now until the client is owed an answer.
     */
    Runnable start(ForwardedRequest message, String address, long remaining, CallAttempt attempt) {
        Exchange exchange = new Exchange(message, remaining, attempt);
        attempts.dial(message.method(), Address.parse(address), message.uri(), exchange::connected, exchange::unopened);
        room.look(now());
        return exchange::giveUp;
    }

    /** One call attempt on its connection. */
    private final class Exchange {
        private final ForwardedRequest message;
        private final long remaining;
        private final CallAttempt attempt;
        private final long dialledAt = now();
        private HttpClientRequest request;
        private boolean givenUp;
        private long tail = -1;
        private int read;

        Exchange(ForwardedRequest message, long remaining, CallAttempt attempt) {
            this.message = message;
            this.remaining = remaining;
            this.attempt = attempt;
        }

        void giveUp() {
            givenUp = true;
            if (request != null) {
                Dialer.drop(request);
            }
        }

        void connected(HttpClientRequest r) {
            request = r;
            if (givenUp) {
                Dialer.drop(r);
                return;
            }
            if (attempt.isRepeat() && now() - dialledAt > dialMs) {
                // guards the window for repeats: the decision to send counted on a connection in time
                Dialer.drop(r);
                attempt.ended(Outcome.NOT_SENT, null);
                return;
            }
            attempt.sendStarted();
            r.putHeader("X-Txn", message.txn());
            r.putHeader("X-Remaining-Ms", Long.toString(left()));
            if (message.idempotencyKey() != null) {
                r.putHeader("Idempotency-Key", message.idempotencyKey());
            }
            r.exceptionHandler(this::broken);
            r.response().onSuccess(this::answered).onFailure(this::broken);
            r.end(message.body()).onSuccess(v -> attempt.written()).onFailure(this::unwritten);
        }

        /**
         * What is left to the client now, by its own count, in milliseconds. Guards the subchannel against
         * working on for nobody: the dial has taken its time since the attempt was decided on, and the client
         * counts from when it began to send.
         */
        private long left() {
            return Math.max(1, (remaining - message.arriving()) / 1000 - (now() - dialledAt));
        }

        /** No connection came up: where that is our own want, the balancer is to stop for a while. */
        void unopened(Throwable cause) {
            if (Dialer.unopened(cause) == Outcome.NOT_SENT) {
                room.refused(now());
                vertx.setTimer(AttemptRoom.PAUSE, t -> room.look(now()));
            }
            unwritten(cause);
        }

        /** The last byte was never written, so it is certain that the job never ran. */
        private void unwritten(Throwable cause) {
            // guards a healthy subchannel against being blamed for a connection that we closed ourselves
            if (!givenUp) {
                attempt.ended(Dialer.unopened(cause), null);
            }
        }

        /**
         * The connection broke. It may have run, unless the write itself is told to have failed first:
         * that of a whole request may be told only after the break that followed it.
         */
        private void broken(Throwable cause) {
            vertx.cancelTimer(tail);
            if (!givenUp) {
                attempt.ended(Outcome.RESET, null);
            }
        }

        void answered(HttpClientResponse response) {
            response.exceptionHandler(this::broken);
            if (response.statusCode() != 200) {
                answers.status(
                        attempt,
                        response.statusCode(),
                        response.getHeader("X-Turned-Away"),
                        response.getHeader("X-Pressure"));
            }
            LineSplitter lines = new LineSplitter(MOST_LINE, line -> answers.line(attempt, line));
            response.handler(chunk -> tolerant(() -> feed(lines, chunk)));
            response.endHandler(v -> {
                tolerant(lines::end);
                vertx.cancelTimer(tail);
                attempt.ended(Outcome.RESET, null);
            });
            closeSoonIfOver();
        }

        private void feed(LineSplitter lines, Buffer chunk) {
            read += chunk.length();
            if (read > MOST_ANSWER) {
                throw new IllegalArgumentException("an answer of more than " + MOST_ANSWER + " bytes");
            }
            if (!attempt.isEnded()) {
                lines.feed(chunk);
                closeSoonIfOver();
            }
        }

        /** Guards our descriptors and the subchannel's against answers that go on after their end. */
        private void closeSoonIfOver() {
            if (attempt.isEnded() && tail < 0) {
                tail = vertx.setTimer(TAIL_MS, t -> Dialer.drop(request));
            }
        }

        /** A subchannel that talks nonsense is one that broke: the job may have run. */
        private void tolerant(Runnable read) {
            try {
                read.run();
            } catch (IllegalArgumentException e) {
                log.line("subchannel answer dropped", e.getMessage());
                Dialer.drop(request);
                attempt.ended(Outcome.RESET, null);
            }
        }
    }

    /** Asks for the load if that is still wanted once connected; tells how it ended, and the load or null. */
    void probe(String address, BooleanSupplier wanted, BiConsumer<Outcome, Report> told) {
        Probe probe = new Probe(wanted, told);
        probes.dial(
                HttpMethod.GET,
                Address.parse(address),
                "/metrics/load",
                probe::connected,
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
                Dialer.drop(r);
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
            response.endHandler(v -> end(outcome, outcome == Outcome.OK ? loads.parse(body.toString()) : null));
        }

        private void expire() {
            end(Outcome.TIMEOUT, null); // first, or the reset would be told in its place
            if (request != null) {
                Dialer.drop(request);
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
