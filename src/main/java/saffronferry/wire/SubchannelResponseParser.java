package saffronferry.wire;

import org.json.JSONException;
import org.json.JSONObject;
import saffronferry.Contract.Outcome;
import saffronferry.state.CallAttempt;

/** Maps a subchannel's response to the outcome of the call attempt, according to the protocol. */
final class SubchannelResponseParser {
    private final LoadReportParser loads;

    SubchannelResponseParser(LoadReportParser loads) {
        this.loads = loads;
    }

    /** Ends the attempt upon a response with a status other than 200; the header values may be null. */
    void status(CallAttempt attempt, int status, String turnedAway, String pressure) {
        if (status == 400 || status == 404) {
            attempt.rejected();
            return;
        }
        // only the header proves that the job never ran: without it, a 503 may have come while the job was running
        boolean neverRan = (status == 503 || status == 504) && "1".equals(turnedAway);
        attempt.ended(neverRan ? Outcome.FULL : Outcome.ERROR, loads.parse(pressure));
    }

    /** Handles one line of a 200 response. */
    void line(CallAttempt attempt, String line) {
        if (line.isEmpty() || attempt.isEnded()) {
            return;
        }
        JSONObject event;
        try {
            event = new JSONObject(line);
        } catch (JSONException e) {
            throw new IllegalArgumentException("line is not a JSON object: " + e.getMessage());
        }
        switch (event.optString("state")) {
            case "started" -> attempt.jobStarted();
            case "running" -> attempt.jobProgressed();
            case "done" -> attempt.served(event.optString("result"), loads.parse(event.optJSONObject("load")));
            case "failed" -> attempt.ended(Outcome.ERROR, loads.parse(event.optJSONObject("load")));
            case "returned" -> attempt.ended(Outcome.FULL, loads.parse(event.optJSONObject("load")));
            case "lost" -> attempt.ended(Outcome.RESET, loads.parse(event.optJSONObject("load")));
            // states unknown to this version do not end the attempt
            default -> {}
        }
    }
}
