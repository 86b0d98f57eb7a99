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
import saffronferry.Contract.Tenant;
import saffronferry.News;
import saffronferry.agree.GossipStatus;
import saffronferry.agree.SettingChange;
import saffronferry.agree.DynamicSetting;
import saffronferry.agree.Gossip;
import saffronferry.agree.SettingKey;
import saffronferry.log.BoundedLog;
import saffronferry.ops.Figures;
import saffronferry.ops.Figures.More;
import saffronferry.state.Clock;
import saffronferry.wire.Wire;

/**
 * The settings that hold now: those of the file, and over them what dispatchers have agreed upon since. For
 * the event loop.
 */
final class SettingsInForce {
    private static final int TOLD = 4; // of changes taken at once so many are logged by name

    private final BoundedLog log;
    private final Clock clock = new Clock();
    private final Gossip gossip;
    private JSONObject file;
    private Map<SettingKey, String> inFile;
    private final List<String> names = new ArrayList<>();
    private final Set<String> known = new HashSet<>();
    private List<Tenant> tenants;
    private Wire wire;
    private GossipStatus.State state;

    SettingsInForce(Config config, BoundedLog log) {
        this.log = log;
        file = config.json;
        inFile = ConfigDiff.values(file);
        names.addAll(config.settings.tenants);
        known.addAll(names);
        tenants = config.settings.settings.tenants();
        gossip = new Gossip(
                new Gossip.Options(
                        config.settings.settings.self(),
                        config.peers.size(),
                        config.agree.bytesPerS(),
                        config.agree.secret(),
                        config.settings.settings.seed()),
                new Gossip.Callbacks() {
                    @Override
                    public void send(int peer, byte[] bytes) {
                        wire.tell(peer, bytes);
                    }

                    @Override
                    public void changesApplied(List<SettingChange> changes) {
                        said("setting in force", changes);
                        apply();
                    }
                },
                clock.now());
        state = gossip.status(clock.now()).state();
    }

    /** The tenants' names by index: the list grows, and an index never becomes another tenant's. */
    List<String> names() {
        return Collections.unmodifiableList(names);
    }

    void start(Vertx vertx, Wire wire, Figures figures) {
        this.wire = wire;
        figures.also(this::figures);
        wire.onSettings((peer, bytes) -> gossip.receive(clock.now(), peer, bytes));
        tick(vertx);
    }

    /** A timer each: after a stop of half a minute a periodic one would make up for all it has missed. */
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
                        case CONNECTED -> "agreed upon with another dispatcher, " + status.heldChanges() + " changes held";
                        case CATCHING_UP -> "catching up";
                        case ISOLATED -> "no other dispatcher is heard; of quotas the smaller holds where two are known";
                    });
            apply();
        }
    }

    /** Tells all what differs in a new file; {@link IllegalArgumentException} names what is wrong in it. */
    void follow(Config next) {
        if (next.json == null) {
            throw new IllegalArgumentException("configuration key agree: is read at a start only");
        }
        ConfigDiff diff = ConfigDiff.between(file, next.json);
        diff.refused().forEach(key -> log.line("read at a start only", "configuration key " + key));
        if (!diff.changes().isEmpty()) {
            gossip.applyLocalChanges(clock.now(), diff.changes()).forEach(fault -> log.line("not changed", fault));
            log.line("settings changed", diff.changes().size() + " by the new file");
        }
        file = next.json;
        inFile = ConfigDiff.values(file);
        apply();
    }

    private void said(String title, List<SettingChange> changes) {
        // one line: of many of a title in a second, the log writes the first
        String all = changes.stream()
                .limit(TOLD)
                .map(c -> c.key() + " " + (c.value() == null ? "removed" : c.value()) + " of dispatcher " + c.origin())
                .collect(Collectors.joining("; "));
        log.line(title, all + (changes.size() > TOLD ? "; and " + (changes.size() - TOLD) + " more" : ""));
    }

    private void apply() {
        Map<SettingKey, String> all = new HashMap<>(inFile);
        for (SettingChange c : gossip.heldChanges()) {
            String before = all.get(c.key());
            all.put(c.key(), state == GossipStatus.State.ISOLATED ? smaller(before, c.value()) : c.value());
        }
        for (Map.Entry<SettingKey, String> e : all.entrySet()) {
            String name = e.getKey().name();
            if (e.getKey().setting() == DynamicSetting.ALLOWANCE && e.getValue() != null && known.add(name)) {
                names.add(name);
            }
        }
        List<Tenant> next = names.stream()
                .map(name -> {
                    String value = all.get(new SettingKey(DynamicSetting.ALLOWANCE, name));
                    return new Tenant(name, value == null ? 0 : Double.parseDouble(value));
                })
                .toList();
        if (!next.equals(tenants)) {
            tenants = next;
            wire.ledger().report(new News.AllowancesChanged(next));
        }
    }

    /** Guards other tenants against a quota that was taken back unheard: 0 and a removal are no limit. */
    static String smaller(String inFile, String agreed) {
        if (inFile == null || agreed == null || Double.parseDouble(inFile) == 0) {
            return agreed;
        }
        double is = Double.parseDouble(agreed);
        return is == 0 || Double.parseDouble(inFile) < is ? inFile : agreed;
    }

    private List<More> figures() {
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
                counter("app_settings_dropped", "Datagrams forged, garbled, late or of another version.", a.droppedDatagrams()));
    }

    private static More gauge(String name, String help, double value) {
        return new More(name, "gauge", help, value);
    }

    private static More counter(String name, String help, double value) {
        return new More(name, "counter", help, value);
    }
}
