package saffronferry.state;

import java.util.HashMap;
import java.util.Map;
import saffronferry.Contract.WorkerState;

/** The list of subchannels as last told: where each is reached, by its id, and the revision to go on from. */
final class ResolverResult {
    private final Map<String, String> addresses = new HashMap<>();
    private long revision;

    void take(ListUpdate update) {
        if (update.complete()) {
            addresses.clear();
        }
        for (ListUpdate.Entry e : update.entries()) {
            if (e.info().state() == WorkerState.GONE) {
                addresses.remove(e.info().address());
            } else {
                addresses.put(e.info().address(), e.address());
            }
        }
        revision = update.revision();
    }

    /** Null for a subchannel that is not in the list. */
    String address(String subchannel) {
        return addresses.get(subchannel);
    }

    long revision() {
        return revision;
    }
}
