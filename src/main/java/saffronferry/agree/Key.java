package saffronferry.agree;

/** One setting that may change: a row of the table, and whose it is. */
public record Key(DynamicSetting what, String name) {
    @Override
    public String toString() {
        return what.keyPath(name);
    }
}
