package saffronferry.wire;

import io.netty.handler.codec.http.HttpMessage;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.http.impl.VertxHttpRequestDecoder;

/**
 * Leaves both Content-Length and Transfer-Encoding in a head that has both. The library's decoder drops the
 * first of them, so that nobody after it can tell and turn such a request away, which may hide another one.
 */
final class StrictDecoder extends VertxHttpRequestDecoder {
    private StrictDecoder(HttpServerOptions options) {
        super(options);
    }

    /** To be called before the connection's first bytes are read. */
    static void install(HttpConnection connection, HttpServerOptions options) {
        ((HttpServerConnection) connection).channelHandlerContext().pipeline()
                .replace(VertxHttpRequestDecoder.class, "strictDecoder", new StrictDecoder(options));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // both stay
    }
}
