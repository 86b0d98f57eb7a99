package saffronferry.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import saffronferry.lab.policy.Brain;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.world.World;

/** What one play's dispatchers cost, each by itself. */
final class CostMeter implements World.Wrap {
    /** What a decision is about. */
    enum DecisionKind {
        PICK,
        REPORT,
        TICK,
        LIST,
        DATAGRAM
    }

    /** What is said for control, and in which direction. */
    enum MessageKind {
        DATAGRAM_OUT,
        DATAGRAM_IN,
        LIST_OUT,
        LIST_IN,
        PROBE_OUT,
        PROBE_IN
    }

    /** What one dispatcher costs, over all its lives; times in nanoseconds, while clients ask. */
    static final class DispatcherCost {
        final long[] decisions = new long[DecisionKind.values().length];
        final long[] nanos = new long[DecisionKind.values().length];
        final long[] messages = new long[MessageKind.values().length];
        final long[] bytes = new long[MessageKind.values().length];
        final long[] bytesBySecond;
        long parses;
        long parseNanos;
        long startBytes;
        long startNanos;
        long wholeListBytes;
        /** Whether its first whole list has come: that belongs to its start, however late it is. */
        boolean firstListReceived;
        /** Whether the line that is being taken in is that one. */
        boolean readingFirstList;

        DispatcherCost(int seconds) {
            bytesBySecond = new long[seconds];
        }

        long busyNanos() {
            long sum = parseNanos;
            for (long n : nanos) {
                sum += n;
            }
            return sum;
        }

        long controlBytes() {
            long sum = 0;
            for (long n : bytes) {
                sum += n;
            }
            return sum;
        }
    }

    /** So many keep their list as {@code serve} does, to be weighed; kept by all it would fill the heap. */
    static final int LISTS_RETAINED = 8;

    final List<DispatcherCost> costs = new ArrayList<>();
    final WorkerListCodec listCodec;
    final ThreadCpuClock clock = new ThreadCpuClock();
    private final InstrumentedDispatcher[] dispatchers;
    private final long endsAt;
    private final LongConsumer progress;

    /** {@code progress} is told the time reached, as brains are handed it, at least once in each tick. */
    CostMeter(Scenario scenario, LongConsumer progress) {
        listCodec = new WorkerListCodec(scenario);
        endsAt = World.DAY_STARTS + scenario.length();
        dispatchers = new InstrumentedDispatcher[scenario.dispatchers()];
        this.progress = progress;
        for (int i = 0; i < scenario.dispatchers(); i++) {
            costs.add(new DispatcherCost((int) Math.ceil(scenario.length() / 1e6)));
        }
    }

    @Override
    public Brain wrap(Brain brain, int dispatcher) {
        dispatchers[dispatcher] = new InstrumentedDispatcher(brain, this, costs.get(dispatcher), dispatcher < LISTS_RETAINED);
        return dispatchers[dispatcher];
    }

    /** Whether clients ask at that time: only then decisions count. */
    boolean isMeasured(long now) {
        return now >= World.DAY_STARTS && now < endsAt;
    }

    /** A line of the list has come; the first whole one of a dispatcher's first life is its start's. */
    void recordListReceived(DispatcherCost cost, boolean whole, int bytes, long now) {
        cost.readingFirstList = whole && !cost.firstListReceived;
        cost.firstListReceived |= whole;
        if (cost.readingFirstList) {
            cost.startBytes += bytes;
        } else {
            cost.wholeListBytes += whole && isMeasured(now) ? bytes : 0;
            recordMessage(cost, MessageKind.LIST_IN, bytes, now);
        }
    }

    /** To read a line of the list has taken so long. */
    void recordListParse(DispatcherCost cost, long nanos, long now) {
        if (cost.readingFirstList || now < World.DAY_STARTS) {
            cost.startNanos += nanos;
        } else if (isMeasured(now)) {
            cost.parses++;
            cost.parseNanos += nanos;
        }
    }

    /** A decision has taken so long. */
    void recordDecision(DispatcherCost cost, DecisionKind kind, long nanos, long now) {
        if (cost.readingFirstList || now < World.DAY_STARTS) {
            cost.startNanos += nanos;
            cost.readingFirstList = false;
        } else if (isMeasured(now)) {
            cost.nanos[kind.ordinal()] += nanos;
            cost.decisions[kind.ordinal()]++;
        }
    }

    void recordMessage(DispatcherCost cost, MessageKind kind, int bytes, long now) {
        if (isMeasured(now)) {
            cost.messages[kind.ordinal()]++;
            cost.bytes[kind.ordinal()] += bytes;
            cost.bytesBySecond[(int) ((now - World.DAY_STARTS) / 1_000_000)] += bytes;
        } else if (now < World.DAY_STARTS) {
            cost.startBytes += bytes;
        }
    }

    void reportProgress(long now) {
        progress.accept(now);
    }

    /** Lets go of the lists that are kept beside the modules; how many there were. */
    int releaseLists() {
        int released = 0;
        for (InstrumentedDispatcher dispatcher : dispatchers) {
            released += dispatcher.releaseList() ? 1 : 0;
        }
        return released;
    }

    /** Lets go of the modules. */
    void releaseModules() {
        for (InstrumentedDispatcher dispatcher : dispatchers) {
            dispatcher.releaseModule();
        }
    }
}
