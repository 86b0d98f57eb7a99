package saffronferry.lab.explore;

import java.util.ArrayList;
import java.util.List;
import saffronferry.fleet.ColdBudget;
import saffronferry.fleet.Lent;
import saffronferry.fleet.Loan;

/**
 * A cold worker's budget at one that lends and one that borrows, while what is lent is lost, late or told
 * twice, goes back unused, which is lost, late or told twice in turn, and the borrower restarts. Bound: what
 * both send is never more than the rate and one job.
 */
public final class EscrowModel implements Model<EscrowModel.State> {
    /** Who is charged first. */
    public enum Variant {
        AS_BUILT,
        /** The borrower may spend what is told; the lender is charged once it hears so. */
        CREDIT_BEFORE_DEBIT,
        /** Whoever gives a part back may still use it until its next look. */
        BACK_AND_USED,
        /** Each word that a part comes back counts. */
        EACH_BACK_COUNTS
    }

    private static final long TICK = 100_000;
    private static final double JOB = 300_000;
    private static final double RATE = 1;
    private static final long LIFE = 400_000;
    private static final long START = 1_000_000_000;
    private static final int MOST_UNDER = 2;

    private final Variant variant;

    /** A lender that has all of the budget. */
    public EscrowModel(Variant variant) {
        this.variant = variant;
    }

    /** What is under way: a part to the borrower, or the word that it comes back. */
    private record Part(long at, boolean back) {}

    /** Where both stand. The lender's bucket is told by what was spent of it and when: it is filled anew. */
    static final class State {
        long now = START;
        long borrowerSince = START;
        long lentAt;
        long takenAt;
        int sent;
        int mine; // jobs that the borrower may send
        /** By the lender: when, and 0 it is spent, 1 it comes back; with that, the part's stamp. */
        final List<long[]> spending = new ArrayList<>();

        final List<Long> lends = new ArrayList<>();
        final List<Part> under = new ArrayList<>();

        State copy() {
            State s = new State();
            s.now = now;
            s.borrowerSince = borrowerSince;
            s.lentAt = lentAt;
            s.takenAt = takenAt;
            s.sent = sent;
            s.mine = mine;
            s.spending.addAll(spending);
            s.lends.addAll(lends);
            s.under.addAll(under);
            return s;
        }

        private boolean covers() {
            ColdBudget budget = new ColdBudget();
            budget.covers(JOB, START, 1, RATE, 0.5);
            for (long[] at : spending) {
                budget.covers(JOB, at[0], 1, RATE, 0.5);
                if (at[1] == 0) {
                    budget.spend(JOB);
                } else {
                    budget.back(JOB);
                }
            }
            return budget.covers(JOB, now, 1, RATE, 0.5);
        }

        private void spend() {
            spending.add(new long[] {now, 0, 0});
        }
    }

    @Override
    public State initial() {
        return new State();
    }

    @Override
    public List<Transition<State>> transitions(State s) {
        List<Transition<State>> steps = new ArrayList<>();
        State later = s.copy();
        later.now += TICK;
        if (later.now - s.borrowerSince >= LIFE) {
            later.mine = 0; // an offer's life
        }
        steps.add(new Transition<>("time passes", later));
        if (s.covers()) {
            State sends = s.copy();
            sends.spend();
            sends.sent++;
            steps.add(new Transition<>("the lender sends a job", sends));
            if (s.now > s.lentAt && s.under.size() < MOST_UNDER) {
                State lends = s.copy();
                lends.lentAt = s.now;
                lends.under.add(new Part(s.now, false));
                lends.lends.add(s.now);
                if (variant != Variant.CREDIT_BEFORE_DEBIT) {
                    lends.spend();
                }
                steps.add(new Transition<>("the lender lends a job's worth", lends));
            }
        }
        for (int i = 0; i < s.under.size(); i++) {
            State lost = s.copy();
            lost.under.remove(i);
            String what = s.under.get(i).back ? "what comes back" : "what was lent";
            steps.add(new Transition<>(what + " is lost", lost));
            steps.add(new Transition<>(what + " arrives", arrives(lost.copy(), s.under.get(i))));
            steps.add(new Transition<>(what + " arrives, and will again", arrives(s.copy(), s.under.get(i))));
        }
        if (s.mine > 0) {
            State sends = s.copy();
            sends.mine--;
            sends.sent++;
            if (variant == Variant.CREDIT_BEFORE_DEBIT) { // the lender hears of it, or does not
                State heard = sends.copy();
                heard.spend();
                steps.add(new Transition<>("the borrower sends a job, and the lender hears of it", heard));
            }
            steps.add(new Transition<>("the borrower sends a job", sends));
        }
        if (s.mine > 0 && s.under.size() < MOST_UNDER && variant != Variant.CREDIT_BEFORE_DEBIT) {
            State gives = s.copy();
            gives.under.add(new Part(s.takenAt, true));
            gives.mine -= variant == Variant.BACK_AND_USED ? 0 : 1;
            steps.add(new Transition<>("the borrower gives it back", gives));
        }
        State born = s.copy();
        born.borrowerSince = s.now;
        born.takenAt = 0;
        born.mine = 0;
        steps.add(new Transition<>("the borrower restarts", born));
        return steps;
    }

    /** As the lender's record of what is out would have it. */
    private boolean takesBack(State s, long at) {
        Lent out = new Lent();
        s.lends.forEach(lent -> out.lent(0, lent, JOB));
        s.spending.stream().filter(x -> x[1] == 1).forEach(x -> out.back(0, x[2], JOB, x[0]));
        return variant == Variant.EACH_BACK_COUNTS || out.back(0, at, JOB, s.now) > 0;
    }

    private State arrives(State s, Part part) {
        if (part.back) {
            if (takesBack(s, part.at)) {
                s.spending.add(new long[] {s.now, 1, part.at});
            }
            return s;
        }
        Loan loan = new Loan();
        loan.taken(s.takenAt);
        if (loan.counts(part.at, s.now, s.borrowerSince, LIFE)) {
            s.takenAt = part.at;
            s.mine = 1; // a later offer stands for the one before
        }
        return s;
    }

    @Override
    public String violation(State s) {
        double most = RATE * (s.now - START) + JOB;
        return s.sent * JOB > most ? s.sent + " jobs are sent in " + (s.now - START) / 1e6 + " s" : null;
    }

    @Override
    public String key(State s) {
        StringBuilder key = new StringBuilder()
                .append(s.now)
                .append(' ')
                .append(s.lentAt)
                .append(' ')
                .append(s.takenAt)
                .append(' ')
                .append(s.sent)
                .append(' ')
                .append(s.mine)
                .append(' ')
                .append(s.borrowerSince);
        s.spending.forEach(at -> key.append(' ').append(at[0]).append(at[1] == 0 ? "" : "b" + at[2]));
        s.under.forEach(p -> key.append(p.back ? '<' : '|').append(p.at));
        return key.toString();
    }

    @Override
    public String toString() {
        return "escrow, " + variant;
    }
}
