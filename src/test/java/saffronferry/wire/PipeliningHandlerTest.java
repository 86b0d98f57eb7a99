package saffronferry.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpServerOptions;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import saffronferry.limit.PipelineBudget;

/** What a connection keeps of requests that are sent behind an open one. */
class PipeliningHandlerTest {
    private static final int READ_BYTES = 4 * 1024;

    private final PipelineBudget budget = new PipelineBudget();

    private EmbeddedChannel connection() {
        PipeliningHandler pipelining = new PipeliningHandler(budget);
        HttpServerOptions options = new HttpServerOptions().setMaxHeaderSize(16 * 1024);
        return new EmbeddedChannel(new StrictDecoder(options, pipelining), pipelining);
    }

    private static String request(int number, int cookieLength, int bodyLength) {
        return "POST /" + number + " HTTP/1.1\r\nCookie: " + "c".repeat(cookieLength) + "\r\nContent-Length: "
                + bodyLength + "\r\n\r\n" + "b".repeat(bodyLength);
    }

    /** Reads input as from a socket, in direct buffers, which are returned. */
    private static List<ByteBuf> read(EmbeddedChannel channel, String input) {
        byte[] bytes = input.getBytes(StandardCharsets.ISO_8859_1);
        List<ByteBuf> buffers = new ArrayList<>();
        for (int at = 0; at < bytes.length; at += READ_BYTES) {
            int length = Math.min(READ_BYTES, bytes.length - at);
            ByteBuf buffer = Unpooled.directBuffer(READ_BYTES).writeBytes(bytes, at, length);
            buffers.add(buffer);
            channel.writeInbound(buffer);
        }
        return buffers;
    }

    /** Takes all decoded messages; returns the path of the request among them, or null. */
    private static String nextPath(EmbeddedChannel channel) {
        channel.runPendingTasks();
        String path = null;
        for (Object message = channel.readInbound(); message != null; message = channel.readInbound()) {
            path = message instanceof HttpRequest request ? request.uri() : path;
            ReferenceCountUtil.release(message);
        }
        return path;
    }

    private static void answer(EmbeddedChannel channel) {
        channel.writeOutbound(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
    }

    @Test
    void pipelinedRequestsArePassedInTurnEachAfterTheAnswerToTheOneBefore() {
        EmbeddedChannel channel = connection();
        read(channel, request(0, 10, 10) + request(1, 10, 10) + request(2, 10, 10));
        for (int i = 0; i < 3; i++) {
            assertEquals("/" + i, nextPath(channel));
            assertNull(nextPath(channel));
            answer(channel);
        }
        assertTrue(channel.isOpen());
        assertEquals(0, budget.totalBytes());
    }

    /** Guards against read buffers that stay allocated while an earlier request is open. */
    @Test
    void noBufferThatWasReadStaysInUseBehindAnOpenRequest() {
        EmbeddedChannel channel = connection();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 800; i++) {
            all.append(request(i, 1024, 200));
        }
        List<ByteBuf> buffers = read(channel, all.toString());
        assertEquals("/0", nextPath(channel));
        assertEquals(0, buffers.stream().filter(buffer -> buffer.refCnt() > 0).count());
        assertTrue(budget.totalBytes() > 0 && budget.totalBytes() <= PipelineBudget.MAX_CONNECTION_BYTES);
        int served = 0;
        for (String path = "/0"; path != null; path = nextPath(channel)) {
            served++;
            answer(channel);
        }
        assertTrue(served > 20 && served <= 1 + PipelineBudget.MAX_REQUESTS, served + " served");
        assertFalse(channel.isOpen(), "closed once the kept requests are answered");
        assertEquals(0, budget.totalBytes());
    }

    /** Heads, small chunks and headers count with the memory that they take, not with their characters alone. */
    @Test
    void smallPartsOfPipelinedRequestsCountWithTheirMemory() {
        EmbeddedChannel channel = connection();
        read(channel, request(0, 10, 0));
        read(channel, "POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(2_000));
        assertTrue(budget.totalBytes() > PipelineBudget.MAX_CONNECTION_BYTES / 2);
        assertTrue(budget.totalBytes() <= PipelineBudget.MAX_CONNECTION_BYTES);
        channel.close();
        assertEquals(0, budget.totalBytes());
    }

    @Test
    void allConnectionsTogetherKeepNoMoreThanTheTotal() {
        int connections = 2 * PipelineBudget.MAX_TOTAL_BYTES / PipelineBudget.MAX_CONNECTION_BYTES;
        EmbeddedChannel[] channels = new EmbeddedChannel[connections];
        for (int i = 0; i < connections; i++) {
            channels[i] = connection();
            read(channels[i], request(0, 10, 0) + request(1, 10, 60_000) + request(2, 10, 60_000));
            assertTrue(budget.totalBytes() <= PipelineBudget.MAX_TOTAL_BYTES);
        }
        assertTrue(budget.totalBytes() > PipelineBudget.MAX_TOTAL_BYTES / 2);
        for (EmbeddedChannel channel : channels) {
            channel.finishAndReleaseAll();
        }
        assertEquals(0, budget.totalBytes());
    }

    /** Guards against responses that pile up in memory for a client that does not read them. */
    @Test
    void theNextRequestWaitsUntilTheResponseHasBeenTaken() {
        EmbeddedChannel channel = connection();
        read(channel, request(0, 10, 0) + request(1, 10, 0));
        assertEquals("/0", nextPath(channel));
        channel.write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
        assertNull(nextPath(channel));
        channel.flush();
        assertEquals("/1", nextPath(channel));
    }

    /** Guards against an internal error when a connection ends within a head. */
    @Test
    void aConnectionThatEndsWithinAHeadPassesNothingOn() {
        EmbeddedChannel channel = connection();
        read(channel, "POST / HTTP/1.1\r\nCookie: " + "c".repeat(15_000));
        channel.close();
        channel.checkException();
        assertNull(nextPath(channel));
    }
}
