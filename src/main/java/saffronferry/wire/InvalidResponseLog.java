package saffronferry.wire;

import java.util.HashSet;
import java.util.Set;
import saffronferry.log.BoundedLog;

/** Logs what is wrong with the responses of workers, once for each worker. */
final class InvalidResponseLog {
    /** More workers than a deployment has; beyond them, workers may be logged again. */
    private static final int MAX_WORKERS = 4_096;

    private final BoundedLog log;
    private final Set<String> loggedAddresses = new HashSet<>();

    InvalidResponseLog(BoundedLog log) {
        this.log = log;
    }

    /** Logs the problem unless one of the worker at this address has been logged. */
    void report(String address, String problem) {
        if (loggedAddresses.contains(address)) {
            return;
        }
        if (log.line("invalid subchannel response", "of the worker at " + address + ": " + problem)) {
            if (loggedAddresses.size() >= MAX_WORKERS) {
                loggedAddresses.clear();
            }
            loggedAddresses.add(address);
        }
    }
}
