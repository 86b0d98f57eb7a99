package saffronferry.wire;

import java.util.Set;
import org.json.JSONException;
import org.json.JSONObject;
import saffronferry.Contract.Outcome;
import saffronferry.state.CallAttempt;

/**
 * Maps a subchannel's response to the outcome of the call attempt, according to the protocol. A line that belongs to
 * another request, or lacks what the protocol requires of it, says nothing of the attempt and invalidates the response.
 */
final class SubchannelResponseParser {
    /** The states of a line that ends a response. */
    private static final Set<String> FINAL_STATES = Set.of("done", "failed", "returned", "lost");

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

    /**
     * Handles one line of a 200 response.
     *
     * @param txn the id of the request that the attempt sent
     * @throws IllegalArgumentException if the line is invalid; the attempt has not ended by it
     */
    void line(CallAttempt attempt, String txn, String line) {
        if (line.isEmpty() || attempt.isEnded()) {
            return;
        }
        JSONObject event = parse(line);
        String state = event.optString("state");
        checkRequest(event, txn, FINAL_STATES.contains(state));
        switch (state) {
            case "started" -> attempt.jobStarted();
            case "running" -> attempt.jobProgressed();
            case "done" -> attempt.served(result(event), loads.parse(event.optJSONObject("load")));
            case "failed" -> attempt.ended(Outcome.ERROR, loads.parse(event.optJSONObject("load")));
            case "returned" -> attempt.ended(Outcome.FULL, loads.parse(event.optJSONObject("load")));
            case "lost" -> attempt.ended(Outcome.RESET, loads.parse(event.optJSONObject("load")));
            // states unknown to this version do not end the attempt
            default -> {}
        }
    }

    private static JSONObject parse(String line) {
        try {
            return new JSONObject(line);
        } catch (JSONException e) {
            throw new IllegalArgumentException("line is not a JSON object: " + e.getMessage());
        }
    }

    /** Rejects a line that names another request, and a final line that names none. */
    private static void checkRequest(JSONObject event, String txn, boolean isFinal) {
        if (event.isNull("id")) {
            if (isFinal) {
                throw new IllegalArgumentException("the last line for request " + txn + " has no id");
            }
            return;
        }
        // an id of digits may come as a number
        String id = event.get("id").toString();
        if (!id.equals(txn)) {
            throw new IllegalArgumentException("a line for request " + txn + " names request " + id);
        }
    }

    /** The result of a job, which may be empty, but not missing. */
    private static String result(JSONObject event) {
        if (event.isNull("result")) {
            throw new IllegalArgumentException("a line of state done has no result");
        }
        return event.get("result").toString();
    }
}
