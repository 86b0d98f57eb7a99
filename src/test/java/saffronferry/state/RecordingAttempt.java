package saffronferry.state;

import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;

/** A call attempt that records the events reported to it. */
public final class RecordingAttempt implements CallAttempt.Listener {
    public final CallAttempt attempt = new CallAttempt(1, 0, 0, 0, null, this);
    public String events = "";

    @Override
    public void progressed(CallAttempt attempt, boolean started) {
        events += started ? "started" : "running";
    }

    @Override
    public void written(CallAttempt attempt) {
        events += "written ";
    }

    @Override
    public void ended(CallAttempt attempt, Outcome outcome, String result, Report load) {
        events += outcome + " once" + (result == null ? "" : " " + result);
    }
}
