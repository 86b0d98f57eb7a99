package saffronferry.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.util.List;

/**
 * Leaves both Content-Length and Transfer-Encoding in a head that has both. The library's decoder drops the
 * first of them, so that nobody after it can tell and turn such a request away, which may hide another one.
 * And notes when the first byte of each request came: the library tells of one once its head is whole.
 */
final class StrictDecoder extends VertxHttpRequestDecoder {
    private final PipeliningHandler turnstile;
    private long firstByteAt;
    private boolean inRequest;

    private StrictDecoder(HttpServerOptions options, PipeliningHandler turnstile) {
        super(options);
        this.turnstile = turnstile;
    }

    /** Puts this and the {@link PipeliningHandler} in, before the connection's first bytes are read. */
    static void install(HttpConnection connection, HttpServerOptions options) {
        ChannelHandlerContext library = ((HttpServerConnection) connection).channelHandlerContext();
        PipeliningHandler turnstile = new PipeliningHandler();
        library.pipeline()
                .replace(VertxHttpRequestDecoder.class, "strictDecoder", new StrictDecoder(options, turnstile));
        library.pipeline().addBefore(library.name(), "turnstile", turnstile);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        // an empty line may stand before a request; it may have come long before
        if (!inRequest && buffer.forEachByte(b -> (b & 0xff) <= ' ') >= 0) {
            inRequest = true;
            firstByteAt = System.nanoTime();
        }
        int before = out.size();
        super.decode(ctx, buffer, out);
        for (Object o : out.subList(before, out.size())) {
            if (o instanceof HttpRequest) {
                turnstile.comes(firstByteAt);
            }
            inRequest = inRequest && !(o instanceof LastHttpContent);
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // both stay
    }
}
