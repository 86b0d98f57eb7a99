package saffronferry.agree;

/** One setting that may change: a row of the table, and whose it is. */
public record SettingKey(DynamicSetting setting, String name) {
    @Override
    public String toString() {
        return setting.keyPath(name);
    }
}
