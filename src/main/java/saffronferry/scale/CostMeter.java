package saffronferry.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import saffronferry.lab.policy.DispatchLogic;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.world.ClusterSimulation;

/** Records the cost of each dispatcher of one simulation. */
final class CostMeter implements ClusterSimulation.LogicDecorator {
    /** The input of a decision. The names are written to results. */
    enum DecisionKind {
        PICK,
        REPORT,
        TICK,
        LIST,
        DATAGRAM
    }

    /** Kind and direction of a control message. The names are written to results. */
    enum MessageKind {
        DATAGRAM_OUT,
        DATAGRAM_IN,
        LIST_OUT,
        LIST_IN,
        PROBE_OUT,
        PROBE_IN
    }

    /**
     * The cost of one dispatcher over all its restarts; times in nanoseconds. Unless named after the start, the
     * totals cover only the time in which clients send requests.
     */
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
        /** Whether the first complete list was received; it belongs to the start, however late it arrives. */
        boolean firstListReceived;
        /** Whether the line being processed is that first complete list. */
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

    /** Dispatchers that retain their list, so that its heap is measured; the lists of all would fill the heap. */
    static final int LISTS_RETAINED = 8;

    final List<DispatcherCost> costs = new ArrayList<>();
    final WorkerListCodec listCodec;
    final ThreadCpuClock clock = new ThreadCpuClock();
    private final InstrumentedDispatcher[] dispatchers;
    private final long endsAt;
    private final LongConsumer progress;

    /** {@code progress} receives the virtual time, at least once per tick. */
    CostMeter(Scenario scenario, LongConsumer progress) {
        listCodec = new WorkerListCodec(scenario);
        endsAt = ClusterSimulation.LOAD_START_US + scenario.length();
        dispatchers = new InstrumentedDispatcher[scenario.dispatchers()];
        this.progress = progress;
        for (int i = 0; i < scenario.dispatchers(); i++) {
            costs.add(new DispatcherCost((int) Math.ceil(scenario.length() / 1e6)));
        }
    }

    @Override
    public DispatchLogic wrap(DispatchLogic brain, int dispatcher) {
        dispatchers[dispatcher] =
                new InstrumentedDispatcher(brain, this, costs.get(dispatcher), dispatcher < LISTS_RETAINED);
        return dispatchers[dispatcher];
    }

    /** Whether clients send requests at that time; only then are costs counted. */
    boolean isMeasured(long now) {
        return now >= ClusterSimulation.LOAD_START_US && now < endsAt;
    }

    /** Records a received list line; the first complete one of the first start is attributed to the start. */
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

    /** Records the CPU time of parsing a list line. */
    void recordListParse(DispatcherCost cost, long nanos, long now) {
        if (cost.readingFirstList || now < ClusterSimulation.LOAD_START_US) {
            cost.startNanos += nanos;
        } else if (isMeasured(now)) {
            cost.parses++;
            cost.parseNanos += nanos;
        }
    }

    /** Records the CPU time of a decision. */
    void recordDecision(DispatcherCost cost, DecisionKind kind, long nanos, long now) {
        if (cost.readingFirstList || now < ClusterSimulation.LOAD_START_US) {
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
            cost.bytesBySecond[(int) ((now - ClusterSimulation.LOAD_START_US) / 1_000_000)] += bytes;
        } else if (now < ClusterSimulation.LOAD_START_US) {
            cost.startBytes += bytes;
        }
    }

    void reportProgress(long now) {
        progress.accept(now);
    }

    /** Releases the retained lists and returns how many there were. */
    int releaseLists() {
        int released = 0;
        for (InstrumentedDispatcher dispatcher : dispatchers) {
            released += dispatcher.releaseList() ? 1 : 0;
        }
        return released;
    }

    /** Releases the decision modules. */
    void releaseModules() {
        for (InstrumentedDispatcher dispatcher : dispatchers) {
            dispatcher.releaseModule();
        }
    }
}
