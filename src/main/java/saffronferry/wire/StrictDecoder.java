package saffronferry.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;
import java.util.List;
import saffronferry.limit.PipelineBudget;

/**
 * Decodes requests like the library's decoder, with some differences. It keeps both Content-Length and
 * Transfer-Encoding in a head that has both: the library's decoder drops Content-Length, so that later handlers could
 * not recognize and reject such a request, which may smuggle another one. It records when the first byte of each request
 * arrived, since the library reports a request only once its head is complete. And it decodes no input that will be
 * dropped.
 */
final class StrictDecoder extends VertxHttpRequestDecoder {
    private final PipeliningHandler pipelining;
    private long firstByteNanos;
    private boolean inRequest;

    StrictDecoder(HttpServerOptions options, PipeliningHandler pipelining) {
        super(options);
        this.pipelining = pipelining;
        setCumulator(new CompactCumulator());
    }

    /** Installs the decoder and a {@link PipeliningHandler} before the connection's first bytes are read. */
    static void install(HttpConnection connection, HttpServerOptions options, PipelineBudget budget) {
        ChannelHandlerContext libraryHandler = ((HttpServerConnection) connection).channelHandlerContext();
        PipeliningHandler pipelining = new PipeliningHandler(budget);
        libraryHandler
                .pipeline()
                .replace(VertxHttpRequestDecoder.class, "strictDecoder", new StrictDecoder(options, pipelining));
        libraryHandler.pipeline().addBefore(libraryHandler.name(), "turnstile", pipelining);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object input) throws Exception {
        if (pipelining.isDropping()) {
            ReferenceCountUtil.release(input);
        } else {
            super.channelRead(ctx, input);
        }
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
        out.subList(decodedBefore, out.size()).forEach(this::decoded);
    }

    private void decoded(Object message) {
        if (message instanceof HttpRequest) {
            pipelining.requestDecoded(firstByteNanos);
        }
        inRequest = inRequest && !(message instanceof LastHttpContent);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // keeps both headers
    }
}
