package saffronferry.adapter;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads lines of space-separated fields from a byte stream; parses numbers without allocating objects. */
final class LineReader {
    private static final int INITIAL_BUFFER_BYTES = 1 << 16;
    private static final long[] POWERS_OF_TEN = {1, 10, 100, 1_000, 10_000, 100_000, 1_000_000};

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

    /** Number of bytes in the buffer. */
    private int filled;

    /** Where the next line starts. */
    private int nextLineStart;

    /** Where the next field of the current line starts. */
    private int position;

    /** Where the current line ends. */
    private int lineEnd;

    private long lineNumber;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** Moves to the next line; returns false if the input has ended after a complete line. */
    boolean nextLine() throws IOException {
        int scan = nextLineStart;
        while (true) {
            for (; scan < filled; scan++) {
                if (buffer[scan] == '\n') {
                    position = nextLineStart;
                    lineEnd = scan > position && buffer[scan - 1] == '\r' ? scan - 1 : scan;
                    nextLineStart = scan + 1;
                    lineNumber++;
                    return true;
                }
            }
            if (nextLineStart > 0) {
                System.arraycopy(buffer, nextLineStart, buffer, 0, filled - nextLineStart);
                scan -= nextLineStart;
                filled -= nextLineStart;
                nextLineStart = 0;
            } else if (filled == buffer.length) {
                buffer = java.util.Arrays.copyOf(buffer, filled * 2);
            }
            int bytesRead = in.read(buffer, filled, buffer.length - filled);
            if (bytesRead < 0) {
                if (filled > 0) {
                    lineNumber++;
                    throw new EOFException("line " + lineNumber + ": input ends inside a line");
                }
                return false;
            }
            filled += bytesRead;
        }
    }

    boolean atEnd() {
        return position >= lineEnd;
    }

    ProtocolException malformed(String problem) {
        return new ProtocolException(lineNumber, problem);
    }

    private int findFieldEnd(String field) {
        if (position >= lineEnd) {
            throw malformed("field " + field + " is missing");
        }
        int fieldEnd = position;
        while (fieldEnd < lineEnd && buffer[fieldEnd] != ' ') {
            fieldEnd++;
        }
        return fieldEnd;
    }

    /** Skips the next field if there is one. */
    void skipField() {
        while (position < lineEnd && buffer[position] != ' ') {
            position++;
        }
        position++;
    }

    /** Returns true if the field is missing or '-', and skips it in this case. */
    boolean skipIfAbsent() {
        if (position >= lineEnd) {
            return true;
        }
        if (buffer[position] == '-' && (position + 1 == lineEnd || buffer[position + 1] == ' ')) {
            position += 2;
            return true;
        }
        return false;
    }

    String readText(String field) {
        int fieldEnd = findFieldEnd(field);
        String value = new String(buffer, position, fieldEnd - position, StandardCharsets.UTF_8);
        position = fieldEnd + 1;
        return value;
    }

    String readRest(String field) {
        if (position >= lineEnd) {
            throw malformed("field " + field + " is missing");
        }
        String value = new String(buffer, position, lineEnd - position, StandardCharsets.UTF_8);
        position = lineEnd;
        return value;
    }

    /** Reads a field, and returns its index among the names, or -1. */
    int readOneOf(String field, byte[][] names) {
        int fieldEnd = findFieldEnd(field);
        int from = position;
        position = fieldEnd + 1;
        for (int i = 0; i < names.length; i++) {
            if (equalsAt(names[i], from, fieldEnd)) {
                return i;
            }
        }
        return -1;
    }

    private boolean equalsAt(byte[] name, int from, int fieldEnd) {
        if (name.length != fieldEnd - from) {
            return false;
        }
        for (int i = 0; i < name.length; i++) {
            if (name[i] != buffer[from + i]) {
                return false;
            }
        }
        return true;
    }

