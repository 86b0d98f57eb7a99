package saffronferry.state;

import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;

/**
 * One call attempt of an RPC at a subchannel. The network code reports its events here. Events after the end of the
 * attempt are ignored, except {@link #written()}.
 */
public final class CallAttempt {
    /** Receives the events of call attempts. */
    interface Listener {
        /** The job started, or else made progress. */
        void progressed(CallAttempt attempt, boolean started);

        /** The whole request has been written. */
        void written(CallAttempt attempt);

        /** The attempt ended; {@code result} and {@code load} may be null. */
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
    /** Whether the subchannel reported that the request itself is invalid. */
    boolean rejected;
    /** Cancels the attempt in the network code. */
    Runnable onCancel = () -> {};

    CallAttempt(long rpcId, int rpcClass, int index, long createdAt, String subchannel, Listener listener) {
        this.rpcId = rpcId;
        this.rpcClass = rpcClass;
        this.index = index;
        this.createdAt = createdAt;
        this.subchannel = subchannel;
        this.listener = listener;
    }

    /** Creates an attempt that belongs to no RPC; only its end is reported. */
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

    /** The connection is established and the first byte is about to be written. */
    public void sendStarted() {
        sendStarted = true;
    }

    /** Whether the RPC had an earlier attempt, so that only a limited time window is left for this one. */
    public boolean isRepeat() {
        return index > 0;
    }

    /** Whether any byte of the request may have been sent. */
    boolean mayHaveBeenSent() {
        return sendStarted;
    }

    /** The last byte of the request has been written; reported even if the attempt has ended meanwhile. */
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

    /** The request is invalid: every subchannel would reject it, and this one is not to blame. */
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
