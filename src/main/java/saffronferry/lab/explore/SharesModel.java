package saffronferry.lab.explore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.stream.IntStream;
import saffronferry.fleet.ColdShares;

/**
 * Parts of a cold worker's budget among three dispatchers that speak in steps of {@link #TICK}, while
 * datagrams are cut in any of the 64 ways, come late or twice, and dispatchers restart or are stopped and go
 * on. Bounds: whoever uses another's part was left it less than a lease ago, by the other's own time; a part
 * is used by two at once for no longer than a lease; and once all has been quiet, each by just one.
 */
public final class SharesModel implements Model<SharesModel.State> {
    /** How the classes are used: as the program does, or wrongly in a way that must be caught. */
    public enum Variant {
        AS_BUILT,
        /** A word's age counts from when it arrived, not from its stamp. */
        AGE_FROM_RECEIPT,
        /** A lease is looked at by a timer, not before each spending: one that was stopped overspends. */
        LEASE_BY_TIMER,
        /** Whoever is heard has left its part, whatever it hears itself. */
        HEARD_IS_LEFT
    }

    /** Time between two looks, and between two exchanges; two fit in a lease. */
    static final long TICK = 450_000;

    private static final long LATE = 2 * TICK;
    private static final int N = 3;
    private static final int WORKER = 0x51f3a7;
    private static final int ALL = (1 << N * N) - 1; // a bit for each pair, from * N + to
    private static final int SELVES = 0b100010001;
    /** Looks in a row at which a part may be found with two: as many as fit in a lease. */
    private static final int MOST_DOUBLE = 2;

    private static final int QUIET = 8;

    private final Variant variant;
    private final int faults;
    private final State first;

    /** Three that have heard each other for long; at most so many faults in a story. */
    public SharesModel(Variant variant, int faults) {
        this.variant = variant;
        this.faults = faults;
        State s = new State();
        s.faults = faults;
        for (int i = 0; i < N; i++) {
            s.shares[i] = new ColdShares(i, N);
        }
        for (int i = 0; i < QUIET; i++) {
            s = tick(s, -1, 0);
        }
        first = s;
    }

    private record Datagram(int from, int to, BitSet word, BitSet hears, long at, long due) {}

    /** Where all three stand. */
    static final class State {
        long now = 100 * TICK;
        int faults;
        int links = ALL;
        int stopped = -1;
        int quiet;
        final ColdShares[] shares = new ColdShares[N];
        final long[][] heard = new long[N][N];
        final boolean[][] using = new boolean[N][N]; // as each knew when it looked last
        final long[][] left = new long[N][N]; // when each last sent a word that leaves its part to another
        final int[] doubled = new int[N];
        final List<Datagram> under = new ArrayList<>();

        State copy() {
            State s = new State();
            s.now = now;
            s.faults = faults;
            s.links = links;
            s.stopped = stopped;
            s.quiet = quiet;
            for (int i = 0; i < N; i++) {
                s.shares[i] = shares[i].copy();
                s.heard[i] = heard[i].clone();
                s.using[i] = using[i].clone();
                s.left[i] = left[i].clone();
                s.doubled[i] = doubled[i];
            }
            s.under.addAll(under);
            return s;
        }
    }

    @Override
    public State initial() {
        return first;
    }

    @Override
    public List<Transition<State>> transitions(State s) {
        List<Transition<State>> steps = new ArrayList<>();
        steps.add(new Transition<>("time passes", tick(s, -1, 0)));
        if (s.faults == 0) {
            return steps;
        }
        for (int links = 0; links <= ALL; links++) {
            if ((links & SELVES) == SELVES && links != s.links) {
                State after = fault(s);
                after.links = links;
                steps.add(new Transition<>("heard are " + pairs(links), after));
            }
        }
        for (int pair = 0; pair < N * N; pair++) {
            if (pair / N != pair % N) {
                String of = (char) ('A' + pair / N) + " to " + (char) ('A' + pair % N);
                steps.add(new Transition<>(of + " comes late", tick(fault(s), pair, 1)));
                steps.add(new Transition<>(of + " comes twice", tick(fault(s), pair, 2)));
            }
        }
        for (int i = 0; i < N; i++) {
            char name = (char) ('A' + i);
            if (s.stopped < 0) {
                State restarted = fault(s);
                restarted.shares[i] = new ColdShares(i, N);
                Arrays.fill(restarted.heard[i], 0);
                Arrays.fill(restarted.using[i], false);
                look(restarted, i);
                steps.add(new Transition<>(name + " restarts", restarted));
                State stopped = fault(s);
                stopped.stopped = i;
                steps.add(new Transition<>(name + " is stopped", stopped));
            } else if (s.stopped == i) {
                State on = fault(s);
                on.stopped = -1;
                if (variant != Variant.LEASE_BY_TIMER) {
                    look(on, i); // before it spends anything
                }
                count(on);
                steps.add(new Transition<>(name + " goes on", on));
            }
        }
        return steps;
    }

    private static State fault(State s) {
        State after = s.copy();
        after.faults--;
        after.quiet = 0;
        return after;
    }

