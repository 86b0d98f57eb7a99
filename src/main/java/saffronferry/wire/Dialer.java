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
import saffronferry.limit.DescriptorBudget;
import saffronferry.limit.DescriptorBudget.Purpose;
import saffronferry.ops.ControlUsage;
import saffronferry.ops.ControlUsage.Kind;

/** Opens one connection per outgoing request, within the file descriptor budget of the purpose. */
final class Dialer {
    /** The failure of a request whose purpose has no file descriptor left. */
    private static final SocketException NO_DESCRIPTOR_LEFT = new NoDescriptorLeftException();

    private final EventLoop loop;
    private final HttpClient client;
    private final DescriptorBudget descriptors;
    private final Purpose purpose;
    /** Null if the traffic of these connections is not counted. */
    private final ByteCounter counter;

    /** Created once and without a stack trace, since it is used when resources are exhausted. */
    private static final class NoDescriptorLeftException extends SocketException {
        private static final long serialVersionUID = 1L;

        NoDescriptorLeftException() {
            super("Too many open files: none left for this purpose");
        }

        @Override
        public synchronized Throwable fillInStackTrace() {
            return this;
        }
    }

    /** Counts the bytes of a connection including HTTP heads; placed directly at the socket. */
    @ChannelHandler.Sharable
    private static final class ByteCounter extends ChannelDuplexHandler {
        private final ControlUsage usage;
        private final Kind kind;

        ByteCounter(ControlUsage usage, Kind kind) {
            this.usage = usage;
            this.kind = kind;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            usage.recordReceived(kind, size(bytes));
            ctx.fireChannelRead(bytes);
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object bytes, ChannelPromise promise) {
            usage.recordSent(kind, size(bytes));
            ctx.write(bytes, promise);
        }

        private static int size(Object bytes) {
            return bytes instanceof ByteBuf b ? b.readableBytes() : 0;
        }
    }

    Dialer(Vertx vertx, HttpClient client, DescriptorBudget descriptors, Purpose purpose) {
        loop = ((VertxInternal) vertx).getOrCreateContext().nettyEventLoop();
        this.client = client;
        this.descriptors = descriptors;
        this.purpose = purpose;
        boolean counted = ((VertxInternal) vertx).transport() instanceof BoundedTransport;
        counter = !counted || purpose == Purpose.WORKERS
                ? null
                : new ByteCounter(
                        ((BoundedTransport) ((VertxInternal) vertx).transport()).controlUsage(),
                        purpose == Purpose.DISCOVERY ? Kind.LISTS : Kind.PROBES);
    }

    /** Opens a connection and passes on the request once it may be written, or the cause of the failure. */
    void dial(
            HttpMethod method,
            Address address,
            String uri,
            Consumer<HttpClientRequest> opened,
            Consumer<Throwable> failed) {
        if (!descriptors.tryTake(purpose)) {
            failed.accept(NO_DESCRIPTOR_LEFT);
            return;
        }
        RequestOptions options =
                new RequestOptions().setMethod(method).setHost(address.host()).setPort(address.port());
        client.request(options.setURI(uri))
                .onSuccess(request -> {
                    releaseAtEndOf(request.connection());
                    if (counter != null) {
                        // before any byte is read or written
                        channel(request.connection()).pipeline().addFirst(counter);
                    }
                    opened.accept(request);
                })
                .onFailure(e -> {
                    release();
                    failed.accept(e);
                });
    }

    /**
     * Cancels a request and closes its connection. Resetting a request that was never written is not enough: the
     * library then leaves the connection open, which would leak it.
     */
    static void abort(HttpClientRequest request) {
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

    /**
     * The outcome of an attempt whose connection could not be opened: {@code NOT_SENT} if this process had no file
     * descriptor or port left, which must not count as a failure of the subchannel.
     */
    static Outcome connectFailureOutcome(Throwable cause) {
        for (Throwable t = cause; t != null; t = t.getCause()) {
            // the library wraps the exception of the socket's creation
            if (t instanceof BindException || String.valueOf(t.getMessage()).contains("open files")) {
                return Outcome.NOT_SENT;
            }
        }
        return Outcome.CONNECT_FAILED;
    }
}
