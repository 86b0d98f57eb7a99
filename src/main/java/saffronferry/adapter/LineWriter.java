package saffronferry.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;

/** Builds the reply lines of a batch in a byte buffer. */
final class LineWriter {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int size;

    private void ensureRoom(int bytes) {
        if (size + bytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, size + bytes));
        }
    }

    /** Appends a text of ASCII characters. */
    @SuppressWarnings("deprecation")
    LineWriter text(String text) {
        ensureRoom(text.length());
        text.getBytes(0, text.length(), buffer, size);
        size += text.length();
        return this;
    }

    /** Appends any text in UTF-8, its line breaks replaced by spaces. */
    LineWriter utf8Text(String text) {
        byte[] bytes = text.replace('\n', ' ').replace('\r', ' ').getBytes(StandardCharsets.UTF_8);
        ensureRoom(bytes.length);
        System.arraycopy(bytes, 0, buffer, size, bytes.length);
        size += bytes.length;
        return this;
    }

    LineWriter space() {
        ensureRoom(1);
        buffer[size++] = ' ';
        return this;
    }

    LineWriter number(long value) {
        ensureRoom(20);
        if (value < 0) {
            buffer[size++] = '-';
            value = -value;
        }
        int digits = 1;
        for (long rest = value; rest >= 10; rest /= 10) {
            digits++;
        }
        size += digits;
        for (int i = 1; i <= digits; i++) {
            buffer[size - i] = (byte) ('0' + value % 10);
            value /= 10;
        }
        return this;
    }

    /** Appends a time, given in microseconds, in seconds without trailing zeros. */
    LineWriter time(long micros) {
        if (micros < 0) {
            ensureRoom(1);
            buffer[size++] = '-';
            micros = -micros;
        }
        number(micros / 1_000_000);
        long rest = micros % 1_000_000;
        if (rest != 0) {
            ensureRoom(7);
            buffer[size++] = '.';
            for (long unit = 100_000; rest > 0; unit /= 10) {
                buffer[size++] = (byte) ('0' + rest / unit);
                rest %= unit;
            }
        }
        return this;
    }

    /** Appends bytes in base64, or '-' if there are none. */
    LineWriter base64(byte[] bytes) {
        if (bytes.length == 0) {
            return text("-");
        }
        byte[] encoded = Base64.getEncoder().encode(bytes);
        ensureRoom(encoded.length);
        System.arraycopy(encoded, 0, buffer, size, encoded.length);
        size += encoded.length;
        return this;
    }

    void endLine() {
        ensureRoom(1);
        buffer[size++] = '\n';
    }

    void flush(OutputStream out) throws IOException {
        out.write(buffer, 0, size);
        out.flush();
        size = 0;
    }
}
