package saffronferry.wire;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Cuts a chunked answer into lines, however its chunks fall. */
final class Lines {
    private final int most;
    private final Consumer<String> sink;
    private Buffer rest = Buffer.buffer();

    /** A line longer than so many bytes is an {@link IllegalArgumentException}: memory is bounded. */
    Lines(int most, Consumer<String> sink) {
        this.most = most;
        this.sink = sink;
    }

    void feed(Buffer chunk) {
        rest.appendBuffer(chunk);
        int from = 0;
        for (int i = rest.length() - chunk.length(); i < rest.length(); i++) {
            if (rest.getByte(i) == '\n') {
                sink.accept(rest.getString(from, i, "UTF-8").strip());
                from = i + 1;
            }
        }
        if (from > 0) {
            rest = rest.getBuffer(from, rest.length());
        }
        if (rest.length() > most) {
            throw new IllegalArgumentException("a line of more than " + most + " bytes");
        }
    }

    /** At the end of the answer: a last line may lack its line feed. */
    void end() {
        if (rest.length() > 0) {
            String last = rest.toString(StandardCharsets.UTF_8).strip();
            rest = Buffer.buffer();
            sink.accept(last);
        }
    }
}
