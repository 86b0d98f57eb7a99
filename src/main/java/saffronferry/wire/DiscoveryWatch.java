package saffronferry.wire;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.function.Consumer;
import saffronferry.fleet.CallPace;
import saffronferry.fleet.WatchEnd;
import saffronferry.limit.Descriptors;
import saffronferry.limit.Descriptors.Purpose;
import saffronferry.log.BoundedLog;
import saffronferry.state.ListUpdate;

/** Keeps one watch on discovery's list. Any end, silence too, is told once; others ask again. */
final class DiscoveryWatch {
    /** Only a whole line is a sign of life: half a one may never end. */
    private static final long SILENCE_MS = CallPace.SILENCE / 1000;

    private static final long FIRST_LIST_MS = CallPace.FIRST_LIST / 1000;
    /** What ends sooner than this after the call, with nothing told, has not waited in the queue. */
    private static final long AT_ONCE_MS = 500;

    private static final int MOST_LINE = 4 * 1024 * 1024;
    private static final int CONNECT_MS = 1_000;

    private final Vertx vertx;
    private final Dialer dialer;
    private Address discovery;
    private final ListParser parser;
    private final Consumer<ListUpdate> listener;
    private final Consumer<WatchEnd> lost;
    private final BoundedLog log;
    private Watch current;
    private final Promise<Void> firstWord = Promise.promise();
    /** Whether this discovery has told nothing yet, so that the revision held is another's. */
    private boolean strange;

    DiscoveryWatch(
            Vertx vertx,
            Address discovery,
            ListParser parser,
            Consumer<ListUpdate> listener,
            Consumer<WatchEnd> lost,
            Descriptors descriptors,
            BoundedLog log) {
        this.vertx = vertx;
        this.discovery = discovery;
        this.parser = parser;
        this.listener = listener;
        this.lost = lost;
        this.log = log;
        dialer = new Dialer(
                vertx,
                vertx.createHttpClient(new HttpClientOptions()
                        .setKeepAlive(false)
                        .setMaxPoolSize(4)
                        .setConnectTimeout(CONNECT_MS)),
                descriptors,
                Purpose.DISCOVERY);
    }

    /** Completes with the first list, or when discovery turns out to be unreachable. */
    Future<Void> firstWord() {
        return firstWord.future();
    }

    /** Watches from a revision on. One that is under way goes on: asking twice would queue behind it. */
    void start(long revision) {
        if (current != null && !current.over) {
            return;
        }
        current = new Watch();
        dialer.dial(
                HttpMethod.GET,
                discovery,
                "/discovery/hosts?watch=1&from=" + (strange ? 0 : revision),
                current::connected,
                current::end);
    }

    /**
     * Goes over to another discovery at once. It is asked from the first revision on, since its count need
     * not be that of the one before: from a number that it has not reached, it might leave changes out.
     */
    void follow(Address next) {
        if (next.equals(discovery)) {
            return;
        }
        log.line("discovery", "now " + next + ", formerly " + discovery);
        discovery = next;
        strange = true;
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
        private final LineSplitter lines = new LineSplitter(MOST_LINE, this::line);
        private HttpClientRequest request;
        private boolean over;
        /** None yet: the library counts timers from 0, and another one may have that number. */
        private long silence = -1;

        private final long calledAt = System.nanoTime();
        private boolean told;

        Watch() {
            await(FIRST_LIST_MS);
        }

        /** Guards against a watch that is cut off without a word: a new one must start within the limit. */
        private void await(long ms) {
            vertx.cancelTimer(silence);
            silence = vertx.setTimer(ms, t -> ended(new IllegalStateException("silence"), true));
        }

        void connected(HttpClientRequest r) {
            request = r;
            if (over) {
                Dialer.drop(r);
                return;
            }
            r.exceptionHandler(this::end);
            r.response().onSuccess(this::answered).onFailure(this::end);
            r.end();
        }

        private void answered(HttpClientResponse response) {
            response.exceptionHandler(this::end);
            if (response.statusCode() != 200) {
                end(new IllegalStateException("status " + response.statusCode()));
                return;
            }
            response.endHandler(v -> end(new IllegalStateException("end of the answer")));
            response.handler(chunk -> {
                if (!over) {
                    try {
                        lines.feed(chunk);
                    } catch (IllegalArgumentException e) {
                        end(e);
                    }
                }
            });
        }

        private void line(String line) {
            if (over) {
                return;
            }
            // guards against a call that tells no list and yet goes on: the first line of a watch holds one
            if (told || !line.isEmpty()) {
                await(SILENCE_MS);
            }
            if (!line.isEmpty()) {
                ListUpdate update = parser.parse(line, bad -> log.line("list entry left out", bad));
                strange = false;
                told = true;
                listener.accept(update);
                firstWord.tryComplete();
            }
        }

        private void end(Throwable cause) {
            ended(cause, false);
        }

        private void ended(Throwable cause, boolean silent) {
            if (!over) {
                close();
                log.line("watch lost", String.valueOf(cause.getMessage()));
                WatchEnd how = how(silent);
                lost.accept(how);
                if (how == WatchEnd.DOWN) {
                    firstWord.tryComplete();
                }
            }
        }

        private WatchEnd how(boolean silent) {
            if (told) {
                return silent ? WatchEnd.SILENT : WatchEnd.ENDED;
            }
            boolean atOnce = System.nanoTime() - calledAt < AT_ONCE_MS * 1_000_000;
            return request == null || atOnce ? WatchEnd.DOWN : WatchEnd.LATE;
        }

        void close() {
            over = true;
            vertx.cancelTimer(silence);
            if (request != null) {
                Dialer.drop(request);
            }
        }
    }
}
