package saffronferry;

import static saffronferry.DispatcherHarness.MS;
import static saffronferry.DispatcherHarness.S;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.Idempotency;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.Contract.Settings;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;

/**
 * Measures the processor time of each event of one {@link Dispatcher} by the length of the worker list, with the same
 * light load at each length. Command: {@code java -cp target/classes:target/test-classes saffronferry.ModuleCost
 * [ROUNDS [alone|fleet [ZONES [WORKERS...]]]]}. Results: docs/measurements/module.md.
 */
final class ModuleCost implements Contract.Actions {
    /** Requests in a row: few enough for one worker, so that lists of every length have the same load. */
    static final int BURST_REQUESTS = 8;

    private static final int SLOTS_PER_WORKER = 16;
    private static final long JOB_DURATION_US = 25 * MS;
    private static final long PEER_MESSAGE_INTERVAL_US = 500 * MS;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    final Dispatcher dispatcher;
    private final Settings settings;
    private final List<WorkerInfo> list = new ArrayList<>();
    private final List<Long> sent = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(1);
    private int nextWorkerNumber;
    private long now = 100 * S;
    private long nextTick = Long.MAX_VALUE;
    private long tickToken;
    private long peersHeardAt;
    private long lastRequestId;

    /**
     * A dispatcher that has the whole list and has learned slots.
     *
     * @param fleet whether there are two dispatchers in each zone, all of them heard; else it is alone and owns all
     *     workers
     */
    ModuleCost(int workers, int zones, boolean fleet) {
        DispatcherHarness.Options options = new DispatcherHarness.Options();
        options.zones = zones;
        options.peers = fleet ? 2 * zones : 1;
        options.classes = List.of(DispatcherHarness.jobClass(Idempotency.SAFE, DedupScope.ALL));
        settings = options.settings();
        dispatcher = new Dispatcher(settings, this);
        for (int i = 0; i < workers; i++) {
            list.add(info(i, WorkerState.IN_SERVICE));
        }
        nextWorkerNumber = workers;
        dispatcher.workerList(now, ListKind.WARM_COPY, list);
        receivePeerMessages();
        for (int i = 0; i < 400; i++) { // until ownership has settled and slots are learned
            dispatcher.probeEnded(
                    now,
                    list.get(i % workers).address(),
                    Outcome.OK,
                    new Report(SLOTS_PER_WORKER, 0, SLOTS_PER_WORKER));
            tick();
        }
    }

    private WorkerInfo info(int number, WorkerState state) {
        int zone = number % settings.zoneCount();
        int cell = number / settings.zoneCount() / 40 * settings.zoneCount() + zone;
        return new WorkerInfo(
                "10." + (number >> 16) + "." + (number >> 8 & 255) + "." + (number & 255) + ":80",
                state,
                number % 2,
                zone,
                0,
                cell);
    }

    private void receivePeerMessages() {
        peersHeardAt = now;
        for (int peer = 1; peer < settings.dispatcherCount(); peer++) {
            dispatcher.peerMessage(
                    now,
                    peer,
                    new PeerMessage(PeerMessage.Type.OFFERS, peer % settings.zoneCount(), 1, 1, 20, 500 * MS).encode());
        }
    }

    /** Advances the clock to the next tick and handles it; returns its cost in ns. */
    long tick() {
        now = nextTick;
        if (now - peersHeardAt >= PEER_MESSAGE_INTERVAL_US) {
            receivePeerMessages();
        }
        long start = THREADS.getCurrentThreadCpuTime();
        dispatcher.timerFired(now, tickToken);
        return THREADS.getCurrentThreadCpuTime() - start;
    }

    /** Handles a burst of requests; returns its cost in ns. */
    long requestBurst() {
        long start = THREADS.getCurrentThreadCpuTime();
        for (int i = 0; i < BURST_REQUESTS; i++) {
            dispatcher.request(now, new Request(++lastRequestId, 0, -1, now + 5 * S, 1, false));
        }
        long cost = THREADS.getCurrentThreadCpuTime() - start;
        if (sent.size() != BURST_REQUESTS) {
            throw new IllegalStateException(sent.size() + " of " + BURST_REQUESTS + " requests sent");
        }
        return cost;
    }

    void endJobs() {
        List<Long> jobs = new ArrayList<>(sent);
        sent.clear();
        for (long job : jobs) {
            dispatcher.attemptEnded(now, job, 0, Outcome.OK, JOB_DURATION_US, true, null);
        }
    }

    /** Drains a random worker, or puts one back in service; returns the cost in ns. */
    long changeWorker(boolean backInService) {
        int index = random.nextInt(list.size());
        WorkerInfo worker = list.get(index);
        WorkerInfo changed = new WorkerInfo(
                worker.address(),
                backInService ? WorkerState.IN_SERVICE : WorkerState.DRAINING,
                worker.kind(),
                worker.zone(),
                0,
                worker.cell());
        return change(List.of(changed));
    }

