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
 * Lets one request at a time through to the library, and goes on reading meanwhile. Left to itself the
 * library takes in what a client sends behind its open request, stops reading when that is much, and no
 * longer sees that the client closes: its requests would be served for nobody, one after the other. What
 * comes behind an open request waits here, so much at most; what comes beyond that is dropped, and the
 * connection closes when those that wait have their answers.
 */
final class PipeliningHandler extends ChannelDuplexHandler {
    /** Clients send one request at a time; some more are served, in turn. */
    static final int MOST_WAITING = 32;

    private static final int MOST_BYTES = ChannelServer.MAX_BODY_BYTES;

    private final ArrayDeque<HttpObject> waiting = new ArrayDeque<>();
    /** When the first byte came of each request that is yet to be let through, as System.nanoTime counts. */
    private final ArrayDeque<Long> firstBytes = new ArrayDeque<>();

    private long firstByteAt;
    private int heads;
    private int bytes;
    private int unanswered;
    private boolean inRequest;
    private boolean dropping;

    /** The one in a server's connection. */
    static PipeliningHandler of(HttpConnection connection) {
        return ((HttpServerConnection) connection).channel().pipeline().get(PipeliningHandler.class);
    }

    /** A request's head is whole, and the next object to be read here. */
    void comes(long firstByte) {
        firstBytes.add(firstByte);
    }

    /** When the first byte came of the request that was let through last, as System.nanoTime counts. */
    long firstByteAt() {
        return firstByteAt;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (!(msg instanceof HttpObject object) || waiting.isEmpty() && !dropping && mayPass(object)) {
            pass(ctx, msg);
        } else if (dropping || !fits(object)) {
            dropping = true;
            if (msg instanceof HttpRequest) {
                firstBytes.pollLast();
            }
            ReferenceCountUtil.release(msg);
        } else {
            waiting.add(object);
        }
    }

    private boolean mayPass(HttpObject object) {
        return object instanceof HttpRequest ? unanswered == 0 && !inRequest : inRequest;
    }

    private boolean fits(HttpObject object) {
        heads += object instanceof HttpRequest ? 1 : 0;
        bytes += object instanceof HttpContent content ? content.content().readableBytes() : 0;
        return heads <= MOST_WAITING && bytes <= MOST_BYTES;
    }

    private void pass(ChannelHandlerContext ctx, Object msg) {
        if (msg instanceof HttpRequest) {
            unanswered++;
            inRequest = true;
            firstByteAt = firstBytes.poll();
        }
        if (msg instanceof LastHttpContent) {
            inRequest = false;
        }
        ctx.fireChannelRead(msg);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
        boolean answers = msg instanceof LastHttpContent
                && !(msg instanceof HttpResponse response
                        && response.status().code() == HttpResponseStatus.CONTINUE.code());
        ctx.write(msg, promise);
        if (answers) {
            unanswered--;
            if (!waiting.isEmpty() || dropping) {
                // not now: the library is yet to note that this answer is whole
                ctx.executor().execute(() -> release(ctx));
            }
        }
    }

    private void release(ChannelHandlerContext ctx) {
        while (!waiting.isEmpty() && mayPass(waiting.peek())) {
            HttpObject next = waiting.poll();
            heads -= next instanceof HttpRequest ? 1 : 0;
            bytes -= next instanceof HttpContent content ? content.content().readableBytes() : 0;
            pass(ctx, next);
        }
        ctx.fireChannelReadComplete(); // or the library would go on gathering what it writes
        // what is left of a request whose rest was dropped can never be whole
        if (dropping && unanswered == 0 || dropping && waiting.isEmpty() && inRequest) {
            ctx.close();
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        handlerRemoved(ctx);
        ctx.fireChannelInactive();
    }
}
