package saffronferry.state;

import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;

/** One call attempt. Who speaks with the subchannel tells it what comes; after its end nothing counts. */
public final class CallAttempt {
    /** Who hears of attempts. */
    interface Listener {
        void moved(CallAttempt attempt, boolean started);

        /** The attempt is written whole. */
        void written(CallAttempt attempt);

        void ended(CallAttempt attempt, Outcome outcome, String result, Report load);
    }

    final long rpc;
    final int rpcClass;
    final int number;
    final long sentAt;
    final String subchannel;
    private final Listener listener;
    private boolean over;
    private boolean begun;
    /** Whether the subchannel found fault with the RPC itself. */
    boolean rejected;
    /** Gives the attempt up on the wire. */
    Runnable giveUp = () -> {};

    CallAttempt(long rpc, int rpcClass, int number, long sentAt, String subchannel, Listener listener) {
        this.rpc = rpc;
        this.rpcClass = rpcClass;
        this.number = number;
        this.sentAt = sentAt;
        this.subchannel = subchannel;
        this.listener = listener;
    }

    /** An attempt of no RPC: only its end is told. */
    public static CallAttempt unheard(Runnable onEnd) {
        return new CallAttempt(0, 0, 0, 0, null, new Listener() {
            @Override
            public void moved(CallAttempt attempt, boolean started) {}

            @Override
            public void written(CallAttempt attempt) {}

            @Override
            public void ended(CallAttempt attempt, Outcome outcome, String result, Report load) {
                onEnd.run();
            }
        });
    }

    public boolean over() {
        return over;
    }

    /** Its connection is up and the first byte is about to be written. */
    public void begun() {
        begun = true;
    }

    /** Whether another attempt of its RPC came before, so that only a window is left for it. */
    public boolean isRepeat() {
        return number > 0;
    }

    /** Whether any of it may have been sent. */
    boolean hasBegun() {
        return begun;
    }

    /** Its last byte is written; told though the attempt may be over by now. */
    public void written() {
        listener.written(this);
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
