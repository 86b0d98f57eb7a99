package saffronferry.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.impl.VertxInternal;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import saffronferry.limit.AcceptGate;
import saffronferry.limit.DescriptorBudget;
import saffronferry.limit.DescriptorBudget.Purpose;

/** The HTTP server for operators, with one call per connection. A {@link CallHandler} interprets the calls. */
public final class ConsoleServer {
    /** Answers calls; the reply may be sent later, but on the event loop. */
    public interface CallHandler {
        void handle(String method, String path, Reply reply);
    }

    /** Sends the answer to a call; a second answer, or one after the caller has disconnected, has no effect. */
    public interface Reply {
        void send(int status, String text);
    }

    private static final int MAX_LINE_BYTES = 2 * 1024;
    private static final int MAX_HEAD_BYTES = 8 * 1024;
    private static final int MAX_BODY_BYTES = 4 * 1024;
    /** Calls are answered within 1 s. A call that is incomplete, or whose answer is unread, by then is ended. */
    private static final long CALL_TIMEOUT_MS = 2_000;

    private final EventLoop loop;
    private final BoundedTransport transport;
    private final BoundedTransport.ListenerAdmission admission;
    private final CallHandler handler;
    /** Connections whose call is incomplete, the oldest first. */
    private final Set<CallConnection> incomplete = new LinkedHashSet<>();

    public ConsoleServer(Vertx vertx, DescriptorBudget descriptors, BoundedTransport transport, CallHandler handler) {
        loop = ((VertxInternal) vertx).getOrCreateContext().nettyEventLoop();
        this.transport = transport;
        this.handler = handler;
        admission = new BoundedTransport.ListenerAdmission(
                new AcceptGate(descriptors, Purpose.CONSOLE, DescriptorBudget.LOW_CONSOLE));
        admission.pending().onSilent(this::closeOldestIfScarce);
    }

    /** Opens the listening socket; calls are answered from then on. */
    public io.vertx.core.Future<Void> listen(Address address) {
        Promise<Void> bound = Promise.promise();
        new ServerBootstrap()
                .group(loop)
                .channelFactory(() -> transport.listener(admission))
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 128)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpRequestDecoder(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_BODY_BYTES),
                                        new HttpResponseEncoder(),
                                        new CallConnection(channel));
                    }
                })
                .bind(address.host(), address.port())
                .addListener(f -> {
                    if (f.isSuccess()) {
                        bound.complete();
                    } else {
                        bound.fail(f.cause());
                    }
                });
        return bound.future();
    }

    /**
     * Closes the oldest silent or incomplete connection if file descriptors are short, so that such connections cannot
     * block calls. Both kinds are compared by age: otherwise a new connection whose first byte is in transit would be
     * closed before old incomplete calls.
     */
    private void closeOldestIfScarce() {
        if (!admission.gate().isLow()) {
            return;
        }
        Long oldestSilentNanos = admission.pending().oldestConnectedNanos();
        CallConnection oldestIncomplete =
                incomplete.isEmpty() ? null : incomplete.iterator().next();
        if (oldestIncomplete != null
                && (oldestSilentNanos == null || oldestIncomplete.connectedNanos - oldestSilentNanos < 0)) {
            oldestIncomplete.close();
        } else {
            admission.pending().closeOldest();
        }
    }

    /** The connection of one call, from its first byte to its answer. */
    private final class CallConnection extends SimpleChannelInboundHandler<HttpObject> implements Reply {
        private final Channel channel;
        private final long connectedNanos;
        private final Future<?> timer;
        private HttpRequest head;
        private int bodyBytes;
        private boolean complete;
        private boolean answered;

        CallConnection(Channel channel) {
            this.channel = channel;
            connectedNanos = ((AcceptedConnection) channel).connectedNanos();
            timer = loop.schedule(this::onTimeout, CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            incomplete.add(this);
            closeOldestIfScarce();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (part.decoderResult().isFailure()) {
                send(400, "this is no call that can be read\n");
                return;
            }
            if (part instanceof HttpRequest request) {
                head = request;
            }
            if (part instanceof HttpContent content) {
                bodyBytes += content.content().readableBytes();
                if (bodyBytes > MAX_BODY_BYTES) {
                    send(413, "a call needs no body\n");
                } else if (part instanceof LastHttpContent && !complete && !answered) {
                    complete = true;
                    incomplete.remove(this);
                    handleCall();
                }
            }
        }

        private void handleCall() {
            try {
                handler.handle(head.method().name(), new QueryStringDecoder(head.uri()).path(), this);
            } catch (IllegalArgumentException e) {
                send(400, "the path cannot be read: " + e.getMessage() + "\n");
            }
        }

        @Override
        public void send(int status, String text) {
            if (answered || !channel.isActive()) {
                return;
            }
            answered = true;
            incomplete.remove(this);
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8")
                    .setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        private void onTimeout() {
            if (answered) {
                // the caller has not read the answer
                close();
            } else {
                send(complete ? 500 : 408, complete ? "not done in time\n" : "the call did not come whole\n");
            }
        }

        void close() {
            incomplete.remove(this);
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            incomplete.remove(this);
            timer.cancel(false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // the connection failed, so no answer can be delivered
            close();
        }
    }
}
