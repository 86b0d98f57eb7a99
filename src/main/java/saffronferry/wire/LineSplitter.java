package saffronferry.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Cuts a chunked answer into lines, however its chunks fall. */
final class LineSplitter {
    private static final byte LINE_FEED = '\n';
    /** What a usual line takes; a larger buffer goes with the line that needed it. */
    private static final int USUAL = 64 * 1024;

    private final int most;
    private final Consumer<String> sink;
    /** The beginning of a line whose end is yet to come. */
    private ByteBuf rest = Unpooled.buffer();

    /** A line longer than so many bytes is an {@link IllegalArgumentException}: memory is bounded. */
    LineSplitter(int most, Consumer<String> sink) {
        this.most = most;
        this.sink = sink;
    }

    @SuppressWarnings("deprecation") // the only access to the bytes without a copy
    void feed(Buffer chunk) {
        ByteBuf bytes = chunk.getByteBuf();
        int from = bytes.readerIndex();
        int end = bytes.writerIndex();
        for (int at = next(bytes, from, end); at >= 0; at = next(bytes, from, end)) {
            String line;
            if (rest.isReadable()) {
                rest.writeBytes(bytes, from, at - from);
                line = takeRest();
            } else {
                line = bytes.toString(from, at - from, StandardCharsets.UTF_8);
            }
            from = at + 1;
            sink.accept(line.strip());
        }
        rest.writeBytes(bytes, from, end - from);
        if (rest.readableBytes() > most) {
            throw new IllegalArgumentException("a line of more than " + most + " bytes");
        }
    }

    private static int next(ByteBuf bytes, int from, int end) {
        return from < end ? bytes.indexOf(from, end, LINE_FEED) : -1;
    }

    private String takeRest() {
        String line = rest.toString(StandardCharsets.UTF_8);
        rest = rest.capacity() > USUAL ? Unpooled.buffer() : rest.clear();
        return line;
    }

    /** At the end of the answer: a last line may lack its line feed. */
    void end() {
        if (rest.isReadable()) {
            sink.accept(takeRest().strip());
        }
    }
}
