package saffronferry.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;

/** Builds reply lines in one byte buffer. */
final class LineWriter {
    private byte[] buffer = new byte[1 << 16];
    private int size;

    private void room(int more) {
        if (size + more > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, size + more));
        }
    }

    /** ASCII text. */
    @SuppressWarnings("deprecation")
    LineWriter text(String s) {
        room(s.length());
        s.getBytes(0, s.length(), buffer, size);
        size += s.length();
        return this;
    }

    LineWriter free(String s) {
        byte[] bytes = s.replace('\n', ' ').replace('\r', ' ').getBytes(StandardCharsets.UTF_8);
        room(bytes.length);
        System.arraycopy(bytes, 0, buffer, size, bytes.length);
        size += bytes.length;
        return this;
    }

    LineWriter space() {
        room(1);
        buffer[size++] = ' ';
        return this;
    }

    LineWriter number(long value) {
        room(20);
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

    /** Microseconds, as seconds. */
    LineWriter time(long micros) {
        if (micros < 0) {
            room(1);
            buffer[size++] = '-';
            micros = -micros;
        }
        number(micros / 1_000_000);
        long rest = micros % 1_000_000;
        if (rest != 0) {
            room(7);
            buffer[size++] = '.';
            for (long unit = 100_000; rest > 0; unit /= 10) {
                buffer[size++] = (byte) ('0' + rest / unit);
                rest %= unit;
            }
        }
        return this;
    }

    LineWriter base64(byte[] bytes) {
        if (bytes.length == 0) {
            return text("-");
        }
        byte[] encoded = Base64.getEncoder().encode(bytes);
        room(encoded.length);
        System.arraycopy(encoded, 0, buffer, size, encoded.length);
        size += encoded.length;
        return this;
    }

    void end() {
        room(1);
        buffer[size++] = '\n';
    }

    void flush(OutputStream out) throws IOException {
        out.write(buffer, 0, size);
        out.flush();
        size = 0;
    }
}
