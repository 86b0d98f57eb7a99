package saffronferry.ops;

/**
 * A call to the operators' console, parsed from its method and path. {@code worker} is the id in the path, or null.
 */
public record OperatorCall(Kind kind, String worker) {
    /** The operation; the last two are answered with 404 and 405. */
    public enum Kind {
        READINESS,
        STATS,
        WORKER_DOWN,
        WORKER_UP,
        DRAIN_START,
        DRAIN_STOP,
        UNKNOWN,
        WRONG_METHOD
    }

    private static final String WORKER_DOWN_PATH = "/ops/workers/down/";
    private static final String WORKER_UP_PATH = "/ops/workers/up/";

    /** Parses a method and a decoded path without its query; never fails. */
    public static OperatorCall parse(String method, String path) {
        return switch (path) {
            case "/ops/readiness" -> requireMethod("GET", method, Kind.READINESS, null);
            case "/ops/stats" -> requireMethod("GET", method, Kind.STATS, null);
            case "/ops/drain/start" -> requireMethod("PUT", method, Kind.DRAIN_START, null);
            case "/ops/drain/stop" -> requireMethod("PUT", method, Kind.DRAIN_STOP, null);
            default -> parseWorkerCall(method, path);
        };
    }

    private static OperatorCall parseWorkerCall(String method, String path) {
        // the rest of the path is the id, which may contain slashes
        if (path.startsWith(WORKER_DOWN_PATH) && path.length() > WORKER_DOWN_PATH.length()) {
            return requireMethod("PUT", method, Kind.WORKER_DOWN, path.substring(WORKER_DOWN_PATH.length()));
        }
        if (path.startsWith(WORKER_UP_PATH) && path.length() > WORKER_UP_PATH.length()) {
            return requireMethod("PUT", method, Kind.WORKER_UP, path.substring(WORKER_UP_PATH.length()));
        }
        return new OperatorCall(Kind.UNKNOWN, null);
    }

    private static OperatorCall requireMethod(String expected, String method, Kind kind, String worker) {
        return expected.equals(method) ? new OperatorCall(kind, worker) : new OperatorCall(Kind.WRONG_METHOD, null);
    }
}
