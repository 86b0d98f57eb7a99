package saffronferry.wire;

import org.json.JSONException;
import org.json.JSONObject;
import saffronferry.Contract.Outcome;
import saffronferry.state.CallAttempt;

/** What a subchannel's answer means for the call attempt: the outcome table of the protocol. */
final class SubchannelResponseParser {
    private final LoadReportParser loads;

    SubchannelResponseParser(LoadReportParser loads) {
        this.loads = loads;
    }

    /** An answer that is not 200 ends the attempt; the header values may be null. */
    void status(CallAttempt attempt, int status, String turnedAway, String pressure) {
        if (status == 400 || status == 404) {
            attempt.rejected();
            return;
        }
        // only these prove that the job never ran: a bare 503 may have come from the middle of a run
        boolean never = (status == 503 || status == 504) && "1".equals(turnedAway);
        attempt.ended(never ? Outcome.FULL : Outcome.ERROR, loads.parse(pressure));
    }

    /** One line of a 200 answer. */
    void line(CallAttempt attempt, String line) {
        if (line.isEmpty() || attempt.isEnded()) {
            return;
        }
        JSONObject o;
        try {
            o = new JSONObject(line);
        } catch (JSONException e) {
            throw new IllegalArgumentException("a line that is no JSON object: " + e.getMessage());
        }
        switch (o.optString("state")) {
            case "started" -> attempt.jobStarted();
            case "running" -> attempt.jobProgressed();
            case "done" -> attempt.served(o.optString("result"), loads.parse(o.optJSONObject("load")));
            case "failed" -> attempt.ended(Outcome.ERROR, loads.parse(o.optJSONObject("load")));
            case "returned" -> attempt.ended(Outcome.FULL, loads.parse(o.optJSONObject("load")));
            case "lost" -> attempt.ended(Outcome.RESET, loads.parse(o.optJSONObject("load")));
            default -> {} // a state added later is no end
        }
    }
}