    /** Replaces a worker by a new, cold one; returns the cost in ns, with that of the ticks that follow. */
    long replace(int ticks) {
        int index = random.nextInt(list.size());
        WorkerInfo old = list.get(index);
        WorkerInfo replacement = info(
                nextWorkerNumber - nextWorkerNumber % settings.zoneCount() + settings.zoneCount() + old.zone(),
                WorkerState.IN_SERVICE);
        nextWorkerNumber += settings.zoneCount();
        list.set(index, replacement);
        long cost = change(List.of(
                replacement, new WorkerInfo(old.address(), WorkerState.GONE, old.kind(), old.zone(), 0, old.cell())));
        for (int i = 0; i < ticks; i++) {
            cost += tick();
        }
        return cost;
    }

    private long change(List<WorkerInfo> entries) {
        long start = THREADS.getCurrentThreadCpuTime();
        dispatcher.workerList(now, ListKind.CHANGES, entries);
        return THREADS.getCurrentThreadCpuTime() - start;
    }

    /** Applies the whole list again, without any change; returns the cost in ns. */
    long applyWholeList() {
        long start = THREADS.getCurrentThreadCpuTime();
        dispatcher.workerList(now, ListKind.WHOLE, list);
        return THREADS.getCurrentThreadCpuTime() - start;
    }

    /** Mean of an empty measurement, in ns; to be subtracted from the others. */
    private static double clockOverheadNs() {
        long sum = 0;
        for (int i = 0; i < 20_000; i++) {
            long start = THREADS.getCurrentThreadCpuTime();
            sum += THREADS.getCurrentThreadCpuTime() - start;
        }
        return sum / 20_000.0;
    }

    private static String row(int workers, int zones, boolean fleet, int rounds) {
        ModuleCost cost = new ModuleCost(workers, zones, fleet);
        double pick = 0;
        double tick = 0;
        for (int i = -rounds / 2; i < rounds; i++) { // the first rounds warm up the JIT compiler
            pick += i < 0 ? 0 * cost.requestBurst() : cost.requestBurst();
            cost.endJobs();
            tick += i < 0 ? 0 * cost.tick() : cost.tick();
        }
        int few = Math.max(4, rounds / 16);
        double change = 0;
        double replace = 0;
        double whole = 0;
        for (int i = -few / 4; i < few; i++) {
            change += i < 0 ? 0 * cost.changeWorker(i % 2 == 0) : cost.changeWorker(i % 2 == 0);
        }
        cost.applyWholeList();
        for (int i = 0; i < few; i++) {
            replace += cost.replace(8);
        }
        for (int i = 0; i < 100_000 / workers; i++) { // warms up the JIT compiler: changes may take another path
            cost.applyWholeList();
        }
        for (int i = 0; i < Math.max(4, few / 8); i++) {
            whole += cost.applyWholeList();
        }
        double clock = clockOverheadNs();
        double oneTick = tick / rounds - clock;
        return String.format(
                Locale.ROOT,
                "%-6s%6d%9d%9.2f%9.1f%11.1f%11.1f%11.0f",
                fleet ? "fleet" : "alone",
                zones,
                workers,
                (pick / rounds - clock) / BURST_REQUESTS / 1e3,
                oneTick / 1e3,
                (change / few - clock) / 1e3,
                (replace / few - 9 * clock - 8 * oneTick) / 1e3,
                (whole / Math.max(4, few / 8) - clock) / 1e3);
    }

    public static void main(String[] args) {
        int rounds = args.length > 0 ? Integer.parseInt(args[0]) : 4000;
        List<String> layouts = args.length > 1 ? List.of(args[1]) : List.of("alone", "fleet");
        int[] zones = args.length > 2 ? new int[] {Integer.parseInt(args[2])} : new int[] {2, 36};
        int[] sizes = args.length > 3
                ? Arrays.stream(args).skip(3).mapToInt(Integer::parseInt).toArray()
                : new int[] {100, 600, 2000, 8000, 21_000};
        for (int i = 0; i < 2; i++) { // warms up the JIT compiler
            row(600, zones[0], true, rounds);
            row(600, zones[0], false, rounds);
        }
        System.out.println(
                "processor time in us; list change: one worker drains or is back; replace: beyond 8 ticks' cost");
        System.out.println("layout zones  workers     pick     tick     change    replace      whole");
        for (String layout : layouts) {
            for (int z : zones) {
                for (int n : sizes) {
                    System.out.println(row(n, z, layout.equals("fleet"), rounds));
                }
            }
        }
    }

    @Override
    public void startAttempt(long request, String worker) {
        sent.add(request);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {}

    @Override
    public void refuse(long request, long retryAfter) {
        throw new IllegalStateException("refused " + request);
    }

    @Override
    public void fail(long request) {
        throw new IllegalStateException("failed " + request);
    }

    @Override
    public void startTimer(long token, long delay) {
        tickToken = token;
        nextTick = now + delay;
    }

    @Override
    public void probe(String worker) {}

    @Override
    public void sendToPeer(int peer, byte[] bytes) {}

    @Override
    public void subscribe() {}
}
