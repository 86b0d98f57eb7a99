package saffronferry.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.http.impl.HttpClientConnection;
import io.vertx.core.impl.VertxInternal;
import java.net.BindException;
import java.net.SocketException;
import java.util.function.Consumer;
import saffronferry.Contract.Outcome;
import saffronferry.limit.Descriptors;
import saffronferry.limit.Descriptors.Purpose;
import saffronferry.ops.ControlUsage;
import saffronferry.ops.ControlUsage.Kind;

/** Opens a connection for each request that goes out, within what its purpose may hold. */
final class Dialer {
    /** What a request meets where its purpose has no descriptor left. */
    private static final SocketException NONE_LEFT = new NoneLeft();

    private final EventLoop loop;
    private final HttpClient client;
    private final Descriptors descriptors;
    private final Purpose purpose;
    /** Null where nobody counts what goes over these connections. */
    private final ByteCounter counter;

    /** Made once and without a trace: it is thrown when there is little to make anything with. */
    private static final class NoneLeft extends SocketException {
        private static final long serialVersionUID = 1L;

        NoneLeft() {
            super("Too many open files: none left for this purpose");
        }

        @Override
        public synchronized Throwable fillInStackTrace() {
            return this;
        }
    }

    /** Counts what goes over a connection, heads included: it stands next to the socket. */
    @ChannelHandler.Sharable
    private static final class ByteCounter extends ChannelDuplexHandler {
        private final ControlUsage spend;
        private final Kind kind;

        ByteCounter(ControlUsage spend, Kind kind) {
            this.spend = spend;
            this.kind = kind;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            spend.recordReceived(kind, size(bytes));
            ctx.fireChannelRead(bytes);
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object bytes, ChannelPromise promise) {
            spend.recordSent(kind, size(bytes));
            ctx.write(bytes, promise);
        }

        private static int size(Object bytes) {
            return bytes instanceof ByteBuf b ? b.readableBytes() : 0;
        }
    }

    Dialer(Vertx vertx, HttpClient client, Descriptors descriptors, Purpose purpose) {
        loop = ((VertxInternal) vertx).getOrCreateContext().nettyEventLoop();
        this.client = client;
        this.descriptors = descriptors;
        this.purpose = purpose;
        boolean counted = ((VertxInternal) vertx).transport() instanceof BoundedTransport;
        counter = !counted || purpose == Purpose.WORKERS
                ? null
                : new ByteCounter(
                        ((BoundedTransport) ((VertxInternal) vertx).transport()).control(),
                        purpose == Purpose.DISCOVERY ? Kind.LISTS : Kind.PROBES);
    }

    /** Tells of the request once it may be written, or why there is none. */
    void dial(
            HttpMethod method, Address at, String uri, Consumer<HttpClientRequest> opened, Consumer<Throwable> failed) {
        if (!descriptors.take(purpose)) {
            failed.accept(NONE_LEFT);
            return;
        }
        RequestOptions to =
                new RequestOptions().setMethod(method).setHost(at.host()).setPort(at.port());
        client.request(to.setURI(uri))
                .onSuccess(request -> {
                    releaseAtEndOf(request.connection());
                    if (counter != null) {
                        channel(request.connection()).pipeline().addFirst(counter); // before a byte has come or gone
                    }
                    opened.accept(request);
                })
                .onFailure(e -> {
                    release();
                    failed.accept(e);
                });
    }

    /**
     * Gives a request up, and its connection with it. To reset one that was never written is not enough: the
     * library then leaves the connection open, and nobody would use or close it any more.
     */
    static void drop(HttpClientRequest request) {
        request.reset();
        request.connection().close();
    }

    private void releaseAtEndOf(HttpConnection connection) {
        channel(connection).closeFuture().addListener(f -> release());
    }

    private static Channel channel(HttpConnection connection) {
        return ((HttpClientConnection) connection).channel();
    }

    private void release() {
        BoundedTransport.afterNextSelect(loop, () -> descriptors.release(purpose));
    }

    /** Guards a subchannel against being blamed where it was we who had no descriptor left, or no port. */
    static Outcome unopened(Throwable cause) {
        for (Throwable t = cause; t != null; t = t.getCause()) {
            // the library wraps the failure to make a socket
            if (t instanceof BindException || String.valueOf(t.getMessage()).contains("open files")) {
                return Outcome.NOT_SENT;
            }
        }
        return Outcome.CONNECT_FAILED;
    }
}
