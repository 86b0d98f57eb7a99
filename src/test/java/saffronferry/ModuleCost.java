package saffronferry;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import saffronferry.Contract.Effect;
import saffronferry.Contract.Group;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.Contract.Settings;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;

/**
 * One module beside a list of any size, with the same little traffic of its own zone at each: what each event
 * costs in processor time. Command: {@code java -cp target/classes:target/test-classes saffronferry.ModuleCost
 * [ROUNDS [alone|fleet [ZONES [WORKERS...]]]]}. Figures and their meaning: docs/measurements/module.md.
 */
final class ModuleCost implements Contract.Actions {
    /** Requests at a time: few enough for one worker, so that each size has the same load. */
    static final int BURST = 8;

    private static final int SLOTS = 16;
    private static final long TICK = 25 * Rig.MS;
    private static final long HEARD_AGAIN = 500 * Rig.MS;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    final Dispatcher module;
    private final Settings settings;
    private final List<WorkerInfo> list = new ArrayList<>();
    private final List<Long> sent = new ArrayList<>();
    private final SplittableRandom dice = new SplittableRandom(1);
    private int next;
    private long now = 100 * Rig.S;
    private long nextTick = Long.MAX_VALUE;
    private long tickToken;
    private long heardAt;
    private long id;

    /**
     * Begins with a whole list.
     *
     * @param fleet with two dispatchers in each zone, all heard; else it is alone and fills all workers
     */
    ModuleCost(int workers, int zones, boolean fleet) {
        Rig.Plan plan = new Rig.Plan();
        plan.zones = zones;
        plan.peers = fleet ? 2 * zones : 1;
        plan.classes = List.of(Rig.jobClass(Effect.SAFE, Group.ALL));
        settings = plan.settings();
        module = new Dispatcher(settings, this);
        for (int i = 0; i < workers; i++) {
            list.add(info(i, WorkerState.IN_SERVICE));
        }
        next = workers;
        module.workers(now, ListKind.WARM_COPY, list);
        hear();
        for (int i = 0; i < 400; i++) { // homes are settled, slots learned
            module.probed(now, list.get(i % workers).address(), Outcome.OK, new Report(SLOTS, 0, SLOTS));
            step();
        }
    }

    private WorkerInfo info(int number, WorkerState state) {
        int zone = number % settings.zones();
        int cell = number / settings.zones() / 40 * settings.zones() + zone;
        return new WorkerInfo(
                "10." + (number >> 16) + "." + (number >> 8 & 255) + "." + (number & 255) + ":80",
                state,
                number % 2,
                zone,
                0,
                cell);
    }

    private void hear() {
        heardAt = now;
        for (int peer = 1; peer < settings.peers(); peer++) {
            module.peerMessage(
                    now,
                    peer,
                    new PeerMessage(PeerMessage.Type.OFFERS, peer % settings.zones(), 1, 1, 20, 500 * Rig.MS).bytes());
        }
    }

    /** Lets the clock run to the next tick, plays it, and says what it cost, in ns. */
    long step() {
        now = nextTick;
        if (now - heardAt >= HEARD_AGAIN) {
            hear();
        }
        long begun = THREADS.getCurrentThreadCpuTime();
        module.timer(now, tickToken);
        return THREADS.getCurrentThreadCpuTime() - begun;
    }

    /** Picks for some requests, whose jobs then end; what the picks cost, in ns. */
    long picks() {
        long begun = THREADS.getCurrentThreadCpuTime();
        for (int i = 0; i < BURST; i++) {
            module.request(now, new Request(++id, 0, -1, now + 5 * Rig.S, 1, false));
        }
        long cost = THREADS.getCurrentThreadCpuTime() - begun;
        if (sent.size() != BURST) {
            throw new IllegalStateException(sent.size() + " of " + BURST + " requests sent");
        }
        return cost;
    }

    void end() {
        List<Long> jobs = new ArrayList<>(sent);
        sent.clear();
        for (long job : jobs) {
            module.attemptEnded(now, job, 0, Outcome.OK, TICK, true, null);
        }
    }

