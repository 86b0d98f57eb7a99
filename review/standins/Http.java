import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Just enough of HTTP/1.1 to read requests and answers whole. */
final class Http {
    /** A request or an answer. */
    static final class Message {
        String first;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String path() {
            return first.split(" ")[1];
        }
    }

    private Http() {}

    /** Reads a line without its end; null at the end of the stream before the first byte. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) {
            return null;
        }
        for (; c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("end within a line");
            }
            if (c != '\r') {
                line.write(c);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Reads a message; null if the connection ends before it. */
    static Message read(InputStream in) throws IOException {
        Message message = new Message();
        message.first = line(in);
        if (message.first == null) {
            return null;
        }
        for (String head = line(in); head != null && !head.isEmpty(); head = line(in)) {
            int colon = head.indexOf(':');
            message.headers.put(
                    head.substring(0, colon).trim().toLowerCase(), head.substring(colon + 1).trim());
        }
        if (message.header("Content-Length") != null) {
            int length = Integer.parseInt(message.header("Content-Length"));
            message.body = in.readNBytes(length);
            if (message.body.length < length) {
                throw new EOFException("end within a body");
            }
        } else if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                body.write(in.readNBytes(size));
                line(in);
            }
            line(in);
            message.body = body.toByteArray();
        }
        return message;
    }
}
