package saffronferry.lab.explore;

import java.util.ArrayList;
import java.util.List;
import saffronferry.fleet.ColdBudget;
import saffronferry.fleet.IncomingTransfers;
import saffronferry.fleet.OutgoingTransfers;

/**
 * Model of the escrow protocol: a lender and a borrower share the budget of a cold worker. Transfers to the
 * borrower and returns of unused budget are lost, delayed or duplicated, and the borrower restarts. Bound: both
 * together never send more than the rate allows plus one job.
 */
public final class EscrowModel implements Model<EscrowModel.State> {
    /** The protocol as implemented, and faulty variants whose violations must be found. */
    public enum Variant {
        AS_BUILT,
        /** The borrower may spend an offer at once; the lender is debited when it learns of the use. */
        CREDIT_BEFORE_DEBIT,
        /** A borrower that has returned budget may still use it. */
        BACK_AND_USED,
        /** Every copy of a return message is credited, duplicates included. */
        EACH_BACK_COUNTS
    }

    private static final long TICK_US = 100_000;
    private static final double JOB_COST = 300_000;
    private static final double RATE = 1;
    private static final long OFFER_LIFETIME_US = 400_000;
    private static final long START_TIME_US = 1_000_000_000;
    private static final int MAX_IN_FLIGHT = 2;

    private final Variant variant;

    /** Starts with a lender that holds the whole budget. */
    public EscrowModel(Variant variant) {
        this.variant = variant;
    }

    /** A message in flight: budget lent to the borrower, or the return of unused budget. */
    private record Transfer(long at, boolean returned) {}

    /** The state of both. The lender's token bucket is not stored, but replayed from its ledger. */
    static final class State {
        long now = START_TIME_US;
        long borrowerStartedAt = START_TIME_US;
        long lastLentAt;
        long lastAcceptedAt;
        int jobsSent;
        /** Jobs that the borrower may send. */
        int borrowerJobs;

        /** Entries of the lender: time; 0 for a debit, 1 for a credit; time stamp of the returned transfer. */
        final List<long[]> ledger = new ArrayList<>();

        final List<Long> lendTimes = new ArrayList<>();
        final List<Transfer> inFlight = new ArrayList<>();

        State copy() {
            State s = new State();
            s.now = now;
            s.borrowerStartedAt = borrowerStartedAt;
            s.lastLentAt = lastLentAt;
            s.lastAcceptedAt = lastAcceptedAt;
            s.jobsSent = jobsSent;
            s.borrowerJobs = borrowerJobs;
            s.ledger.addAll(ledger);
            s.lendTimes.addAll(lendTimes);
            s.inFlight.addAll(inFlight);
            return s;
        }

        private boolean lenderCanSend() {
            ColdBudget budget = new ColdBudget();
            budget.covers(JOB_COST, START_TIME_US, 1, RATE, 0.5);
            for (long[] entry : ledger) {
                budget.covers(JOB_COST, entry[0], 1, RATE, 0.5);
                if (entry[1] == 0) {
                    budget.spend(JOB_COST);
                } else {
                    budget.refund(JOB_COST);
                }
            }
            return budget.covers(JOB_COST, now, 1, RATE, 0.5);
        }

        private void debitLender() {
            ledger.add(new long[] {now, 0, 0});
        }
    }

    @Override
    public State initial() {
        return new State();
    }

