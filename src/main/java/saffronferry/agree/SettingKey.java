package saffronferry.agree;

/**
 * Identifies one replicated value.
 *
 * @param setting the setting
 * @param name the entry that the value belongs to, such as a tenant
 */
public record SettingKey(DynamicSetting setting, String name) {
    /** Returns the full configuration key, as operators see it. */
    @Override
    public String toString() {
        return setting.keyPath(name);
    }
}
