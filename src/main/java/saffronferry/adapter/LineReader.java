package saffronferry.adapter;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads lines of space-separated fields from bytes, without making objects for numbers. */
final class LineReader {
    private static final long[] TEN = {1, 10, 100, 1_000, 10_000, 100_000, 1_000_000};

    private final InputStream in;
    private byte[] buffer = new byte[1 << 16];
    private int filled;
    private int next;
    private int pos;
    private int end;
    private long line;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Moves to the next line; false at a clean end of input. */
    boolean nextLine() throws IOException {
        int scan = next;
        while (true) {
            for (; scan < filled; scan++) {
                if (buffer[scan] == '\n') {
                    pos = next;
                    end = scan > pos && buffer[scan - 1] == '\r' ? scan - 1 : scan;
                    next = scan + 1;
                    line++;
                    return true;
                }
            }
            if (next > 0) {
                System.arraycopy(buffer, next, buffer, 0, filled - next);
                scan -= next;
                filled -= next;
                next = 0;
            } else if (filled == buffer.length) {
                buffer = java.util.Arrays.copyOf(buffer, filled * 2);
            }
            int got = in.read(buffer, filled, buffer.length - filled);
            if (got < 0) {
                if (filled > 0) {
                    line++;
                    throw new EOFException("line " + line + ": input ends inside a line");
                }
                return false;
            }
            filled += got;
        }
    }

    boolean atEnd() {
        return pos >= end;
    }

    WireException malformed(String what) {
        return new WireException(line, what);
    }

    private int fieldEnd(String field) {
        if (pos >= end) {
            throw malformed("field " + field + " is missing");
        }
        int to = pos;
        while (to < end && buffer[to] != ' ') {
            to++;
        }
        return to;
    }

    /** Skips a field if there is one. */
    void skip() {
        while (pos < end && buffer[pos] != ' ') {
            pos++;
        }
        pos++;
    }

    /** True if the field is absent or '-'; then it is consumed. */
    boolean absent() {
        if (pos >= end) {
            return true;
        }
        if (buffer[pos] == '-' && (pos + 1 == end || buffer[pos + 1] == ' ')) {
            pos += 2;
            return true;
        }
        return false;
    }

    String text(String field) {
        int to = fieldEnd(field);
        String value = new String(buffer, pos, to - pos, StandardCharsets.UTF_8);
        pos = to + 1;
        return value;
    }

    String rest(String field) {
        if (pos >= end) {
            throw malformed("field " + field + " is missing");
        }
        String value = new String(buffer, pos, end - pos, StandardCharsets.UTF_8);
        pos = end;
        return value;
    }

    /** Index of the field among the names, or -1. */
    int oneOf(String field, byte[][] names) {
        int to = fieldEnd(field);
        int from = pos;
        pos = to + 1;
        for (int i = 0; i < names.length; i++) {
            if (matches(names[i], from, to)) {
                return i;
            }
        }
        return -1;
    }

    private boolean matches(byte[] name, int from, int to) {
        if (name.length != to - from) {
            return false;
        }
        for (int i = 0; i < name.length; i++) {
            if (name[i] != buffer[from + i]) {
                return false;
            }
        }
        return true;
    }

    long whole(String field) {
        int to = fieldEnd(field);
        int at = pos;
        boolean negative = buffer[at] == '-';
        if (negative) {
            at++;
        }
        if (at == to || to - at > 19) {
            throw notANumber(field, to);
        }
        long value = 0;
        for (; at < to; at++) {
            int digit = buffer[at] - '0';
            if (digit < 0 || digit > 9) {
                throw notANumber(field, to);
            }
            value = value * 10 + digit;
        }
        pos = to + 1;
        return negative ? -value : value;
    }

    private WireException notANumber(String field, int to) {
        return malformed("field " + field + " is not a number: "
                + new String(buffer, pos, Math.min(to - pos, 40), StandardCharsets.UTF_8));
    }

