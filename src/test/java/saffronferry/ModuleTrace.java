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
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.Idempotency;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;

/**
 * Random runs of small fleets of dispatchers that exchange messages, with a digest of all their actions: equal for two
 * versions that decide alike. Command: {@code java -cp target/classes:target/test-classes saffronferry.ModuleTrace SEED
 * SEEDS [all]}, to be run with the classes of both versions; {@code all} prints each action as well.
 */
final class ModuleTrace {
    private static final long STEP_US = 5 * MS;

    private final SplittableRandom random;
    private final List<DispatcherHarness> harnesses = new ArrayList<>();
    private final List<WorkerInfo> listed = new ArrayList<>();
    private final int zones;
    private final int[] handledSends;
    private final int[] deliveredMessages;
    private final long[] silentUntil;
    private final List<Map<Long, Request>> asked = new ArrayList<>();
    private final List<Map<DispatcherHarness.Send, Long>> running = new ArrayList<>();
    private long nextId;
    private int workersCreated;
    private long now;
    private long digest = 1;
    private final Map<String, Long> counts = new HashMap<>();

    private ModuleTrace(long seed) {
        random = new SplittableRandom(seed);
        zones = 1 + random.nextInt(4);
        int peers = 1 + random.nextInt(8);
        DispatcherHarness.Options options = new DispatcherHarness.Options();
        options.zones = zones;
        options.peers = peers;
        options.parallel = random.nextInt(4) > 0;
        options.tellsStart = random.nextBoolean();
        options.classes = List.of(
                DispatcherHarness.jobClass(Idempotency.SAFE, DedupScope.ALL),
                DispatcherHarness.jobClass(Idempotency.UNSAFE, DedupScope.ALL),
                DispatcherHarness.jobClass(Idempotency.KEYED, DedupScope.values()[random.nextInt(3)]));
        int workers = 4 << random.nextInt(7);
        for (int i = 0; i < workers; i++) {
            addWorker();
        }
        for (int d = 0; d < peers; d++) {
            options.self = d;
            options.zone = d % zones;
            options.seed = seed * 100 + d;
            DispatcherHarness harness = new DispatcherHarness(options.settings());
            harness.dispatcher.workerList(harness.now, ListKind.WARM_COPY, listed);
            harnesses.add(harness);
            asked.add(new HashMap<>());
            running.add(new LinkedHashMap<>());
        }
        handledSends = new int[peers];
        deliveredMessages = new int[peers];
        silentUntil = new long[peers];
        now = harnesses.get(0).now;
    }

    private WorkerInfo addWorker() {
        int zone = workersCreated % 9 == 8 ? -1 : random.nextInt(zones);
        WorkerInfo w = new WorkerInfo(
                "w" + workersCreated++,
                WorkerState.IN_SERVICE,
                random.nextInt(4) - 1 & 1,
                zone,
                0,
                10 * zone + random.nextInt(3));
        listed.add(w);
        return w;
    }

    private long run(int steps) {
        double perStep = listed.size() * (0.02 + random.nextDouble() * 0.06);
        for (int i = 0; i < steps; i++) {
            changeList();
            if (random.nextInt(400) == 0) {
                silentUntil[random.nextInt(harnesses.size())] = now + random.nextLong(4 * S);
            }
            for (int d = 0; d < harnesses.size(); d++) {
                sendRequests(d, perStep / harnesses.size());
                endAttempts(d);
                harnesses.get(d).advance(STEP_US);
            }
            now += STEP_US;
            deliverMessages();
        }
        for (DispatcherHarness harness : harnesses) {
            for (String line : harness.trace) {
                digest = digest * 31 + line.hashCode();
                counts.merge(line.split(" ")[1], 1L, Long::sum);
            }
        }
        return digest;
    }

