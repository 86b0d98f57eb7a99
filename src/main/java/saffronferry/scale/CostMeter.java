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
    enum Event {
        PICK,
        REPORT,
        TICK,
        LIST,
        DATAGRAM
    }

    /** What is said for control, and in which direction. */
    enum Kind {
        DATAGRAM_OUT,
        DATAGRAM_IN,
        LIST_OUT,
        LIST_IN,
        PROBE_OUT,
        PROBE_IN
    }

    /** What one dispatcher costs, over all its lives; times in nanoseconds, while clients ask. */
    static final class Account {
        final long[] decisions = new long[Event.values().length];
        final long[] nanos = new long[Event.values().length];
        final long[] messages = new long[Kind.values().length];
        final long[] bytes = new long[Kind.values().length];
        final long[] bytesBySecond;
        long parses;
        long parseNanos;
        long startBytes;
        long startNanos;
        long wholeListBytes;
        /** Whether its first whole list has come: that belongs to its start, however late it is. */
        boolean begun;
        /** Whether the line that is being taken in is that one. */
        boolean starting;

        Account(int seconds) {
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
    static final int LISTS_KEPT = 8;

    final List<Account> accounts = new ArrayList<>();
    final WorkerListCodec lines;
    final ThreadCpuClock clock = new ThreadCpuClock();
    private final InstrumentedDispatcher[] brains;
    private final long ends;
    private final LongConsumer progress;

    /** {@code progress} is told the time reached, as brains are handed it, at least once in each tick. */
    CostMeter(Scenario scenario, LongConsumer progress) {
        lines = new WorkerListCodec(scenario);
        ends = World.DAY_STARTS + scenario.length();
        brains = new InstrumentedDispatcher[scenario.dispatchers()];
        this.progress = progress;
        for (int i = 0; i < scenario.dispatchers(); i++) {
            accounts.add(new Account((int) Math.ceil(scenario.length() / 1e6)));
        }
    }

    @Override
    public Brain wrap(Brain brain, int dispatcher) {
        brains[dispatcher] = new InstrumentedDispatcher(brain, this, accounts.get(dispatcher), dispatcher < LISTS_KEPT);
        return brains[dispatcher];
    }

    /** Whether clients ask at that time: only then decisions count. */
    boolean counts(long now) {
        return now >= World.DAY_STARTS && now < ends;
    }

    /** A line of the list has come; the first whole one of a dispatcher's first life is its start's. */
    void listed(Account account, boolean whole, int bytes, long now) {
        account.starting = whole && !account.begun;
        account.begun |= whole;
        if (account.starting) {
            account.startBytes += bytes;
        } else {
            account.wholeListBytes += whole && counts(now) ? bytes : 0;
            said(account, Kind.LIST_IN, bytes, now);
        }
    }

    /** To read a line of the list has taken so long. */
    void read(Account account, long nanos, long now) {
        if (account.starting || now < World.DAY_STARTS) {
            account.startNanos += nanos;
        } else if (counts(now)) {
            account.parses++;
            account.parseNanos += nanos;
        }
    }

    /** A decision has taken so long. */
    void took(Account account, Event event, long nanos, long now) {
        if (account.starting || now < World.DAY_STARTS) {
            account.startNanos += nanos;
            account.starting = false;
        } else if (counts(now)) {
            account.nanos[event.ordinal()] += nanos;
            account.decisions[event.ordinal()]++;
        }
    }

    void said(Account account, Kind kind, int bytes, long now) {
        if (counts(now)) {
            account.messages[kind.ordinal()]++;
            account.bytes[kind.ordinal()] += bytes;
            account.bytesBySecond[(int) ((now - World.DAY_STARTS) / 1_000_000)] += bytes;
        } else if (now < World.DAY_STARTS) {
            account.startBytes += bytes;
        }
    }

    void reached(long now) {
        progress.accept(now);
    }

    /** Lets go of the lists that are kept beside the modules; how many there were. */
    int dropLists() {
        int dropped = 0;
        for (InstrumentedDispatcher brain : brains) {
            dropped += brain.dropList() ? 1 : 0;
        }
        return dropped;
    }

    /** Lets go of the modules. */
    void dropModules() {
        for (InstrumentedDispatcher brain : brains) {
            brain.dropModule();
        }
    }
}
