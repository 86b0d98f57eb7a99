package saffronferry.state;

import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;

/** A call attempt that writes down what it was told. */
public final class RecordingAttempt implements CallAttempt.Listener {
    public final CallAttempt attempt = new CallAttempt(1, 0, 0, 0, null, this);
    public String events = "";

    @Override
    public void progressed(CallAttempt a, boolean started) {
        events += started ? "started" : "running";
    }

    @Override
    public void written(CallAttempt a) {
        events += "written ";
    }

    @Override
    public void ended(CallAttempt a, Outcome outcome, String result, Report load) {
        events += outcome + " once" + (result == null ? "" : " " + result);
    }
}