    private void changeList() {
        int what = random.nextInt(60);
        int at = random.nextInt(listed.size());
        WorkerInfo w = listed.get(at);
        WorkerInfo other = null;
        if (what == 0) {
            other = new WorkerInfo(
                    w.address(), WorkerState.values()[random.nextInt(3)], w.kind(), w.zone(), w.startedAt(), w.cell());
        } else if (what == 1) {
            other = new WorkerInfo(
                    w.address(), WorkerState.IN_SERVICE, w.kind(), w.zone(), now - random.nextLong(9 * S), w.cell());
        } else if (what == 2 && random.nextBoolean()) {
            other = new WorkerInfo(w.address(), WorkerState.GONE, w.kind(), w.zone(), w.startedAt(), w.cell());
            listed.remove(at);
            other = listed.isEmpty() ? addWorker() : other;
        } else if (what == 3) {
            other = addWorker();
        } else if (what == 4 && random.nextInt(8) == 0) {
            harnesses.forEach(r -> r.dispatcher.workerList(r.now, ListKind.WHOLE, listed));
        } else if (what == 5 && random.nextInt(4) == 0) {
            other = new WorkerInfo(w.address(), w.state(), w.kind(), random.nextInt(zones), w.startedAt(), w.cell());
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

    private void sendRequests(int d, double mean) {
        int n = (int) mean + (random.nextDouble() < mean % 1 ? 1 : 0);
        for (int i = 0; i < n; i++) {
            int slots = random.nextInt(10) == 0 ? 1 + random.nextInt(4) : 1;
            long within = random.nextInt(8) == 0 ? 1 + random.nextLong(100_000) : 5_000_000;
            Request q = new Request(++nextId, random.nextInt(3), -1, now + within, slots, random.nextInt(9) == 0);
            asked.get(d).put(q.id(), q);
            harnesses.get(d).dispatcher.request(now, q);
            if (random.nextInt(100) == 0 && !harnesses.get(d).finals.containsKey(q.id())) {
                harnesses.get(d).finals.put(q.id(), "left");
                harnesses.get(d).dispatcher.clientGone(now, q.id());
            }
        }
    }

    private void endAttempts(int d) {
        DispatcherHarness harness = harnesses.get(d);
        for (; handledSends[d] < harness.sends.size(); handledSends[d]++) {
            DispatcherHarness.Send s = harness.sends.get(handledSends[d]);
            running.get(d).put(s, now + 50 * MS + random.nextLong(random.nextInt(9) == 0 ? 3 * S : 400 * MS));
        }
        for (Map.Entry<DispatcherHarness.Send, Long> e :
                List.copyOf(running.get(d).entrySet())) {
            DispatcherHarness.Send s = e.getKey();
            long until = asked.get(d).get(s.id()).validUntil();
            if (now >= e.getValue() || now >= until) {
                running.get(d).remove(s);
                Outcome[] all = Outcome.values();
                // one worker in seven fails more often
                boolean bad = random.nextInt(s.worker().hashCode() % 7 == 0 ? 4 : 40) == 0;
                Outcome how = now >= until ? Outcome.TIMEOUT : bad ? all[random.nextInt(all.length)] : Outcome.OK;
                boolean over = harness.finals.containsKey(s.id());
                if (how == Outcome.OK && !over) {
                    harness.finals.put(s.id(), "served");
                    over = true;
                }
                Report report = random.nextInt(4) == 0 ? new Report(random.nextInt(3), 0, random.nextInt(6)) : null;
                harness.dispatcher.attemptEnded(now, s.id(), s.attempt(), how, now - s.at(), over, report);
            } else if (random.nextInt(60) == 0) {
                harness.dispatcher.jobProgress(now, s.id(), s.attempt(), random.nextBoolean());
            }
        }
        if (random.nextInt(20) == 0 && !listed.isEmpty()) {
            harness.dispatcher.probeEnded(
                    now,
                    listed.get(random.nextInt(listed.size())).address(),
                    Outcome.OK,
                    random.nextInt(5) == 0 ? null : new Report(Double.NaN, 0, random.nextInt(6)));
        }
    }

    private void deliverMessages() {
        for (int d = 0; d < harnesses.size(); d++) {
            DispatcherHarness from = harnesses.get(d);
            for (; deliveredMessages[d] < from.sentMessages.size(); deliveredMessages[d]++) {
                int to = from.messageReceivers.get(deliveredMessages[d]);
                boolean lost = now < silentUntil[d] || now < silentUntil[to] || random.nextInt(20) == 0;
                if (!lost) {
                    harnesses.get(to).dispatcher.peerMessage(now, d, from.sentMessages.get(deliveredMessages[d]));
                }
            }
        }
    }

    public static void main(String[] args) {
        long first = Long.parseLong(args[0]);
        for (long seed = first; seed < first + Long.parseLong(args[1]); seed++) {
            ModuleTrace trace = new ModuleTrace(seed);
            System.out.printf("%d %016x %s%n", seed, trace.run(3000), new TreeMap<>(trace.counts));
            for (int d = 0; args.length > 2 && d < trace.harnesses.size(); d++) {
                for (String line : trace.harnesses.get(d).trace) {
                    System.out.println(d + " " + line);
                }
            }
        }
    }
}
