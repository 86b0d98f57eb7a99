package saffronferry.lab.explore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.stream.IntStream;
import saffronferry.fleet.ColdShares;

/**
 * Model of the shares protocol: three dispatchers divide the budget of a cold worker and send one another a
 * message every {@link #TICK_US}. Each of the 64 combinations of working links occurs, datagrams are delayed or
 * duplicated, and dispatchers restart, or are suspended and resumed. Bounds: a dispatcher that uses the share of
 * another one was granted it less than a lease ago by the clock of the other one; two dispatchers use the same
 * share for no longer than a lease; and after a time without faults exactly one dispatcher uses each share.
 */
public final class SharesModel implements Model<SharesModel.State> {
    /** The protocol as implemented, and faulty variants whose violations must be found. */
    public enum Variant {
        AS_BUILT,
        /** The age of a message counts from its arrival instead of its time stamp. */
        AGE_FROM_RECEIPT,
        /** Leases are checked by a timer instead of before each use, so a resumed process overspends. */
        LEASE_BY_TIMER,
        /** A dispatcher whose messages arrive counts as having granted its share, whatever they contain. */
        HEARD_IS_LEFT
    }

    /** Time between two updates and between two message exchanges; two fit into a lease. */
    static final long TICK_US = 450_000;

    private static final long LATE_DELAY_US = 2 * TICK_US;
    private static final int DISPATCHERS = 3;
    private static final int WORKER_HASH = 0x51f3a7;
    private static final int ALL_LINKS = (1 << DISPATCHERS * DISPATCHERS) - 1; // bit: from * DISPATCHERS + to
    private static final int SELF_LINKS = 0b100010001;
    /** Consecutive ticks in which two dispatchers may use the same share: as many as fit into a lease. */
    private static final int MAX_DOUBLE_USE_TICKS = 2;

    private static final int QUIET_TICKS = 8;
    /** Passed to {@link #tick} where no datagram is delayed or duplicated. */
    private static final int NO_LINK = -1;

    private static final int ARRIVES_LATE = 1;
    private static final int ARRIVES_TWICE = 2;

    private final Variant variant;
    private final int faults;
    private final State initial;

    /** Starts with three connected dispatchers; a trace contains at most {@code faults} faults. */
    public SharesModel(Variant variant, int faults) {
        this.variant = variant;
        this.faults = faults;
        State s = new State();
        s.faults = faults;
        for (int i = 0; i < DISPATCHERS; i++) {
            s.shares[i] = new ColdShares(i, DISPATCHERS);
        }
        for (int i = 0; i < QUIET_TICKS; i++) {
            s = tick(s, NO_LINK, 0);
        }
        initial = s;
    }

    private record Datagram(int from, int to, BitSet grant, BitSet heardPeers, long sentAt, long dueAt) {}

    /** The state of all three dispatchers. */
    static final class State {
        long now = 100 * TICK_US;
        int faults;
        int links = ALL_LINKS;
        int stopped = -1;
        int quietTicks;
        final ColdShares[] shares = new ColdShares[DISPATCHERS];
        final long[][] lastHeardAt = new long[DISPATCHERS][DISPATCHERS];
        /** Whether [i] uses the share of [k], as of the last update of i. */
        final boolean[][] usesShare = new boolean[DISPATCHERS][DISPATCHERS];
        /** When [k] last sent a message that grants its share to [i]. */
        final long[][] delegatedAt = new long[DISPATCHERS][DISPATCHERS];

        final int[] doubleUseTicks = new int[DISPATCHERS];
        final List<Datagram> inFlight = new ArrayList<>();

        State copy() {
            State s = new State();
            s.now = now;
            s.faults = faults;
            s.links = links;
            s.stopped = stopped;
            s.quietTicks = quietTicks;
            for (int i = 0; i < DISPATCHERS; i++) {
                s.shares[i] = shares[i].copy();
                s.lastHeardAt[i] = lastHeardAt[i].clone();
                s.usesShare[i] = usesShare[i].clone();
                s.delegatedAt[i] = delegatedAt[i].clone();
                s.doubleUseTicks[i] = doubleUseTicks[i];
            }
            s.inFlight.addAll(inFlight);
            return s;
        }
    }

    @Override
    public State initial() {
        return initial;
    }

