package saffronferry;

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
    private static final long STEP = 5 * Rig.MS;

    private final SplittableRandom dice;
    private final List<Rig> rigs = new ArrayList<>();
    private final List<WorkerInfo> listed = new ArrayList<>();
    private final int zones;
    private final int[] read;
    private final int[] heard;
    private final long[] silentUntil;
    private final List<Map<Long, Request>> asked = new ArrayList<>();
    private final List<Map<Rig.Send, Long>> running = new ArrayList<>();
    private long nextId;
    private int born;
    private long now;
    private long digest = 1;
    private final Map<String, Long> counts = new HashMap<>();

    private ModuleTrace(long seed) {
        dice = new SplittableRandom(seed);
        zones = 1 + dice.nextInt(4);
        int peers = 1 + dice.nextInt(8);
        Rig.Plan plan = new Rig.Plan();
        plan.zones = zones;
        plan.peers = peers;
        plan.parallel = dice.nextInt(4) > 0;
        plan.tellsStart = dice.nextBoolean();
        plan.classes = List.of(
                Rig.jobClass(Effect.SAFE, Group.ALL),
                Rig.jobClass(Effect.UNSAFE, Group.ALL),
                Rig.jobClass(Effect.KEYED, Group.values()[dice.nextInt(3)]));
        int workers = 4 << dice.nextInt(7);
        for (int i = 0; i < workers; i++) {
            add();
        }
        for (int d = 0; d < peers; d++) {
            plan.self = d;
            plan.zone = d % zones;
            plan.seed = seed * 100 + d;
            Rig rig = new Rig(plan.settings());
            rig.module.workers(rig.now, ListKind.WARM_COPY, listed);
            rigs.add(rig);
            asked.add(new HashMap<>());
            running.add(new LinkedHashMap<>());
        }
        read = new int[peers];
        heard = new int[peers];
        silentUntil = new long[peers];
        now = rigs.get(0).now;
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
                silentUntil[dice.nextInt(rigs.size())] = now + dice.nextLong(4 * Rig.S);
            }
            for (int d = 0; d < rigs.size(); d++) {
                requests(d, perStep / rigs.size());
                endings(d);
                rigs.get(d).run(STEP);
            }
            now += STEP;
            exchange();
        }
        for (Rig rig : rigs) {
            for (String line : rig.trace) {
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
                    w.address(), WorkerState.IN_SERVICE, w.kind(), w.zone(), now - dice.nextLong(9 * Rig.S), w.cell());
        } else if (what == 2 && dice.nextBoolean()) {
            other = new WorkerInfo(w.address(), WorkerState.GONE, w.kind(), w.zone(), w.startedAt(), w.cell());
            listed.remove(at);
            other = listed.isEmpty() ? add() : other;
        } else if (what == 3) {
            other = add();
        } else if (what == 4 && dice.nextInt(8) == 0) {
            rigs.forEach(r -> r.module.workers(r.now, ListKind.WHOLE, listed));
        } else if (what == 5 && dice.nextInt(4) == 0) {
            other = new WorkerInfo(w.address(), w.state(), w.kind(), dice.nextInt(zones), w.startedAt(), w.cell());
        }
        if (other != null) {
            String address = other.address();
            WorkerInfo known = other;
            listed.replaceAll(x -> x.address().equals(address) ? known : x);
            for (Rig rig : rigs) {
                rig.change(other);
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
            rigs.get(d).module.request(now, q);
            if (dice.nextInt(100) == 0 && !rigs.get(d).finals.containsKey(q.id())) {
                rigs.get(d).finals.put(q.id(), "left");
                rigs.get(d).module.clientGone(now, q.id());
            }
        }
    }

    private void endings(int d) {
        Rig rig = rigs.get(d);
        for (; read[d] < rig.sends.size(); read[d]++) {
            Rig.Send s = rig.sends.get(read[d]);
            running.get(d).put(s, now + 50 * Rig.MS + dice.nextLong(dice.nextInt(9) == 0 ? 3 * Rig.S : 400 * Rig.MS));
        }
        for (Map.Entry<Rig.Send, Long> e : List.copyOf(running.get(d).entrySet())) {
            Rig.Send s = e.getKey();
            long until = asked.get(d).get(s.id()).validUntil();
            if (now >= e.getValue() || now >= until) {
                running.get(d).remove(s);
                Outcome[] all = Outcome.values();
                // some workers are worse than others
                boolean bad = dice.nextInt(s.worker().hashCode() % 7 == 0 ? 4 : 40) == 0;
                Outcome how = now >= until ? Outcome.TIMEOUT : bad ? all[dice.nextInt(all.length)] : Outcome.OK;
                boolean over = rig.finals.containsKey(s.id());
                if (how == Outcome.OK && !over) {
                    rig.finals.put(s.id(), "served");
                    over = true;
                }
                Report report = dice.nextInt(4) == 0 ? new Report(dice.nextInt(3), 0, dice.nextInt(6)) : null;
                rig.module.attemptEnded(now, s.id(), s.attempt(), how, now - s.at(), over, report);
            } else if (dice.nextInt(60) == 0) {
                rig.module.note(now, s.id(), s.attempt(), dice.nextBoolean());
            }
        }
        if (dice.nextInt(20) == 0 && !listed.isEmpty()) {
            rig.module.probed(
                    now,
                    listed.get(dice.nextInt(listed.size())).address(),
                    Outcome.OK,
                    dice.nextInt(5) == 0 ? null : new Report(Double.NaN, 0, dice.nextInt(6)));
        }
    }

    private void exchange() {
        for (int d = 0; d < rigs.size(); d++) {
            Rig from = rigs.get(d);
            for (; heard[d] < from.told.size(); heard[d]++) {
                int to = from.toldTo.get(heard[d]);
                boolean lost = now < silentUntil[d] || now < silentUntil[to] || dice.nextInt(20) == 0;
                if (!lost) {
                    rigs.get(to).module.peerMessage(now, d, from.told.get(heard[d]));
                }
            }
        }
    }

    public static void main(String[] args) {
        long first = Long.parseLong(args[0]);
        for (long seed = first; seed < first + Long.parseLong(args[1]); seed++) {
            ModuleTrace day = new ModuleTrace(seed);
            System.out.printf("%d %016x %s%n", seed, day.play(3000), new TreeMap<>(day.counts));
            for (int d = 0; args.length > 2 && d < day.rigs.size(); d++) {
                for (String line : day.rigs.get(d).trace) {
                    System.out.println(d + " " + line);
                }
            }
        }
    }
}