    /** One worker of the list drains, or is back in service, in turns; what that costs, in ns. */
    long change(boolean back) {
        int which = dice.nextInt(list.size());
        WorkerInfo w = list.get(which);
        WorkerInfo drains = new WorkerInfo(
                w.address(), back ? WorkerState.IN_SERVICE : WorkerState.DRAINING, w.kind(), w.zone(), 0, w.cell());
        return change(List.of(drains));
    }

    /** One worker is replaced by another, which is cold; what that costs with the ticks of the time after, in ns. */
    long replace(int ticks) {
        int which = dice.nextInt(list.size());
        WorkerInfo old = list.get(which);
        WorkerInfo young = info(next - next % settings.zones() + settings.zones() + old.zone(), WorkerState.IN_SERVICE);
        next += settings.zones();
        list.set(which, young);
        long cost = change(
                List.of(young, new WorkerInfo(old.address(), WorkerState.GONE, old.kind(), old.zone(), 0, old.cell())));
        for (int i = 0; i < ticks; i++) {
            cost += step();
        }
        return cost;
    }

    private long change(List<WorkerInfo> entries) {
        long begun = THREADS.getCurrentThreadCpuTime();
        module.workers(now, ListKind.CHANGES, entries);
        return THREADS.getCurrentThreadCpuTime() - begun;
    }

    /** The whole list once more, with nothing new in it; what that costs, in ns. */
    long whole() {
        long begun = THREADS.getCurrentThreadCpuTime();
        module.workers(now, ListKind.WHOLE, list);
        return THREADS.getCurrentThreadCpuTime() - begun;
    }

    /** What reading the clock twice seems to cost, in ns. */
    private static double clock() {
        long sum = 0;
        for (int i = 0; i < 20_000; i++) {
            long begun = THREADS.getCurrentThreadCpuTime();
            sum += THREADS.getCurrentThreadCpuTime() - begun;
        }
        return sum / 20_000.0;
    }

    private static String row(int workers, int zones, boolean fleet, int rounds) {
        ModuleCost module = new ModuleCost(workers, zones, fleet);
        double pick = 0;
        double tick = 0;
        for (int i = -rounds / 2; i < rounds; i++) { // the first ones are for the compiler
            pick += i < 0 ? 0 * module.picks() : module.picks();
            module.end();
            tick += i < 0 ? 0 * module.step() : module.step();
        }
        int few = Math.max(4, rounds / 16);
        double change = 0;
        double replace = 0;
        double whole = 0;
        for (int i = -few / 4; i < few; i++) {
            change += i < 0 ? 0 * module.change(i % 2 == 0) : module.change(i % 2 == 0);
        }
        module.whole();
        for (int i = 0; i < few; i++) {
            replace += module.replace(8);
        }
        for (int i = 0; i < 100_000 / workers; i++) { // for the compiler: changes may go another way
            module.whole();
        }
        for (int i = 0; i < Math.max(4, few / 8); i++) {
            whole += module.whole();
        }
        double clock = clock();
        double oneTick = tick / rounds - clock;
        return String.format(
                Locale.ROOT,
                "%-6s%6d%9d%9.2f%9.1f%11.1f%11.1f%11.0f",
                fleet ? "fleet" : "alone",
                zones,
                workers,
                (pick / rounds - clock) / BURST / 1e3,
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
        for (int i = 0; i < 2; i++) { // for the compiler
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
    public void send(long request, String worker) {
        sent.add(request);
    }

    @Override
    public void cancel(long request, int attempt) {}

    @Override
    public void refuse(long request, long retryAfter) {
        throw new IllegalStateException("refused " + request);
    }

    @Override
    public void fail(long request) {
        throw new IllegalStateException("failed " + request);
    }

    @Override
    public void timer(long token, long delay) {
        tickToken = token;
        nextTick = now + delay;
    }

    @Override
    public void probe(String worker) {}

    @Override
    public void tell(int peer, byte[] bytes) {}

    @Override
    public void subscribe() {}
}
