package saffronferry.wire;

import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Pattern;
import saffronferry.Contract.Idempotency;
import saffronferry.Contract.JobClass;
import saffronferry.state.RpcInfo;

/** Parses the path and headers of a client's request into an {@link RpcInfo}. */
final class RpcParser {
    private static final Pattern NAME = Pattern.compile("[0-9A-Za-z._:-]{1,64}");
    private static final Pattern KEY = Pattern.compile("[!-~]{1,128}");
    private static final Pattern DIGITS = Pattern.compile("[0-9]{1,12}");
    private static final int MAX_SLOTS = 255;

    private final List<String> classes;
    private final List<Boolean> keyRequired;
    private final List<Long> maxRemaining;
    private final List<String> tenants;

    RpcParser(List<JobClass> classes, List<String> tenants) {
        this.classes = classes.stream().map(JobClass::name).toList();
        keyRequired =
                classes.stream().map(c -> c.idempotency() == Idempotency.KEYED).toList();
        maxRemaining = classes.stream().map(RpcInfo::maxRemaining).toList();
        this.tenants = tenants;
    }

    RpcInfo parse(HttpServerRequest request) throws RejectedRequestException {
        return parse(request.path(), request.headers()::getAll);
    }

    /** Parses a request whose header values are looked up by {@code headers}; a list of values may be empty. */
    RpcInfo parse(String path, Function<String, List<String>> headers) throws RejectedRequestException {
        String lane = singleValue(headers, "X-Lane");
        String className = firstSegment(path);
        int rpcClass = classes.indexOf(className);
        if (rpcClass < 0) {
            throw new RejectedRequestException(404, "unknown class in the path");
        }
        if (lane != null && !lane.equals(className)) {
            throw new RejectedRequestException(400, "X-Lane and path name different classes");
        }
        String name = singleValue(headers, "X-Txn");
        if (name == null || !NAME.matcher(name).matches()) {
            throw new RejectedRequestException(400, "X-Txn must be an id of at most 64 letters, digits and -._:");
        }
        String key = singleValue(headers, "Idempotency-Key");
        if (key != null && !KEY.matcher(key).matches()) {
            throw new RejectedRequestException(400, "Idempotency-Key must be at most 128 printable characters");
        }
        if (key == null && keyRequired.get(rpcClass)) {
            throw new RejectedRequestException(400, "Idempotency-Key is missing");
        }
        String org = singleValue(headers, "X-Org");
        int slots = 1;
        String labels = singleValue(headers, "X-Labels");
        for (String label : labels == null || labels.isBlank() ? new String[0] : labels.split(",")) {
            int at = label.indexOf('=');
            if (at < 0) {
                throw new RejectedRequestException(400, "X-Labels must be name=value,name=value");
            }
            String value = label.substring(at + 1);
            switch (label.substring(0, at).trim()) {
                case "slots" -> slots = (int) number("X-Labels slots", value, 1, MAX_SLOTS);
                default -> {}
            }
        }
        return new RpcInfo(
                name,
                rpcClass,
                org == null ? -1 : tenants.indexOf(org),
                remaining(singleValue(headers, "X-Remaining-Ms"), rpcClass),
                slots,
                "1".equals(singleValue(headers, "X-Resent")));
    }

    /** Rejects a header that is given twice: a worker might use the other value. */
    private static String singleValue(Function<String, List<String>> headers, String name)
            throws RejectedRequestException {
        List<String> values = headers.apply(name);
        if (values.size() > 1) {
            throw new RejectedRequestException(400, name + " is given more than once");
        }
        return values.isEmpty() ? null : values.get(0);
    }

    private static String firstSegment(String path) {
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

    private static double number(String what, String text, double min, double max) throws RejectedRequestException {
        try {
            double value = Double.parseDouble(text.trim());
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        throw new RejectedRequestException(400, what + " must be a number from " + (long) min + " to " + (long) max);
    }
}
