package saffronferry.state;

import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;

/** One call attempt. Who speaks with the subchannel tells it what comes; after its end nothing counts. */
public final class CallAttempt {
    /** Who hears of attempts. */
    interface Listener {
        void progressed(CallAttempt attempt, boolean started);

        /** The attempt is written whole. */
        void written(CallAttempt attempt);

        void ended(CallAttempt attempt, Outcome outcome, String result, Report load);
    }

    final long rpcId;
    final int rpcClass;
    final int index;
    final long createdAt;
    final String subchannel;
    private final Listener listener;
    private boolean ended;
    private boolean sendStarted;
    /** Whether the subchannel found fault with the RPC itself. */
    boolean rejected;
    /** Gives the attempt up on the wire. */
    Runnable onCancel = () -> {};

    CallAttempt(long rpcId, int rpcClass, int index, long createdAt, String subchannel, Listener listener) {
        this.rpcId = rpcId;
        this.rpcClass = rpcClass;
        this.index = index;
        this.createdAt = createdAt;
        this.subchannel = subchannel;
        this.listener = listener;
    }

    /** An attempt of no RPC: only its end is told. */
    public static CallAttempt withoutRpc(Runnable onEnd) {
        return new CallAttempt(0, 0, 0, 0, null, new Listener() {
            @Override
            public void progressed(CallAttempt attempt, boolean started) {}

            @Override
            public void written(CallAttempt attempt) {}

            @Override
            public void ended(CallAttempt attempt, Outcome outcome, String result, Report load) {
                onEnd.run();
            }
        });
    }

    public boolean isEnded() {
        return ended;
    }

    /** Its connection is up and the first byte is about to be written. */
    public void sendStarted() {
        sendStarted = true;
    }

    /** Whether another attempt of its RPC came before, so that only a window is left for it. */
    public boolean isRepeat() {
        return index > 0;
    }

    /** Whether any of it may have been sent. */
    boolean mayHaveBeenSent() {
        return sendStarted;
    }

    /** Its last byte is written; told though the attempt may be ended by now. */
    public void written() {
        listener.written(this);
    }

    public void jobStarted() {
        if (!ended) {
            listener.progressed(this, true);
        }
    }

    public void jobProgressed() {
        if (!ended) {
            listener.progressed(this, false);
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
        if (!ended) {
            ended = true;
            listener.ended(this, outcome, result, load);
        }
    }
}
