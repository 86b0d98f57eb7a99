package saffronferry.wire;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpServerConnection;
import java.util.ArrayDeque;

/**
 * Passes pipelined requests to the library one at a time, and keeps reading from the connection meanwhile. Without it,
 * the library buffers the input behind an open request and stops reading once the buffer is large. It would then not
 * notice that the client has closed the connection, and would serve all its requests in turn. Requests behind an open
 * one are queued here up to a limit. Input beyond the limit is dropped, and the connection is closed once the queued
 * requests are answered.
 */
final class PipeliningHandler extends ChannelDuplexHandler {
    /** Clients are expected to send one request at a time; a limited number of pipelined requests is served in turn. */
    static final int MAX_QUEUED_REQUESTS = 32;

    private static final int MAX_QUEUED_BYTES = ChannelServer.MAX_BODY_BYTES;

    private final ArrayDeque<HttpObject> queue = new ArrayDeque<>();
    /** The arrival time of the first byte of each request not yet passed on, as {@code System.nanoTime} counts. */
    private final ArrayDeque<Long> firstByteNanosQueue = new ArrayDeque<>();

    private long firstByteNanos;
    private int queuedRequests;
    private int queuedBytes;
    private int unanswered;
    private boolean inRequest;
    private boolean dropping;

    /** The handler in the pipeline of a server connection. */
    static PipeliningHandler of(HttpConnection connection) {
        return ((HttpServerConnection) connection).channel().pipeline().get(PipeliningHandler.class);
    }

    /** A request head has been decoded; it is the next request head that this handler reads. */
    void requestDecoded(long firstByteNanos) {
        firstByteNanosQueue.add(firstByteNanos);
    }

    /** When the first byte of the request passed on last arrived, as {@code System.nanoTime} counts. */
    long firstByteNanos() {
        return firstByteNanos;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (!(msg instanceof HttpObject object) || queue.isEmpty() && !dropping && mayPass(object)) {
            pass(ctx, msg);
        } else if (dropping || !countAndCheckLimits(object)) {
            dropping = true;
            if (msg instanceof HttpRequest) {
                firstByteNanosQueue.pollLast();
            }
            ReferenceCountUtil.release(msg);
        } else {
            queue.add(object);
        }
    }

    private boolean mayPass(HttpObject object) {
        return object instanceof HttpRequest ? unanswered == 0 && !inRequest : inRequest;
    }

    private boolean countAndCheckLimits(HttpObject object) {
        queuedRequests += object instanceof HttpRequest ? 1 : 0;
        queuedBytes += object instanceof HttpContent content ? content.content().readableBytes() : 0;
        return queuedRequests <= MAX_QUEUED_REQUESTS && queuedBytes <= MAX_QUEUED_BYTES;
    }

    private void pass(ChannelHandlerContext ctx, Object msg) {
        if (msg instanceof HttpRequest) {
            unanswered++;
            inRequest = true;
            firstByteNanos = firstByteNanosQueue.poll();
        }
        if (msg instanceof LastHttpContent) {
            inRequest = false;
        }
        ctx.fireChannelRead(msg);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
        boolean endsResponse = msg instanceof LastHttpContent
                && !(msg instanceof HttpResponse response
                        && response.status().code() == HttpResponseStatus.CONTINUE.code());
        ctx.write(msg, promise);
        if (endsResponse) {
            unanswered--;
            if (!queue.isEmpty() || dropping) {
                // deferred, because the library has not yet recorded the end of this response
                ctx.executor().execute(() -> passNextRequest(ctx));
            }
        }
    }

    private void passNextRequest(ChannelHandlerContext ctx) {
        while (!queue.isEmpty() && mayPass(queue.peek())) {
            HttpObject next = queue.poll();
            queuedRequests -= next instanceof HttpRequest ? 1 : 0;
            queuedBytes -=
                    next instanceof HttpContent content ? content.content().readableBytes() : 0;
            pass(ctx, next);
        }
        // otherwise the library would keep batching its writes without a flush
        ctx.fireChannelReadComplete();
        // a request whose remaining input was dropped can never become complete
        if (dropping && unanswered == 0 || dropping && queue.isEmpty() && inRequest) {
            ctx.close();
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        queue.forEach(ReferenceCountUtil::release);
        queue.clear();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        handlerRemoved(ctx);
        ctx.fireChannelInactive();
    }
}
