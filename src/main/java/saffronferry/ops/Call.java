package saffronferry.ops;

/**
 * One call of an operator, as its method and path say it. {@code worker} is the id named, or null.
 */
public record Call(Kind kind, String worker) {
    /** What is wanted; the last two are owed a no: 404 and 405. */
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

    private static final String DOWN = "/ops/workers/down/";
    private static final String UP = "/ops/workers/up/";

    /** Reads a method and a decoded path without its query; never fails. */
    public static Call read(String method, String path) {
        return switch (path) {
            case "/ops/readiness" -> by("GET", method, Kind.READINESS, null);
            case "/ops/stats" -> by("GET", method, Kind.STATS, null);
            case "/ops/drain/start" -> by("PUT", method, Kind.DRAIN_START, null);
            case "/ops/drain/stop" -> by("PUT", method, Kind.DRAIN_STOP, null);
            default -> worker(method, path);
        };
    }

    private static Call worker(String method, String path) {
        // whatever follows is the id: discovery may use a slash in one
        if (path.startsWith(DOWN) && path.length() > DOWN.length()) {
            return by("PUT", method, Kind.WORKER_DOWN, path.substring(DOWN.length()));
        }
        if (path.startsWith(UP) && path.length() > UP.length()) {
            return by("PUT", method, Kind.WORKER_UP, path.substring(UP.length()));
        }
        return new Call(Kind.UNKNOWN, null);
    }

    private static Call by(String wanted, String method, Kind kind, String worker) {
        return wanted.equals(method) ? new Call(kind, worker) : new Call(Kind.WRONG_METHOD, null);
    }
}