    @Override
    public List<Transition<State>> transitions(State s) {
        List<Transition<State>> transitions = new ArrayList<>();
        transitions.add(new Transition<>("time passes", tick(s, NO_LINK, 0)));
        if (s.faults == 0) {
            return transitions;
        }
        for (int links = 0; links <= ALL_LINKS; links++) {
            if ((links & SELF_LINKS) == SELF_LINKS && links != s.links) {
                State after = fault(s);
                after.links = links;
                transitions.add(new Transition<>("working links: " + pairs(links), after));
            }
        }
        for (int pair = 0; pair < DISPATCHERS * DISPATCHERS; pair++) {
            if (pair / DISPATCHERS != pair % DISPATCHERS) {
                String of = (char) ('A' + pair / DISPATCHERS) + " to " + (char) ('A' + pair % DISPATCHERS);
                transitions.add(new Transition<>(of + " arrives late", tick(fault(s), pair, ARRIVES_LATE)));
                transitions.add(new Transition<>(of + " arrives twice", tick(fault(s), pair, ARRIVES_TWICE)));
            }
        }
        for (int i = 0; i < DISPATCHERS; i++) {
            char name = (char) ('A' + i);
            if (s.stopped < 0) {
                State restarted = fault(s);
                restarted.shares[i] = new ColdShares(i, DISPATCHERS);
                Arrays.fill(restarted.lastHeardAt[i], 0);
                Arrays.fill(restarted.usesShare[i], false);
                updateShares(restarted, i);
                transitions.add(new Transition<>(name + " restarts", restarted));
                State stopped = fault(s);
                stopped.stopped = i;
                transitions.add(new Transition<>(name + " is suspended", stopped));
            } else if (s.stopped == i) {
                State on = fault(s);
                on.stopped = -1;
                if (variant != Variant.LEASE_BY_TIMER) {
                    updateShares(on, i); // the leases are checked before any use
                }
                countDoubleUse(on);
                transitions.add(new Transition<>(name + " resumes", on));
            }
        }
        return transitions;
    }

    private static State fault(State s) {
        State after = s.copy();
        after.faults--;
        after.quietTicks = 0;
        return after;
    }

    private static String pairs(int links) {
        StringBuilder all = new StringBuilder();
        for (int pair = 0; pair < DISPATCHERS * DISPATCHERS; pair++) {
            if (pair / DISPATCHERS != pair % DISPATCHERS && (links >> pair & 1) != 0) {
                all.append(all.length() > 0 ? " " : "")
                        .append((char) ('A' + pair / DISPATCHERS))
                        .append('>')
                        .append((char) ('A' + pair % DISPATCHERS));
            }
        }
        return all.length() == 0 ? "none" : all.toString();
    }

    /** One step of time: all send, receive and update. The datagram of the given link arrives late or twice. */
    private State tick(State before, int pair, int disturbance) {
        State s = before.copy();
        s.now += TICK_US;
        boolean quiet = s.links == ALL_LINKS && s.stopped < 0 && s.inFlight.isEmpty() && pair == NO_LINK;
        s.quietTicks = quiet ? Math.min(QUIET_TICKS, s.quietTicks + 1) : 0;
        List<Datagram> arriving = new ArrayList<>(s.inFlight);
        s.inFlight.clear();
        for (int i = 0; i < DISPATCHERS; i++) {
            if (i != s.stopped) {
                broadcast(s, i, arriving, pair, disturbance);
            }
        }
        for (Datagram d : arriving) {
            if (d.dueAt <= s.now && d.to != s.stopped) {
                s.lastHeardAt[d.to][d.from] = s.now;
                s.shares[d.to].receiveGrant(
                        d.from,
                        false,
                        d.grant,
                        d.heardPeers,
                        null,
                        variant == Variant.AGE_FROM_RECEIPT ? s.now : d.sentAt,
                        s.now);
            } else if (s.inFlight.stream()
                            .filter(u -> u.from == d.from && u.to == d.to)
                            .count()
                    < 2) {
                s.inFlight.add(d); // delayed, or in the socket buffer of a suspended process
            }
        }
        for (int i = 0; i < DISPATCHERS; i++) {
            if (i != s.stopped) {
                updateShares(s, i);
            }
        }
        countDoubleUse(s);
        return s;
    }

