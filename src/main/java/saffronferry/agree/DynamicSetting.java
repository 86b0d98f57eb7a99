package saffronferry.agree;

import java.util.regex.Pattern;

/**
 * The settings that may change while dispatchers run; every other key is read at startup only. The ordinal plus one is
 * the number of a setting in datagrams.
 */
public enum DynamicSetting {
    /** Requests per second of a tenant over all dispatchers, within its share; 0 means that no limit is known. */
    ALLOWANCE("settings.realms", "allowancePerS");

    private static final Pattern NAME = Pattern.compile("[!-~]{1,64}");
    private static final Pattern NUMBER = Pattern.compile("[0-9][0-9.E-]{0,23}");
    private static final DynamicSetting[] VALUES = values();

    /** Configuration path of the table of named entries. */
    public final String path;

    /** The field of an entry that may change. */
    public final String field;

    DynamicSetting(String path, String field) {
        this.path = path;
        this.field = field;
    }

    /** The full configuration key of this setting for the entry with the given name. */
    String keyPath(String name) {
        return path + "." + name + "." + field;
    }

    /** Returns the setting with this number in a datagram, or null if this version does not know it. */
    static DynamicSetting fromNumber(int number) {
        return number >= 1 && number <= VALUES.length ? VALUES[number - 1] : null;
    }

    int number() {
        return ordinal() + 1;
    }

    /**
     * Checks a name and its value.
     *
     * @param value the value, or null for a removal
     * @return what is wrong, or null if both are valid
     */
    public static String validationError(String name, String value) {
        if (!NAME.matcher(name).matches()) {
            return "the name must be at most 64 printable ASCII characters without blanks";
        }
        if (value == null) {
            return null;
        }
        try {
            // A datagram could carry NaN, a negative number, or an exponent that overflows to infinity.
            boolean valid = NUMBER.matcher(value).matches() && Double.isFinite(Double.parseDouble(value));
            return valid ? null : "must be a number of 0 at least";
        } catch (NumberFormatException e) {
            return "must be a number of 0 at least";
        }
    }

    /** Formats a number in its canonical form, so that equal values have equal texts on all dispatchers. */
    public static String formatNumber(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
