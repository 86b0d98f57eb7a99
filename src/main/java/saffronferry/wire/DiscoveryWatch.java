package saffronferry.wire;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.function.Consumer;
import saffronferry.fleet.DiscoveryBackoff;
import saffronferry.fleet.WatchEnd;
import saffronferry.limit.DescriptorBudget;
import saffronferry.limit.DescriptorBudget.Purpose;
import saffronferry.log.BoundedLog;
import saffronferry.state.ListUpdate;

/** A watch on discovery's list. Each end, including a timeout, is reported once; the listener decides on a retry. */
final class DiscoveryWatch {
    /** Restarted only by complete lines, since a partial line may never be completed. */
    private static final long SILENCE_TIMEOUT_MS = DiscoveryBackoff.WATCH_SILENCE_TIMEOUT_US / 1000;

    private static final long FIRST_LIST_TIMEOUT_MS = DiscoveryBackoff.FIRST_LIST_TIMEOUT_US / 1000;
    /** A call that ends within this time and without a list has not waited in discovery's queue. */
    private static final long IMMEDIATE_END_MS = 500;

    private static final int MAX_LINE_BYTES = 4 * 1024 * 1024;
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final Vertx vertx;
    private final Dialer dialer;
    private Address discovery;
    private final ListParser parser;
    private final Consumer<ListUpdate> listener;
    private final Consumer<WatchEnd> endListener;
    private final BoundedLog log;
    private Watch current;
    private final Promise<Void> firstResult = Promise.promise();
    /** Whether this discovery service has sent no list yet, so that the known revision is that of another one. */
    private boolean revisionFromOtherDiscovery;

    DiscoveryWatch(
            Vertx vertx,
            Address discovery,
            ListParser parser,
            Consumer<ListUpdate> listener,
            Consumer<WatchEnd> endListener,
            DescriptorBudget descriptors,
            BoundedLog log) {
        this.vertx = vertx;
        this.discovery = discovery;
        this.parser = parser;
        this.listener = listener;
        this.endListener = endListener;
        this.log = log;
        dialer = new Dialer(
                vertx,
                vertx.createHttpClient(new HttpClientOptions()
                        .setKeepAlive(false)
                        .setMaxPoolSize(4)
                        .setConnectTimeout(CONNECT_TIMEOUT_MS)),
                descriptors,
                Purpose.DISCOVERY);
    }

    /** Completes with the first list, or when discovery turns out to be unreachable. */
    Future<Void> firstResult() {
        return firstResult.future();
    }

    /**
     * Starts a watch from a revision on. An active watch continues: a second call would only queue behind it.
     */
    void start(long revision) {
        if (current != null && !current.ended) {
            return;
        }
        current = new Watch();
        dialer.dial(
                HttpMethod.GET,
                discovery,
                "/discovery/hosts?watch=1&from=" + (revisionFromOtherDiscovery ? 0 : revision),
                current::connected,
                current::end);
    }

    /**
     * Switches to another discovery service immediately. Its list is requested from the first revision on, since the
     * two services may count revisions differently: given a revision that it has not reached, the new one might omit
     * changes.
     */
    void switchTo(Address next) {
        if (next.equals(discovery)) {
            return;
        }
        log.line("discovery", "now " + next + ", formerly " + discovery);
        discovery = next;
        revisionFromOtherDiscovery = true;
        if (current != null) {
            stop();
            start(0);
        }
    }

    void stop() {
        if (current != null) {
            current.close();
            current = null;
        }
    }

    private final class Watch {
        private final LineSplitter lines = new LineSplitter(MAX_LINE_BYTES, this::line);
        private HttpClientRequest request;
        private boolean ended;
        /** -1 for no timer: the library numbers timers from 0. */
        private long silenceTimer = -1;

        private final long startNanos = System.nanoTime();
        private boolean listReceived;

        Watch() {
            restartSilenceTimer(FIRST_LIST_TIMEOUT_MS);
        }

        /** Ends the watch after the timeout, since a connection may break without any notification. */
        private void restartSilenceTimer(long ms) {
            vertx.cancelTimer(silenceTimer);
            silenceTimer = vertx.setTimer(ms, t -> end(new IllegalStateException("silence"), true));
        }

        void connected(HttpClientRequest connectedRequest) {
            request = connectedRequest;
            if (ended) {
                Dialer.abort(connectedRequest);
                return;
            }
            connectedRequest.exceptionHandler(this::end);
            connectedRequest.response().onSuccess(this::onResponse).onFailure(this::end);
            connectedRequest.end();
        }

        private void onResponse(HttpClientResponse response) {
            response.exceptionHandler(this::end);
            if (response.statusCode() != 200) {
                end(new IllegalStateException("status " + response.statusCode()));
                return;
            }
            response.endHandler(v -> end(new IllegalStateException("end of the response")));
            response.handler(chunk -> {
                if (!ended) {
                    try {
                        lines.feed(chunk);
                    } catch (IllegalArgumentException e) {
                        end(e);
                    }
                }
            });
        }

        private void line(String line) {
            if (ended) {
                return;
            }
            // the first line of a watch contains the list; empty lines before it do not extend the timeout
            if (listReceived || !line.isEmpty()) {
                restartSilenceTimer(SILENCE_TIMEOUT_MS);
            }
            if (!line.isEmpty()) {
                ListUpdate update = parser.parse(line, invalid -> log.line("list entry left out", invalid));
                revisionFromOtherDiscovery = false;
                listReceived = true;
                listener.accept(update);
                firstResult.tryComplete();
            }
        }

        private void end(Throwable cause) {
            end(cause, false);
        }

        private void end(Throwable cause, boolean timedOut) {
            if (!ended) {
                close();
                log.line("discovery watch ended", String.valueOf(cause.getMessage()));
                WatchEnd watchEnd = classifyEnd(timedOut);
                endListener.accept(watchEnd);
                if (watchEnd == WatchEnd.DOWN) {
                    firstResult.tryComplete();
                }
            }
        }

        private WatchEnd classifyEnd(boolean timedOut) {
            if (listReceived) {
                return timedOut ? WatchEnd.SILENT : WatchEnd.ENDED;
            }
            boolean immediate = System.nanoTime() - startNanos < IMMEDIATE_END_MS * 1_000_000;
            return request == null || immediate ? WatchEnd.DOWN : WatchEnd.LATE;
        }

        void close() {
            ended = true;
            vertx.cancelTimer(silenceTimer);
            if (request != null) {
                Dialer.abort(request);
            }
        }
    }
}