    private static String pairs(int links) {
        StringBuilder all = new StringBuilder();
        for (int pair = 0; pair < N * N; pair++) {
            if (pair / N != pair % N && (links >> pair & 1) != 0) {
                all.append(all.length() > 0 ? " " : "")
                        .append((char) ('A' + pair / N))
                        .append('>')
                        .append((char) ('A' + pair % N));
            }
        }
        return all.length() == 0 ? "none" : all.toString();
    }

    /** A step of time: all look, speak and hear. The pair's datagram comes late (1) or twice (2). */
    private State tick(State before, int pair, int how) {
        State s = before.copy();
        s.now += TICK;
        boolean quiet = s.links == ALL && s.stopped < 0 && s.under.isEmpty() && pair < 0;
        s.quiet = quiet ? Math.min(QUIET, s.quiet + 1) : 0;
        List<Datagram> coming = new ArrayList<>(s.under);
        s.under.clear();
        for (int i = 0; i < N; i++) {
            if (i != s.stopped) {
                speak(s, i, coming, pair, how);
            }
        }
        for (Datagram d : coming) {
            if (d.due <= s.now && d.to != s.stopped) {
                s.heard[d.to][d.from] = s.now;
                s.shares[d.to].says(
                        d.from,
                        false,
                        d.word,
                        d.hears,
                        null,
                        variant == Variant.AGE_FROM_RECEIPT ? s.now : d.at,
                        s.now);
            } else if (s.under.stream()
                            .filter(u -> u.from == d.from && u.to == d.to)
                            .count()
                    < 2) {
                s.under.add(d); // late, or in the socket of one that is stopped
            }
        }
        for (int i = 0; i < N; i++) {
            if (i != s.stopped) {
                look(s, i);
            }
        }
        count(s);
        return s;
    }

    private static void speak(State s, int i, List<Datagram> net, int pair, int how) {
        BitSet hears = new BitSet();
        for (int j = 0; j < N; j++) {
            hears.set(j, j == i || s.heard[i][j] > 0 && s.now - s.heard[i][j] <= ColdShares.LEASE);
        }
        BitSet word = s.shares[i].word(hears, s.now);
        s.left[i][ColdShares.guardian(WORKER, word)] = s.now;
        for (int j = 0; j < N; j++) {
            int to = i * N + j;
            if (j != i && (s.links >> to & 1) != 0) {
                boolean late = to == pair && how == 1;
                net.add(new Datagram(i, j, word, hears, s.now, late ? s.now + LATE : s.now));
                if (to == pair && how == 2) {
                    net.add(new Datagram(i, j, word, hears, s.now, s.now + LATE));
                }
            }
        }
    }

    /** One of them looks whom it hears, and whose parts it may use. */
    private void look(State s, int i) {
        ColdShares c = s.shares[i];
        c.near(IntStream.range(0, N)
                .filter(j -> j == i
                        || s.heard[i][j] > 0 && s.now - s.heard[i][j] <= 2 * ColdShares.LEASE && c.counts(j, s.now))
                .toArray());
        boolean guards = c.guardian(WORKER) == i;
        for (int k = 0; k < N; k++) {
            boolean heard = s.heard[i][k] > 0 && s.now - s.heard[i][k] <= ColdShares.LEASE;
            boolean left = variant == Variant.HEARD_IS_LEFT ? heard : c.leftToUs(k, s.now, WORKER);
            s.using[i][k] = guards && (k == i || left);
        }
    }

    private static int users(State s, int k) {
        return (int) IntStream.range(0, N)
                .filter(i -> i != s.stopped && s.using[i][k])
                .count();
    }

    private static void count(State s) {
        for (int k = 0; k < N; k++) {
            s.doubled[k] = users(s, k) > 1 ? s.doubled[k] + 1 : 0;
        }
    }

    @Override
    public String violation(State s) {
        for (int k = 0; k < N; k++) {
            for (int i = 0; i < N; i++) {
                if (i != k && i != s.stopped && s.using[i][k] && s.now - s.left[k][i] >= ColdShares.LEASE) {
                    return (char) ('A' + i) + " uses " + (char) ('A' + k) + "'s part, left to it "
                            + (s.now - s.left[k][i]) / 1e6 + " s ago";
                }
            }
            if (s.doubled[k] > MOST_DOUBLE) {
                return (char) ('A' + k) + "'s part is used by two for longer than a lease";
            }
            if (s.quiet == QUIET && users(s, k) != 1) {
                return (char) ('A' + k) + "'s part is used by " + users(s, k) + " after a quiet time";
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
                .append(s.quiet);
        for (int i = 0; i < N; i++) {
            key.append('|').append(s.shares[i].state(s.now)).append(s.doubled[i]);
            for (int j = 0; j < N; j++) {
                key.append(',').append(Math.min(s.now - s.heard[i][j], 3 * ColdShares.LEASE));
                key.append(s.using[i][j] ? 'u' : '.').append(Math.min(s.now - s.left[i][j], LATE + TICK));
            }
        }
        s.under.forEach(d -> key.append(d.from)
                .append(d.to)
                .append(d.word)
                .append(d.hears)
                .append(Math.min(s.now - d.at, 2 * ColdShares.LEASE))
                .append(':')
                .append(s.now - d.due));
        return key.toString();
    }

    @Override
    public String toString() {
        return "parts of three, " + variant + ", " + faults + " faults";
    }
}
