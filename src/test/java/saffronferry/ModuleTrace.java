package saffronferry;

import static saffronferry.DispatcherHarness.MS;
import static saffronferry.DispatcherHarness.S;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import saffronferry.Contract.Effect;
import saffronferry.Contract.Group;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;

/**
 * Random days of small fleets of modules that speak with each other, and a digest of all that they do: equal
 * for two versions that decide alike. Command: {@code java -cp target/classes:target/test-classes
 * saffronferry.ModuleTrace SEED SEEDS [all]}, to be run with the classes of both versions; {@code all} prints
 * each action as well.
 */
final class ModuleTrace {
    private static final long STEP = 5 * MS;

    private final SplittableRandom dice;
    private final List<DispatcherHarness> harnesses = new ArrayList<>();
    private final List<WorkerInfo> listed = new ArrayList<>();
    private final int zones;
    private final int[] read;
    private final int[] heard;
    private final long[] silentUntil;
    private final List<Map<Long, Request>> asked = new ArrayList<>();
    private final List<Map<DispatcherHarness.Send, Long>> running = new ArrayList<>();
    private long nextId;
    private int born;
    private long now;
    private long digest = 1;
    private final Map<String, Long> counts = new HashMap<>();

    private ModuleTrace(long seed) {
        dice = new SplittableRandom(seed);
        zones = 1 + dice.nextInt(4);
        int peers = 1 + dice.nextInt(8);
        DispatcherHarness.Options options = new DispatcherHarness.Options();
        options.zones = zones;
        options.peers = peers;
        options.parallel = dice.nextInt(4) > 0;
        options.tellsStart = dice.nextBoolean();
        options.classes = List.of(
                DispatcherHarness.jobClass(Effect.SAFE, Group.ALL),
                DispatcherHarness.jobClass(Effect.UNSAFE, Group.ALL),
                DispatcherHarness.jobClass(Effect.KEYED, Group.values()[dice.nextInt(3)]));
        int workers = 4 << dice.nextInt(7);
        for (int i = 0; i < workers; i++) {
            add();
        }
        for (int d = 0; d < peers; d++) {
            options.self = d;
            options.zone = d % zones;
            options.seed = seed * 100 + d;
            DispatcherHarness harness = new DispatcherHarness(options.settings());
            harness.dispatcher.workers(harness.now, ListKind.WARM_COPY, listed);
            harnesses.add(harness);
            asked.add(new HashMap<>());
            running.add(new LinkedHashMap<>());
        }
        read = new int[peers];
        heard = new int[peers];
        silentUntil = new long[peers];
        now = harnesses.get(0).now;
    }

    private WorkerInfo add() {
        int zone = born % 9 == 8 ? -1 : dice.nextInt(zones);
        WorkerInfo w = new WorkerInfo(
                "w" + born++, WorkerState.IN_SERVICE, dice.nextInt(4) - 1 & 1, zone, 0, 10 * zone + dice.nextInt(3));
        listed.add(w);
        return w;
    }

    private long play(int steps) {
        double perStep = listed.size() * (0.02 + dice.nextDouble() * 0.06);
        for (int i = 0; i < steps; i++) {
            discover();
            if (dice.nextInt(400) == 0) {
                silentUntil[dice.nextInt(harnesses.size())] = now + dice.nextLong(4 * S);
            }
            for (int d = 0; d < harnesses.size(); d++) {
                requests(d, perStep / harnesses.size());
                endings(d);
                harnesses.get(d).advance(STEP);
            }
            now += STEP;
            exchange();
        }
        for (DispatcherHarness harness : harnesses) {
            for (String line : harness.trace) {
                digest = digest * 31 + line.hashCode();
                counts.merge(line.split(" ")[1], 1L, Long::sum);
            }
        }
        return digest;
    }

    private void discover() {
        int what = dice.nextInt(60);
        int at = dice.nextInt(listed.size());
        WorkerInfo w = listed.get(at);
        WorkerInfo other = null;
        if (what == 0) {
            other = new WorkerInfo(
                    w.address(), WorkerState.values()[dice.nextInt(3)], w.kind(), w.zone(), w.startedAt(), w.cell());
        } else if (what == 1) {
            other = new WorkerInfo(
                    w.address(), WorkerState.IN_SERVICE, w.kind(), w.zone(), now - dice.nextLong(9 * S), w.cell());
        } else if (what == 2 && dice.nextBoolean()) {
            other = new WorkerInfo(w.address(), WorkerState.GONE, w.kind(), w.zone(), w.startedAt(), w.cell());
            listed.remove(at);
            other = listed.isEmpty() ? add() : other;
        } else if (what == 3) {
            other = add();
        } else if (what == 4 && dice.nextInt(8) == 0) {
            harnesses.forEach(r -> r.dispatcher.workers(r.now, ListKind.WHOLE, listed));
        } else if (what == 5 && dice.nextInt(4) == 0) {
            other = new WorkerInfo(w.address(), w.state(), w.kind(), dice.nextInt(zones), w.startedAt(), w.cell());
        }
        if (other != null) {
            String address = other.address();
            WorkerInfo known = other;
            listed.replaceAll(x -> x.address().equals(address) ? known : x);
            for (DispatcherHarness harness : harnesses) {
                harness.change(other);
            }
        }
    }

