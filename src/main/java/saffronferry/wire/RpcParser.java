package saffronferry.wire;

import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Pattern;
import saffronferry.Contract.Effect;
import saffronferry.Contract.JobClass;
import saffronferry.state.RpcInfo;

/** Reads what a client's headers and path say of an RPC. */
final class RpcParser {
    private static final Pattern NAME = Pattern.compile("[0-9A-Za-z._:-]{1,64}");
    private static final Pattern KEY = Pattern.compile("[!-~]{1,128}");
    private static final Pattern DIGITS = Pattern.compile("[0-9]{1,12}");
    private static final int MOST_SLOTS = 255;

    private final List<String> classes;
    private final List<Boolean> keyed;
    private final List<Long> maxRemaining;
    private final List<String> tenants;

    RpcParser(List<JobClass> classes, List<String> tenants) {
        this.classes = classes.stream().map(JobClass::name).toList();
        keyed = classes.stream().map(c -> c.effect() == Effect.KEYED).toList();
        maxRemaining = classes.stream().map(RpcInfo::maxRemaining).toList();
        this.tenants = tenants;
    }

    RpcInfo parse(HttpServerRequest request) throws RejectedRequestException {
        return parse(request.path(), request.headers()::getAll);
    }

    /** The values of a header may be none. */
    RpcInfo parse(String path, Function<String, List<String>> headers) throws RejectedRequestException {
        String lane = one(headers, "X-Lane");
        String place = firstPart(path);
        int rpcClass = classes.indexOf(place);
        if (rpcClass < 0) {
            throw new RejectedRequestException(404, "unknown class in the path");
        }
        if (lane != null && !lane.equals(place)) {
            throw new RejectedRequestException(400, "X-Lane and path name different classes");
        }
        String name = one(headers, "X-Txn");
        if (name == null || !NAME.matcher(name).matches()) {
            throw new RejectedRequestException(400, "X-Txn must be an id of at most 64 letters, digits and -._:");
        }
        String key = one(headers, "Idempotency-Key");
        if (key != null && !KEY.matcher(key).matches()) {
            throw new RejectedRequestException(400, "Idempotency-Key must be at most 128 printable characters");
        }
        if (key == null && keyed.get(rpcClass)) {
            throw new RejectedRequestException(400, "Idempotency-Key is missing");
        }
        String org = one(headers, "X-Org");
        int slots = 1;
        String labels = one(headers, "X-Labels");
        for (String label : labels == null || labels.isBlank() ? new String[0] : labels.split(",")) {
            int at = label.indexOf('=');
            if (at < 0) {
                throw new RejectedRequestException(400, "X-Labels must be name=value,name=value");
            }
            String value = label.substring(at + 1);
            switch (label.substring(0, at).trim()) {
                case "slots" -> slots = (int) number("X-Labels slots", value, 1, MOST_SLOTS);
                default -> {}
            }
        }
        return new RpcInfo(
                name,
                rpcClass,
                org == null ? -1 : tenants.indexOf(org),
                remaining(one(headers, "X-Remaining-Ms"), rpcClass),
                slots,
                "1".equals(one(headers, "X-Resent")));
    }

    /** Guards against a header given twice, of which a worker may read the other one. */
    private static String one(Function<String, List<String>> headers, String name) throws RejectedRequestException {
        List<String> values = headers.apply(name);
        if (values.size() > 1) {
            throw new RejectedRequestException(400, name + " is given more than once");
        }
        return values.isEmpty() ? null : values.get(0);
    }

    private static String firstPart(String path) {
        int from = path.startsWith("/") ? 1 : 0;
        int to = path.indexOf('/', from);
        return path.substring(from, to < 0 ? path.length() : to);
    }

    private long remaining(String ms, int rpcClass) throws RejectedRequestException {
        if (ms == null || !DIGITS.matcher(ms).matches()) {
            throw new RejectedRequestException(400, "X-Remaining-Ms must be a whole number of milliseconds");
        }
        long micros = Long.parseLong(ms) * 1000;
        if (micros > maxRemaining.get(rpcClass)) {
            throw new RejectedRequestException(400, "X-Remaining-Ms is far beyond the deadline of the class");
        }
        return micros;
    }

    private static double number(String what, String text, double least, double most) throws RejectedRequestException {
        try {
            double value = Double.parseDouble(text.trim());
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new RejectedRequestException(400, what + " must be a number from " + (long) least + " to " + (long) most);
    }
}
