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
import saffronferry.limit.Descriptors;
import saffronferry.limit.Descriptors.Purpose;

/** Speaks HTTP with operators, one call a connection. What is handled, and what it does, others know. */
public final class ConsoleServer {
    /** Answers one call; the answer may come later, but on the event loop. */
    public interface CallHandler {
        void handle(String method, String path, Reply reply);
    }

    /** Takes the one answer of a call; a second one, or one after the caller has gone, has no effect. */
    public interface Reply {
        void send(int status, String text);
    }

    private static final int MAX_LINE_BYTES = 2 * 1024;
    private static final int MAX_HEAD_BYTES = 8 * 1024;
    private static final int MAX_BODY_BYTES = 4 * 1024;
    /** A call is answered within 1 s; one that is not whole by then, or not read by its caller, ends. */
    private static final long CALL_TIMEOUT_MS = 2_000;

    private final EventLoop loop;
    private final BoundedTransport transport;
    private final BoundedTransport.ListenerAdmission admission;
    private final CallHandler handler;
    /** Calls that are not whole yet, the oldest first. */
    private final Set<CallConnection> unfinished = new LinkedHashSet<>();

    public ConsoleServer(Vertx vertx, Descriptors descriptors, BoundedTransport transport, CallHandler handler) {
        loop = ((VertxInternal) vertx).getOrCreateContext().nettyEventLoop();
        this.transport = transport;
        this.handler = handler;
        admission = new BoundedTransport.ListenerAdmission(new AcceptGate(descriptors, Purpose.CONSOLE, Descriptors.TIGHT_CONSOLE));
        admission.lobby().onSilent(this::makeRoomIfTight);
    }

    /** Opens the listening socket; calls are answered from then on. */
    public io.vertx.core.Future<Void> listen(Address at) {
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
                .bind(at.host(), at.port())
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
     * Guards calls against callers that say nothing, or half a call, and stay: the oldest of them goes. Of
     * both kinds together, or a call whose first byte is on its way would go before half calls of long ago.
     */
    private void makeRoomIfTight() {
        if (!admission.gate().tight()) {
            return;
        }
        Long silentSince = admission.lobby().oldestSince();
        CallConnection half = unfinished.isEmpty() ? null : unfinished.iterator().next();
        if (half != null && (silentSince == null || half.since - silentSince < 0)) {
            half.close();
        } else {
            admission.lobby().closeOldest();
        }
    }

    /** One call, from its first byte to its answer. */
    private final class CallConnection extends SimpleChannelInboundHandler<HttpObject> implements Reply {
        private final Channel channel;
        private final long since;
        private final Future<?> timer;
        private HttpRequest head;
        private int body;
        private boolean handled;
        private boolean answered;

        CallConnection(Channel channel) {
            this.channel = channel;
            since = ((BoundedTransport.AcceptedConnection) channel).since();
            timer = loop.schedule(this::onTimeout, CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            unfinished.add(this);
            makeRoomIfTight();
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
                body += content.content().readableBytes();
                if (body > MAX_BODY_BYTES) {
                    send(413, "a call needs no body\n");
                } else if (part instanceof LastHttpContent && !handled && !answered) {
                    handled = true;
                    unfinished.remove(this);
                    call();
                }
            }
        }

        private void call() {
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
            unfinished.remove(this);
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
                close(); // its caller does not read
            } else {
                send(handled ? 500 : 408, handled ? "not done in time\n" : "the call did not come whole\n");
            }
        }

        void close() {
            unfinished.remove(this);
            channel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            unfinished.remove(this);
            timer.cancel(false);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            close(); // a caller that broke its connection: nobody is left to be told
        }
    }
}