    private void requests(int d, double mean) {
        int n = (int) mean + (dice.nextDouble() < mean % 1 ? 1 : 0);
        for (int i = 0; i < n; i++) {
            int slots = dice.nextInt(10) == 0 ? 1 + dice.nextInt(4) : 1;
            long within = dice.nextInt(8) == 0 ? 1 + dice.nextLong(100_000) : 5_000_000;
            Request q = new Request(++nextId, dice.nextInt(3), -1, now + within, slots, dice.nextInt(9) == 0);
            asked.get(d).put(q.id(), q);
            harnesses.get(d).dispatcher.request(now, q);
            if (dice.nextInt(100) == 0 && !harnesses.get(d).finals.containsKey(q.id())) {
                harnesses.get(d).finals.put(q.id(), "left");
                harnesses.get(d).dispatcher.clientGone(now, q.id());
            }
        }
    }

    private void endings(int d) {
        DispatcherHarness harness = harnesses.get(d);
        for (; read[d] < harness.sends.size(); read[d]++) {
            DispatcherHarness.Send s = harness.sends.get(read[d]);
            running.get(d).put(s, now + 50 * MS + dice.nextLong(dice.nextInt(9) == 0 ? 3 * S : 400 * MS));
        }
        for (Map.Entry<DispatcherHarness.Send, Long> e : List.copyOf(running.get(d).entrySet())) {
            DispatcherHarness.Send s = e.getKey();
            long until = asked.get(d).get(s.id()).validUntil();
            if (now >= e.getValue() || now >= until) {
                running.get(d).remove(s);
                Outcome[] all = Outcome.values();
                // some workers are worse than others
                boolean bad = dice.nextInt(s.worker().hashCode() % 7 == 0 ? 4 : 40) == 0;
                Outcome how = now >= until ? Outcome.TIMEOUT : bad ? all[dice.nextInt(all.length)] : Outcome.OK;
                boolean over = harness.finals.containsKey(s.id());
                if (how == Outcome.OK && !over) {
                    harness.finals.put(s.id(), "served");
                    over = true;
                }
                Report report = dice.nextInt(4) == 0 ? new Report(dice.nextInt(3), 0, dice.nextInt(6)) : null;
                harness.dispatcher.attemptEnded(now, s.id(), s.attempt(), how, now - s.at(), over, report);
            } else if (dice.nextInt(60) == 0) {
                harness.dispatcher.note(now, s.id(), s.attempt(), dice.nextBoolean());
            }
        }
        if (dice.nextInt(20) == 0 && !listed.isEmpty()) {
            harness.dispatcher.probed(
                    now,
                    listed.get(dice.nextInt(listed.size())).address(),
                    Outcome.OK,
                    dice.nextInt(5) == 0 ? null : new Report(Double.NaN, 0, dice.nextInt(6)));
        }
    }

    private void exchange() {
        for (int d = 0; d < harnesses.size(); d++) {
            DispatcherHarness from = harnesses.get(d);
            for (; heard[d] < from.sentMessages.size(); heard[d]++) {
                int to = from.messageReceivers.get(heard[d]);
                boolean lost = now < silentUntil[d] || now < silentUntil[to] || dice.nextInt(20) == 0;
                if (!lost) {
                    harnesses.get(to).dispatcher.peerMessage(now, d, from.sentMessages.get(heard[d]));
                }
            }
        }
    }

    public static void main(String[] args) {
        long first = Long.parseLong(args[0]);
        for (long seed = first; seed < first + Long.parseLong(args[1]); seed++) {
            ModuleTrace day = new ModuleTrace(seed);
            System.out.printf("%d %016x %s%n", seed, day.play(3000), new TreeMap<>(day.counts));
            for (int d = 0; args.length > 2 && d < day.harnesses.size(); d++) {
                for (String line : day.harnesses.get(d).trace) {
                    System.out.println(d + " " + line);
                }
            }
        }
    }
}
