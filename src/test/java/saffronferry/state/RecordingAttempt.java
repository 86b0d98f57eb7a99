package saffronferry.state;

import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;

/** A call attempt that writes down what it was told. */
public final class RecordingAttempt implements CallAttempt.Listener {
    public final CallAttempt attempt = new CallAttempt(1, 0, 0, 0, null, this);
    public String heard = "";

    @Override
    public void moved(CallAttempt a, boolean started) {
        heard += started ? "started" : "running";
    }

    @Override
    public void written(CallAttempt a) {
        heard += "written ";
    }

    @Override
    public void ended(CallAttempt a, Outcome outcome, String result, Report load) {
        heard += outcome + " once" + (result == null ? "" : " " + result);
    }
}
