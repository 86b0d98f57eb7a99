package saffronferry.agree;

import java.util.regex.Pattern;

/** The table of what may change while dispatchers run; any other key is read at a start only. */
public enum DynamicSetting {
    /** A tenant's requests a second over all dispatchers, within its share; 0 = no limit known. */
    ALLOWANCE("settings.realms", "allowancePerS");

    private static final Pattern NAME = Pattern.compile("[!-~]{1,64}");
    private static final Pattern NUMBER = Pattern.compile("[0-9][0-9.E-]{0,23}");
    private static final DynamicSetting[] TABLE = values();

    /** Where the table of names is in a configuration, and what of an entry may change. */
    public final String path;

    public final String field;

    DynamicSetting(String path, String field) {
        this.path = path;
        this.field = field;
    }

    /** The key as operators know it. */
    String keyPath(String name) {
        return path + "." + name + "." + field;
    }

    /** The row with this number in a datagram, or null. */
    static DynamicSetting fromNumber(int number) {
        return number >= 1 && number <= TABLE.length ? TABLE[number - 1] : null;
    }

    int number() {
        return ordinal() + 1;
    }

    /** What is wrong with a name and its value, null for a removal; null where nothing is. */
    public static String validationError(String name, String value) {
        if (!NAME.matcher(name).matches()) {
            return "the name must be at most 64 printable ASCII characters without blanks";
        }
        if (value == null) {
            return null;
        }
        try {
            // guards the limits against what a datagram says: NaN, a sign, or infinity by its exponent
            boolean good = NUMBER.matcher(value).matches() && Double.isFinite(Double.parseDouble(value));
            return good ? null : "must be a number of 0 at least";
        } catch (NumberFormatException e) {
            return "must be a number of 0 at least";
        }
    }

    /** A number in the one form in which it is agreed upon. */
    public static String formatNumber(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }
}
