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
 * Decodes requests like the library's decoder, with two additions. It keeps both Content-Length and Transfer-Encoding
 * in a head that has both: the library's decoder drops Content-Length, so that later handlers could not recognize and
 * reject such a request, which may smuggle another one. It also records when the first byte of each request arrived,
 * since the library reports a request only once its head is complete.
 */
final class StrictDecoder extends VertxHttpRequestDecoder {
    private final PipeliningHandler pipelining;
    private long firstByteNanos;
    private boolean inRequest;

    private StrictDecoder(HttpServerOptions options, PipeliningHandler pipelining) {
        super(options);
        this.pipelining = pipelining;
    }

    /** Installs the decoder and a {@link PipeliningHandler} before the connection's first bytes are read. */
    static void install(HttpConnection connection, HttpServerOptions options) {
        ChannelHandlerContext libraryHandler = ((HttpServerConnection) connection).channelHandlerContext();
        PipeliningHandler pipelining = new PipeliningHandler();
        libraryHandler
                .pipeline()
                .replace(VertxHttpRequestDecoder.class, "strictDecoder", new StrictDecoder(options, pipelining));
        libraryHandler.pipeline().addBefore(libraryHandler.name(), "turnstile", pipelining);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
        // an empty line may precede a request and may have arrived long before it
        if (!inRequest && buffer.forEachByte(b -> (b & 0xff) <= ' ') >= 0) {
            inRequest = true;
            firstByteNanos = System.nanoTime();
        }
        int decodedBefore = out.size();
        super.decode(ctx, buffer, out);
        for (Object decoded : out.subList(decodedBefore, out.size())) {
            if (decoded instanceof HttpRequest) {
                pipelining.requestDecoded(firstByteNanos);
            }
            inRequest = inRequest && !(decoded instanceof LastHttpContent);
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // keeps both headers
    }
}
