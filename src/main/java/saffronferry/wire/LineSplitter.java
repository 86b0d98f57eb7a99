package saffronferry.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Splits a response into lines, independently of its division into chunks. */
final class LineSplitter {
    private static final byte LINE_FEED = '\n';
    /** Enough for most lines; a buffer that has grown larger is released after its line. */
    private static final int MAX_KEPT_BUFFER_BYTES = 64 * 1024;

    private final int maxLineBytes;
    private final Consumer<String> sink;
    /** The beginning of a line whose end has not arrived. */
    private ByteBuf partialLine = Unpooled.buffer();

    /**
     * Creates a splitter that passes each line to {@code sink}. To bound memory, a longer line than {@code
     * maxLineBytes} causes an {@link IllegalArgumentException}.
     */
    LineSplitter(int maxLineBytes, Consumer<String> sink) {
        this.maxLineBytes = maxLineBytes;
        this.sink = sink;
    }

    // getByteBuf is the only access to the bytes without a copy
    @SuppressWarnings("deprecation")
    void feed(Buffer chunk) {
        ByteBuf bytes = chunk.getByteBuf();
        int from = bytes.readerIndex();
        int end = bytes.writerIndex();
        for (int at = nextLineFeed(bytes, from, end); at >= 0; at = nextLineFeed(bytes, from, end)) {
            String line;
            if (partialLine.isReadable()) {
                partialLine.writeBytes(bytes, from, at - from);
                line = takePartialLine();
            } else {
                line = bytes.toString(from, at - from, StandardCharsets.UTF_8);
            }
            from = at + 1;
            sink.accept(line.strip());
        }
        partialLine.writeBytes(bytes, from, end - from);
        if (partialLine.readableBytes() > maxLineBytes) {
            throw new IllegalArgumentException("a line has more than " + maxLineBytes + " bytes");
        }
    }

    private static int nextLineFeed(ByteBuf bytes, int from, int end) {
        return from < end ? bytes.indexOf(from, end, LINE_FEED) : -1;
    }

    private String takePartialLine() {
        String line = partialLine.toString(StandardCharsets.UTF_8);
        partialLine = partialLine.capacity() > MAX_KEPT_BUFFER_BYTES ? Unpooled.buffer() : partialLine.clear();
        return line;
    }

    /** Ends the response: its last line may lack a line feed. */
    void end() {
        if (partialLine.isReadable()) {
            sink.accept(takePartialLine().strip());
        }
    }
}
