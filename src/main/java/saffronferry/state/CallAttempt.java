package saffronferry.state;

import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;

/** One call attempt. Who speaks with the subchannel tells it what comes; after its end nothing counts. */
public final class CallAttempt {
    /** Who hears of attempts. */
    interface Listener {
        void moved(CallAttempt attempt, boolean started);

        void ended(CallAttempt attempt, Outcome outcome, String result, Report load);
    }

    final long rpc;
    final int number;
    final long sentAt;
    private final Listener listener;
    private boolean over;
    /** Whether the subchannel found fault with the RPC itself. */
    boolean rejected;
    /** Gives the attempt up on the wire. */
    Runnable giveUp = () -> { };

    CallAttempt(long rpc, int number, long sentAt, Listener listener) {
        this.rpc = rpc;
        this.number = number;
        this.sentAt = sentAt;
        this.listener = listener;
    }

    /** An attempt of no RPC: only its end is told. */
    public static CallAttempt unheard(Runnable onEnd) {
        return new CallAttempt(0, 0, 0, new Listener() {
            @Override
            public void moved(CallAttempt attempt, boolean started) { }

            @Override
            public void ended(CallAttempt attempt, Outcome outcome, String result, Report load) {
                onEnd.run();
            }
        });
    }

    public boolean over() {
        return over;
    }

    public void started() {
        if (!over) {
            listener.moved(this, true);
        }
    }

    public void progressed() {
        if (!over) {
            listener.moved(this, false);
        }
    }

    public void served(String result, Report load) {
        end(Outcome.OK, result, load);
    }

    /** The subchannel cannot use the RPC: no other one could, and it is no fault of the subchannel. */
    public void rejected() {
        rejected = true;
        end(Outcome.NOT_SENT, null, null);
    }

    public void ended(Outcome outcome, Report load) {
        end(outcome, null, load);
    }

    private void end(Outcome outcome, String result, Report load) {
        if (!over) {
            over = true;
            listener.ended(this, outcome, result, load);
        }
    }
}
