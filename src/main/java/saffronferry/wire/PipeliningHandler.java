package saffronferry.wire;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpServerConnection;
import java.util.ArrayDeque;
import java.util.Map;
import saffronferry.limit.PipelineBudget;

/**
 * Passes pipelined requests to the library one at a time, and keeps reading from the connection meanwhile. Without it,
 * the library buffers the input behind an open request and stops reading once the buffer is large. It would then not
 * notice that the client has closed the connection, and would serve all its requests in turn. Requests behind an open
 * one are queued here within a {@link PipelineBudget}. Input beyond it is dropped, and the connection is closed once
 * the queued requests are answered.
 */
final class PipeliningHandler extends ChannelDuplexHandler {
    /** Approximate memory of a queued object, and of a header in it, besides their characters and bytes. */
    private static final int OBJECT_BYTES = 128;

    private static final int HEADER_BYTES = 128;

    private final PipelineBudget.Share budget;
    private final ArrayDeque<HttpObject> queue = new ArrayDeque<>();
    /** The arrival time of the first byte of each request not yet passed on, as {@code System.nanoTime} counts. */
    private final ArrayDeque<Long> firstByteNanosQueue = new ArrayDeque<>();

    private long firstByteNanos;
    private int unanswered;
    private boolean inRequest;
    private boolean dropping;

    PipeliningHandler(PipelineBudget budget) {
        this.budget = budget.new Share();
    }

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

    /** Whether all further input of the connection is dropped. */
    boolean isDropping() {
        return dropping;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (!(msg instanceof HttpObject object)) {
            ctx.fireChannelRead(msg);
        } else if (object.decoderResult().cause() instanceof PrematureChannelClosureException) {
            // the connection ended within a head
            ReferenceCountUtil.release(msg);
        } else if (queue.isEmpty() && !dropping && mayPass(object)) {
            pass(ctx, object);
        } else if (dropping || !budget.tryAdd(requestCount(object), memoryBytes(object))) {
            dropping = true;
            if (msg instanceof HttpRequest) {
                firstByteNanosQueue.pollLast();
            }
            ReferenceCountUtil.release(msg);
        } else {
            queue.add(withOwnContent(object));
        }
    }

    /** Copies content out of the buffer that was read, which would otherwise stay allocated while it is queued. */
    private static HttpObject withOwnContent(HttpObject object) {
        if (!(object instanceof HttpContent content) || !content.content().isReadable()) {
            return object;
        }
        HttpContent copy = content.replace(Unpooled.copiedBuffer(content.content()));
        content.release();
        return copy;
    }

    private boolean mayPass(HttpObject object) {
        return object instanceof HttpRequest ? unanswered == 0 && !inRequest : inRequest;
    }

    private static int requestCount(HttpObject object) {
        return object instanceof HttpRequest ? 1 : 0;
    }

    /** The approximate memory that a queued object takes. */
    private static int memoryBytes(HttpObject object) {
        int bytes = OBJECT_BYTES;
        if (object instanceof HttpRequest request) {
            bytes += request.uri().length() + memoryBytes(request.headers());
        }
        if (object instanceof HttpContent content) {
            bytes += content.content().readableBytes();
        }
        if (object instanceof LastHttpContent last) {
            bytes += memoryBytes(last.trailingHeaders());
        }
        return bytes;
    }

    private static int memoryBytes(HttpHeaders headers) {
        int bytes = 0;
        for (var entries = headers.iteratorCharSequence(); entries.hasNext(); ) {
            Map.Entry<CharSequence, CharSequence> header = entries.next();
            bytes += HEADER_BYTES + header.getKey().length() + header.getValue().length();
        }
        return bytes;
    }

    private void pass(ChannelHandlerContext ctx, HttpObject msg) {
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
        if (!endsResponse) {
            ctx.write(msg, promise);
            return;
        }
        // the next request waits until the client takes this response, so that responses do not pile up in memory
        ctx.write(msg, promise.unvoid()).addListener(written -> {
            unanswered--;
            if (!queue.isEmpty() || dropping) {
                // deferred, because the library may not yet have recorded the end of this response
                ctx.executor().execute(() -> passNextRequest(ctx));
            }
        });
    }

    private void passNextRequest(ChannelHandlerContext ctx) {
        while (!queue.isEmpty() && mayPass(queue.peek())) {
            HttpObject next = queue.poll();
            budget.remove(requestCount(next), memoryBytes(next));
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
        budget.clear();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        handlerRemoved(ctx);
        ctx.fireChannelInactive();
    }
}