    private static void broadcast(State s, int i, List<Datagram> datagrams, int pair, int disturbance) {
        BitSet heardPeers = new BitSet();
        for (int j = 0; j < DISPATCHERS; j++) {
            heardPeers.set(j, j == i || s.lastHeardAt[i][j] > 0 && s.now - s.lastHeardAt[i][j] <= ColdShares.LEASE_US);
        }
        BitSet grant = s.shares[i].grant(heardPeers, s.now);
        s.delegatedAt[i][ColdShares.guardian(WORKER_HASH, grant)] = s.now;
        for (int j = 0; j < DISPATCHERS; j++) {
            int to = i * DISPATCHERS + j;
            if (j != i && (s.links >> to & 1) != 0) {
                boolean late = to == pair && disturbance == ARRIVES_LATE;
                datagrams.add(new Datagram(i, j, grant, heardPeers, s.now, late ? s.now + LATE_DELAY_US : s.now));
                if (to == pair && disturbance == ARRIVES_TWICE) {
                    datagrams.add(new Datagram(i, j, grant, heardPeers, s.now, s.now + LATE_DELAY_US));
                }
            }
        }
    }

    /** A dispatcher updates which peers it hears and whose shares it may use. */
    private void updateShares(State s, int i) {
        ColdShares c = s.shares[i];
        c.setZoneMembers(IntStream.range(0, DISPATCHERS)
                .filter(j -> j == i
                        || s.lastHeardAt[i][j] > 0
                                && s.now - s.lastHeardAt[i][j] <= 2 * ColdShares.LEASE_US
                                && c.canDelegateTo(j, s.now))
                .toArray());
        boolean guards = c.guardian(WORKER_HASH) == i;
        for (int k = 0; k < DISPATCHERS; k++) {
            boolean heard = s.lastHeardAt[i][k] > 0 && s.now - s.lastHeardAt[i][k] <= ColdShares.LEASE_US;
            boolean delegated = variant == Variant.HEARD_IS_LEFT ? heard : c.isDelegatedToSelf(k, s.now, WORKER_HASH);
            s.usesShare[i][k] = guards && (k == i || delegated);
        }
    }

    private static int users(State s, int k) {
        return (int) IntStream.range(0, DISPATCHERS)
                .filter(i -> i != s.stopped && s.usesShare[i][k])
                .count();
    }

    private static void countDoubleUse(State s) {
        for (int k = 0; k < DISPATCHERS; k++) {
            s.doubleUseTicks[k] = users(s, k) > 1 ? s.doubleUseTicks[k] + 1 : 0;
        }
    }

    @Override
    public String violation(State s) {
        for (int k = 0; k < DISPATCHERS; k++) {
            for (int i = 0; i < DISPATCHERS; i++) {
                if (i != k
                        && i != s.stopped
                        && s.usesShare[i][k]
                        && s.now - s.delegatedAt[k][i] >= ColdShares.LEASE_US) {
                    return (char) ('A' + i) + " uses " + (char) ('A' + k) + "'s share, granted "
                            + (s.now - s.delegatedAt[k][i]) / 1e6 + " s ago";
                }
            }
            if (s.doubleUseTicks[k] > MAX_DOUBLE_USE_TICKS) {
                return (char) ('A' + k) + "'s share is used by two dispatchers for longer than a lease";
            }
            if (s.quietTicks == QUIET_TICKS && users(s, k) != 1) {
                return (char) ('A' + k) + "'s share is used by " + users(s, k)
                        + " dispatchers after a time without faults";
            }
        }
        return null;
    }

    @Override
    public String key(State s) {
        StringBuilder key = new StringBuilder();
        key.append(s.faults)
                .append(' ')
                .append(s.links)
                .append(' ')
                .append(s.stopped)
                .append(' ')
                .append(s.quietTicks);
        for (int i = 0; i < DISPATCHERS; i++) {
            key.append('|').append(s.shares[i].state(s.now)).append(s.doubleUseTicks[i]);
            for (int j = 0; j < DISPATCHERS; j++) {
                key.append(',').append(Math.min(s.now - s.lastHeardAt[i][j], 3 * ColdShares.LEASE_US));
                key.append(s.usesShare[i][j] ? 'u' : '.')
                        .append(Math.min(s.now - s.delegatedAt[i][j], LATE_DELAY_US + TICK_US));
            }
        }
        s.inFlight.forEach(d -> key.append(d.from)
                .append(d.to)
                .append(d.grant)
                .append(d.heardPeers)
                .append(Math.min(s.now - d.sentAt, 2 * ColdShares.LEASE_US))
                .append(':')
                .append(s.now - d.dueAt));
        return key.toString();
    }

    @Override
    public String toString() {
        return "shares of three dispatchers, " + variant + ", " + faults + " faults";
    }
}
