package saffronferry.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
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
 * not recognize and reject such a request, which may smuggle another one. It also records when the first byte of each
 * request arrived, since the library reports a request only once its head is complete. It decodes no input that will
 * be dropped. And it limits the number of headers: a head of many short ones takes a multiple of its size in memory.
 */
final class StrictDecoder extends VertxHttpRequestDecoder {
    /** Lines of a head, or of a trailer. */
    static final int MAX_LINES = 100;

    private final PipeliningHandler pipelining;
    private long firstByteNanos;
    private boolean inRequest;
    private boolean inBody;
    /** Lines decoded so far of an incomplete head or trailer. */
    private int lines;

    private boolean rejected;

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
        libraryHandler.pipeline().addBefore(libraryHandler.name(), "pipeliningHandler", pipelining);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object input) throws Exception {
        if (rejected || pipelining.isDropping()) {
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
        int start = buffer.readerIndex();
        super.decode(ctx, buffer, out);
        boolean complete = out.size() > decodedBefore;
        if (inRequest && (!complete || out.get(decodedBefore) instanceof HttpRequest)) {
            lines += countLines(buffer, start);
        }
        if (lines > MAX_LINES) {
            reject(buffer, out, decodedBefore);
        }
        lines = complete ? 0 : lines;
        for (int i = decodedBefore; i < out.size(); i++) {
            decoded(out.get(i));
        }
    }

    private void decoded(Object message) {
        if (message instanceof HttpRequest) {
            pipelining.requestDecoded(firstByteNanos);
        }
        inBody = !(message instanceof LastHttpContent);
        inRequest = inRequest && inBody;
    }

    /** The number of lines between an index and the reader index. */
    private static int countLines(ByteBuf buffer, int start) {
        int[] lines = {0};
        buffer.forEachByte(start, buffer.readerIndex() - start, b -> {
            lines[0] += b == '\n' ? 1 : 0;
            return true;
        });
        return lines[0];
    }

    /**
     * Replaces a request whose head, or whose trailer, has too many lines, and ends the input of the connection.
     *
     * @param from index of the first message of that request
     */
    private void reject(ByteBuf buffer, List<Object> decoded, int from) {
        rejected = true;
        buffer.skipBytes(buffer.readableBytes());
        while (decoded.size() > from) {
            ReferenceCountUtil.release(decoded.remove(decoded.size() - 1));
        }
        TooLongHttpHeaderException cause = new TooLongHttpHeaderException("more than " + MAX_LINES + " lines");
        if (inBody) {
            // the head has been passed on, so that the rejection can only be a close
            throw cause;
        }
        HttpMessage invalid = createInvalidMessage();
        invalid.setDecoderResult(DecoderResult.failure(cause));
        decoded.add(invalid);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // keeps both headers
    }
}