    /** Seconds, as microseconds. */
    long time(String field) {
        int to = fieldEnd(field);
        int at = pos;
        boolean negative = buffer[at] == '-';
        if (negative) {
            at++;
        }
        long value = 0;
        int decimals = -1;
        int digits = 0;
        for (; at < to; at++) {
            int c = buffer[at];
            if (c == '.' && decimals < 0) {
                decimals = 0;
            } else if (c >= '0' && c <= '9' && digits < 18) {
                digits++;
                if (decimals < 6) {
                    value = value * 10 + (c - '0');
                    if (decimals >= 0) {
                        decimals++;
                    }
                }
            } else if (c == 'e' || c == 'E') {
                return Math.round(number(field) * 1e6);
            } else {
                throw notANumber(field, to);
            }
        }
        if (digits == 0) {
            throw notANumber(field, to);
        }
        pos = to + 1;
        value *= TEN[6 - Math.max(0, decimals)];
        return negative ? -value : value;
    }

    /** A decimal number up to the next space, or up to the next comma if {@code inList}. */
    private double decimal(String field, boolean inList) {
        int to = fieldEnd(field);
        int stop = pos;
        while (stop < to && !(inList && buffer[stop] == ',')) {
            stop++;
        }
        int at = pos;
        boolean negative = at < stop && buffer[at] == '-';
        if (negative) {
            at++;
        }
        long mantissa = 0;
        int scale = 0;
        boolean point = false;
        int digits = 0;
        for (; at < stop; at++) {
            int c = buffer[at];
            if (c == '.' && !point) {
                point = true;
            } else if (c >= '0' && c <= '9') {
                digits++;
                if (mantissa < 100_000_000_000_000L) {
                    mantissa = mantissa * 10 + (c - '0');
                    scale -= point ? 1 : 0;
                } else {
                    scale += point ? 0 : 1;
                }
            } else {
                return slowDecimal(field, stop, to);
            }
        }
        if (digits == 0) {
            throw notANumber(field, to);
        }
        pos = stop + 1;
        double value = scale == 0 ? mantissa : mantissa * Math.pow(10, scale);
        return negative ? -value : value;
    }

    private double slowDecimal(String field, int stop, int to) {
        try {
            double value = Double.parseDouble(new String(buffer, pos, stop - pos, StandardCharsets.US_ASCII));
            if (Double.isNaN(value) || Double.isInfinite(value)) {
                throw notANumber(field, to);
            }
            pos = stop + 1;
            return value;
        } catch (NumberFormatException e) {
            throw notANumber(field, to);
        }
    }

    double number(String field) {
        return decimal(field, false);
    }

    /** A list of numbers set apart by commas into {@code into}; what is left out or '-' becomes NaN. */
    void numbers(String field, double[] into) {
        java.util.Arrays.fill(into, Double.NaN);
        if (absent()) {
            return;
        }
        int to = fieldEnd(field);
        for (int i = 0; pos < to; i++) {
            boolean empty = buffer[pos] == ',' || buffer[pos] == '-' && (pos + 1 == to || buffer[pos + 1] == ',');
            double value = Double.NaN;
            if (empty) {
                pos += buffer[pos] == ',' ? 1 : 2;
            } else {
                value = decimal(field, true);
            }
            if (i < into.length) {
                into[i] = value;
            }
        }
        pos = to + 1;
    }

    byte[] base64(String field) {
        int to = fieldEnd(field);
        if (to - pos == 1 && buffer[pos] == '-') {
            pos = to + 1;
            return new byte[0];
        }
        try {
            byte[] coded = java.util.Arrays.copyOfRange(buffer, pos, to);
            byte[] value = java.util.Base64.getDecoder().decode(coded);
            pos = to + 1;
            return value;
        } catch (IllegalArgumentException e) {
            throw malformed("field " + field + " is not base64");
        }
    }
}
