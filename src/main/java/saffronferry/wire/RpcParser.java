package saffronferry.wire;

import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.function.UnaryOperator;
import saffronferry.state.RpcInfo;

/** Reads what a client's headers and query say of an RPC. */
final class RpcParser {
    /** The most that a client can be made to wait for: it bounds the deadline's timer. */
    private static final long MOST_MS = 3_600_000;
    private static final int MOST_SLOTS = 255;

    private final List<String> classes;
    private final List<String> tenants;

    RpcParser(List<String> classes, List<String> tenants) {
        this.classes = classes;
        this.tenants = tenants;
    }

    RpcInfo parse(HttpServerRequest request) throws BadRequest {
        return parse(request.path(), request.query(), request::getHeader);
    }

    /** The query and any header may be null. */
    RpcInfo parse(String path, String query, UnaryOperator<String> header) throws BadRequest {
        String lane = header.apply("X-Lane");
        int rpcClass = classes.indexOf(lane != null ? lane : firstPart(path));
        if (rpcClass < 0) {
            throw new BadRequest(404, "unknown class in X-Lane or path");
        }
        if (header.apply("X-Txn") == null) {
            throw new BadRequest(400, "X-Txn is missing");
        }
        String org = header.apply("X-Org");
        int slots = 1;
        double memory = 0;
        double hint = Double.NaN;
        String labels = header.apply("X-Labels");
        for (String label : labels == null || labels.isBlank() ? new String[0] : labels.split(",")) {
            int at = label.indexOf('=');
            if (at < 0) {
                throw new BadRequest(400, "X-Labels must be name=value,name=value");
            }
            String value = label.substring(at + 1);
            switch (label.substring(0, at).trim()) {
                case "slots" -> slots = (int) number("X-Labels slots", value, 1, MOST_SLOTS);
                case "memory" -> memory = number("X-Labels memory", value, 0, 1e9);
                default -> { }
            }
        }
        return new RpcInfo(rpcClass, org == null ? -1 : tenants.indexOf(org), key(query),
                remaining(header.apply("X-Remaining-Ms")), hint, slots, memory,
                "1".equals(header.apply("X-Resent")));
    }

    private static String firstPart(String path) {
        int from = path.startsWith("/") ? 1 : 0;
        int to = path.indexOf('/', from);
        return path.substring(from, to < 0 ? path.length() : to);
    }

    private static long remaining(String ms) throws BadRequest {
        if (ms == null) {
            throw new BadRequest(400, "X-Remaining-Ms is missing");
        }
        return (long) (number("X-Remaining-Ms", ms, 0, MOST_MS) * 1000);
    }

    private static double number(String what, String text, double least, double most) throws BadRequest {
        try {
            double value = Double.parseDouble(text.trim());
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new BadRequest(400, what + " must be a number from " + (long) least + " to " + (long) most);
    }

    /** A key is a name; the module wants a number that is the same for the same name. */
    private static long key(String query) {
        for (String part : query == null ? new String[0] : query.split("&")) {
            if (part.startsWith("obj=")) {
                long hash = 0xcbf29ce484222325L;
                for (int i = 4; i < part.length(); i++) {
                    hash = (hash ^ part.charAt(i)) * 0x100000001b3L;
                }
                return hash >>> 11;
            }
        }
        return -1;
    }
}
