package saffronferry.lifecycle;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.json.JSONObject;
import saffronferry.BalancerEvent;
import saffronferry.Contract.Tenant;
import saffronferry.agree.DynamicSetting;
import saffronferry.agree.Gossip;
import saffronferry.agree.GossipStatus;
import saffronferry.agree.SettingChange;
import saffronferry.agree.SettingKey;
import saffronferry.log.BoundedLog;
import saffronferry.ops.Metrics;
import saffronferry.ops.Metrics.Metric;
import saffronferry.state.Clock;
import saffronferry.wire.DispatcherNetwork;

/**
 * The settings in force: those of the configuration file, overridden by what dispatchers have agreed on since. For the
 * event loop.
 */
final class EffectiveSettings {
    /** Of changes received at once, this many are logged by name. */
    private static final int MAX_LOGGED_CHANGES = 4;

    private final BoundedLog log;
    private final Clock clock = new Clock();
    private final Gossip gossip;
    private JSONObject file;
    private Map<SettingKey, String> fileValues;
    private final List<String> tenantNames = new ArrayList<>();
    private final Set<String> knownTenants = new HashSet<>();
    private List<Tenant> tenants;
    private DispatcherNetwork wire;
    private GossipStatus.State state;

    EffectiveSettings(Config config, BoundedLog log) {
        this.log = log;
        file = config.json;
        fileValues = ConfigDiff.changeableValues(file);
        tenantNames.addAll(config.settings.tenants);
        knownTenants.addAll(tenantNames);
        tenants = config.settings.settings.tenants();
        gossip = new Gossip(
                new Gossip.Options(
                        config.settings.settings.self(),
                        config.peers.size(),
                        config.agreement.bytesPerS(),
                        config.agreement.secret(),
                        config.settings.settings.seed()),
                new Gossip.Callbacks() {
                    @Override
                    public void send(int peer, byte[] bytes) {
                        wire.sendToPeer(peer, bytes);
                    }

                    @Override
                    public void changesApplied(List<SettingChange> changes) {
                        logChanges("setting in force", changes);
                        apply();
                    }
                },
                clock.now());
        state = gossip.status(clock.now()).state();
    }

    /** A view of the tenants' names by index. The list only grows; an index always stands for the same tenant. */
    List<String> tenantNames() {
        return Collections.unmodifiableList(tenantNames);
    }

    void start(Vertx vertx, DispatcherNetwork wire, Metrics metrics) {
        this.wire = wire;
        metrics.addAdditionalMetrics(this::metrics);
        wire.onSettingsDatagram((peer, bytes) -> gossip.receive(clock.now(), peer, bytes));
        tick(vertx);
    }

    /** Re-arms a one-shot timer: after a pause of half a minute, a periodic one would fire for all missed ticks. */
    private void tick(Vertx vertx) {
        vertx.setTimer(Gossip.TICK_INTERVAL_US / 1000, t -> tick(vertx));
        long now = clock.now();
        gossip.tick(now);
        GossipStatus status = gossip.status(now);
        if (status.state() != state) {
            state = status.state();
            log.line(
                    "settings",
                    switch (state) {
                        case CONNECTED ->
                            "agreed upon with another dispatcher, " + status.heldChanges() + " changes held";
                        case CATCHING_UP -> "catching up";
                        case ISOLATED ->
                            "no contact to other dispatchers; where two quotas are known, the smaller applies";
                    });
            apply();
        }
    }

    /**
     * Announces the differences in a new file to all dispatchers.
     *
     * @throws IllegalArgumentException naming a faulty key of the file
     */
    void applyFile(Config next) {
        if (next.json == null) {
            throw new IllegalArgumentException("configuration key agree: is read at a start only");
        }
        ConfigDiff diff = ConfigDiff.between(file, next.json);
        diff.refused().forEach(key -> log.line("read at a start only", "configuration key " + key));
        if (!diff.changes().isEmpty()) {
            gossip.applyLocalChanges(clock.now(), diff.changes())
                    .forEach(fault -> log.line("setting not changed", fault));
            log.line("settings changed", diff.changes().size() + " by the new file");
        }
        file = next.json;
        fileValues = ConfigDiff.changeableValues(file);
        apply();
    }