    long readInteger(String field) {
        int fieldEnd = findFieldEnd(field);
        int index = position;
        boolean negative = buffer[index] == '-';
        if (negative) {
            index++;
        }
        if (index == fieldEnd || fieldEnd - index > 19) {
            throw notANumber(field, fieldEnd);
        }
        long value = 0;
        for (; index < fieldEnd; index++) {
            int digit = buffer[index] - '0';
            if (digit < 0 || digit > 9) {
                throw notANumber(field, fieldEnd);
            }
            value = value * 10 + digit;
        }
        position = fieldEnd + 1;
        return negative ? -value : value;
    }

    private ProtocolException notANumber(String field, int fieldEnd) {
        return malformed("field " + field + " is not a number: "
                + new String(buffer, position, Math.min(fieldEnd - position, 40), StandardCharsets.UTF_8));
    }

    /** Reads a time in seconds, and returns it in microseconds. */
    long readTime(String field) {
        int fieldEnd = findFieldEnd(field);
        int index = position;
        boolean negative = buffer[index] == '-';
        if (negative) {
            index++;
        }
        long value = 0;
        int decimals = -1;
        int digits = 0;
        for (; index < fieldEnd; index++) {
            int c = buffer[index];
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
                return Math.round(readNumber(field) * 1e6);
            } else {
                throw notANumber(field, fieldEnd);
            }
        }
        if (digits == 0) {
            throw notANumber(field, fieldEnd);
        }
        position = fieldEnd + 1;
        value *= POWERS_OF_TEN[6 - Math.max(0, decimals)];
        return negative ? -value : value;
    }

    /** Reads a decimal number up to the next space, or up to the next comma if {@code inList}. */
    private double readDecimal(String field, boolean inList) {
        int fieldEnd = findFieldEnd(field);
        int numberEnd = position;
        while (numberEnd < fieldEnd && !(inList && buffer[numberEnd] == ',')) {
            numberEnd++;
        }
        int index = position;
        boolean negative = index < numberEnd && buffer[index] == '-';
        if (negative) {
            index++;
        }
        long mantissa = 0;
        int scale = 0;
        boolean point = false;
        int digits = 0;
        for (; index < numberEnd; index++) {
            int c = buffer[index];
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
                return parseDecimal(field, numberEnd, fieldEnd);
            }
        }
        if (digits == 0) {
            throw notANumber(field, fieldEnd);
        }
        position = numberEnd + 1;
        double value = scale == 0 ? mantissa : mantissa * Math.pow(10, scale);
        return negative ? -value : value;
    }

    private double parseDecimal(String field, int numberEnd, int fieldEnd) {
        try {
            double value =
                    Double.parseDouble(new String(buffer, position, numberEnd - position, StandardCharsets.US_ASCII));
            if (Double.isNaN(value) || Double.isInfinite(value)) {
                throw notANumber(field, fieldEnd);
            }
            position = numberEnd + 1;
            return value;
        } catch (NumberFormatException e) {
            throw notANumber(field, fieldEnd);
        }
    }

    double readNumber(String field) {
        return readDecimal(field, false);
    }

    /** Reads comma-separated numbers into an array; missing ones and '-' become NaN, excess ones are ignored. */
    void readNumbers(String field, double[] into) {
        java.util.Arrays.fill(into, Double.NaN);
        if (skipIfAbsent()) {
            return;
        }
        int fieldEnd = findFieldEnd(field);
        for (int i = 0; position < fieldEnd; i++) {
            boolean empty = buffer[position] == ','
                    || buffer[position] == '-' && (position + 1 == fieldEnd || buffer[position + 1] == ',');
            double value = Double.NaN;
            if (empty) {
                position += buffer[position] == ',' ? 1 : 2;
            } else {
                value = readDecimal(field, true);
            }
            if (i < into.length) {
                into[i] = value;
            }
        }
        position = fieldEnd + 1;
    }

    byte[] readBase64(String field) {
        int fieldEnd = findFieldEnd(field);
        if (fieldEnd - position == 1 && buffer[position] == '-') {
            position = fieldEnd + 1;
            return new byte[0];
        }
        try {
            byte[] coded = java.util.Arrays.copyOfRange(buffer, position, fieldEnd);
            byte[] value = java.util.Base64.getDecoder().decode(coded);
            position = fieldEnd + 1;
            return value;
        } catch (IllegalArgumentException e) {
            throw malformed("field " + field + " is not base64");
        }
    }
}