    @Override
    public List<Transition<State>> transitions(State s) {
        List<Transition<State>> transitions = new ArrayList<>();
        State later = s.copy();
        later.now += TICK_US;
        if (later.now - s.borrowerStartedAt >= OFFER_LIFETIME_US) {
            later.borrowerJobs = 0; // the offer expires
        }
        transitions.add(new Transition<>("time passes", later));
        if (s.lenderCanSend()) {
            State sends = s.copy();
            sends.debitLender();
            sends.jobsSent++;
            transitions.add(new Transition<>("the lender sends a job", sends));
            if (s.now > s.lastLentAt && s.inFlight.size() < MAX_IN_FLIGHT) {
                State lends = s.copy();
                lends.lastLentAt = s.now;
                lends.inFlight.add(new Transfer(s.now, false));
                lends.lendTimes.add(s.now);
                if (variant != Variant.CREDIT_BEFORE_DEBIT) {
                    lends.debitLender();
                }
                transitions.add(new Transition<>("the lender lends the budget of one job", lends));
            }
        }
        for (int i = 0; i < s.inFlight.size(); i++) {
            State lost = s.copy();
            lost.inFlight.remove(i);
            String what = s.inFlight.get(i).returned ? "the return message" : "the offer";
            transitions.add(new Transition<>(what + " is lost", lost));
            transitions.add(new Transition<>(what + " arrives", deliver(lost.copy(), s.inFlight.get(i))));
            transitions.add(
                    new Transition<>(what + " arrives, and a duplicate follows", deliver(s.copy(), s.inFlight.get(i))));
        }
        if (s.borrowerJobs > 0) {
            State sends = s.copy();
            sends.borrowerJobs--;
            sends.jobsSent++;
            if (variant == Variant.CREDIT_BEFORE_DEBIT) { // the lender learns of it, or does not
                State heard = sends.copy();
                heard.debitLender();
                transitions.add(new Transition<>("the borrower sends a job, and the lender learns of it", heard));
            }
            transitions.add(new Transition<>("the borrower sends a job", sends));
        }
        if (s.borrowerJobs > 0 && s.inFlight.size() < MAX_IN_FLIGHT && variant != Variant.CREDIT_BEFORE_DEBIT) {
            State returns = s.copy();
            returns.inFlight.add(new Transfer(s.lastAcceptedAt, true));
            returns.borrowerJobs -= variant == Variant.BACK_AND_USED ? 0 : 1;
            transitions.add(new Transition<>("the borrower returns the budget", returns));
        }
        State restarted = s.copy();
        restarted.borrowerStartedAt = s.now;
        restarted.lastAcceptedAt = 0;
        restarted.borrowerJobs = 0;
        transitions.add(new Transition<>("the borrower restarts", restarted));
        return transitions;
    }

    /** Whether the lender's record of outstanding loans accepts the return of a transfer. */
    private boolean acceptsReturn(State s, long at) {
        OutgoingTransfers outgoing = new OutgoingTransfers();
        s.lendTimes.forEach(lent -> outgoing.recordTransfer(0, lent, JOB_COST));
        s.ledger.stream().filter(x -> x[1] == 1).forEach(x -> outgoing.acceptReturn(0, x[2], JOB_COST, x[0]));
        return variant == Variant.EACH_BACK_COUNTS || outgoing.acceptReturn(0, at, JOB_COST, s.now) > 0;
    }

    private State deliver(State s, Transfer transfer) {
        if (transfer.returned) {
            if (acceptsReturn(s, transfer.at)) {
                s.ledger.add(new long[] {s.now, 1, transfer.at});
            }
            return s;
        }
        IncomingTransfers incoming = new IncomingTransfers();
        incoming.markUsed(s.lastAcceptedAt);
        if (incoming.isValid(transfer.at, s.now, s.borrowerStartedAt, OFFER_LIFETIME_US)) {
            s.lastAcceptedAt = transfer.at;
            s.borrowerJobs = 1; // a later offer replaces the previous one
        }
        return s;
    }

    @Override
    public String violation(State s) {
        double maxWork = RATE * (s.now - START_TIME_US) + JOB_COST;
        return s.jobsSent * JOB_COST > maxWork
                ? s.jobsSent + " jobs were sent in " + (s.now - START_TIME_US) / 1e6 + " s"
                : null;
    }

    @Override
    public String key(State s) {
        StringBuilder key = new StringBuilder()
                .append(s.now)
                .append(' ')
                .append(s.lastLentAt)
                .append(' ')
                .append(s.lastAcceptedAt)
                .append(' ')
                .append(s.jobsSent)
                .append(' ')
                .append(s.borrowerJobs)
                .append(' ')
                .append(s.borrowerStartedAt);
        s.ledger.forEach(at -> key.append(' ').append(at[0]).append(at[1] == 0 ? "" : "b" + at[2]));
        s.inFlight.forEach(p -> key.append(p.returned ? '<' : '|').append(p.at));
        return key.toString();
    }

    @Override
    public String toString() {
        return "escrow, " + variant;
    }
}