    private void logChanges(String title, List<SettingChange> changes) {
        // in one line, because the log writes only the first of many lines with the same title in a second
        String text = changes.stream()
                .limit(MAX_LOGGED_CHANGES)
                .map(c -> c.key() + " " + (c.value() == null ? "removed" : c.value()) + " of dispatcher " + c.origin())
                .collect(Collectors.joining("; "));
        log.line(
                title,
                text
                        + (changes.size() > MAX_LOGGED_CHANGES
                                ? "; and " + (changes.size() - MAX_LOGGED_CHANGES) + " more"
                                : ""));
    }

    private void apply() {
        Map<SettingKey, String> values = new HashMap<>(fileValues);
        for (SettingChange c : gossip.heldChanges()) {
            String fileValue = values.get(c.key());
            values.put(c.key(), state == GossipStatus.State.ISOLATED ? smallerQuota(fileValue, c.value()) : c.value());
        }
        for (Map.Entry<SettingKey, String> e : values.entrySet()) {
            String name = e.getKey().name();
            if (e.getKey().setting() == DynamicSetting.ALLOWANCE && e.getValue() != null && knownTenants.add(name)) {
                tenantNames.add(name);
            }
        }
        List<Tenant> next = tenantNames.stream()
                .map(name -> {
                    String value = values.get(new SettingKey(DynamicSetting.ALLOWANCE, name));
                    return new Tenant(name, value == null ? 0 : Double.parseDouble(value));
                })
                .toList();
        if (!next.equals(tenants)) {
            tenants = next;
            wire.coordinator().report(new BalancerEvent.AllowancesChanged(next));
        }
    }

    /**
     * The smaller of the quota in the file and the agreed one; 0 and a removal mean no limit. Without contact to other
     * dispatchers a larger quota may have been revoked unnoticed, which would harm other tenants.
     */
    static String smallerQuota(String inFile, String agreed) {
        if (inFile == null || agreed == null || Double.parseDouble(inFile) == 0) {
            return agreed;
        }
        double agreedQuota = Double.parseDouble(agreed);
        return agreedQuota == 0 || Double.parseDouble(inFile) < agreedQuota ? inFile : agreed;
    }

    private List<Metric> metrics() {
        GossipStatus a = gossip.status(clock.now());
        return List.of(
                gauge(
                        "app_settings_state",
                        "0 in touch, 1 catching up, 2 no other is heard.",
                        a.state().ordinal()),
                gauge("app_settings_held", "Changes of settings held, marks of removals among them.", a.heldChanges()),
                gauge("app_settings_marks", "Of these, marks of removals.", a.tombstones()),
                gauge("app_settings_digest", "Equal where the same changes are held.", a.digest() >>> 32),
                gauge(
                        "app_settings_newest_seconds",
                        "The newest stamp held, in Unix time; 0 for none.",
                        a.newestTimestampUs() / 1e6),
                gauge(
                        "app_settings_behind_seconds",
                        "For how long another is known to hold something else.",
                        a.divergedUs() / 1e6),
                counter("app_settings_said_bytes", "Bytes of datagrams said of settings.", a.bytesSent()),
                counter("app_settings_heard_bytes", "Bytes of such datagrams heard.", a.bytesReceived()),
                counter(
                        "app_settings_refused",
                        "Changes not taken: faulty, ahead of the clock, too old or too many.",
                        a.rejectedChanges()),
                counter(
                        "app_settings_dropped",
                        "Datagrams forged, garbled, late or of another version.",
                        a.droppedDatagrams()));
    }

    private static Metric gauge(String name, String help, double value) {
        return new Metric(name, "gauge", help, value);
    }

    private static Metric counter(String name, String help, double value) {
        return new Metric(name, "counter", help, value);
    }
}
