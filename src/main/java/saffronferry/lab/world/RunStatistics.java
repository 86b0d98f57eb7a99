package saffronferry.lab.world;

import java.util.Arrays;
import org.HdrHistogram.Histogram;
import org.json.JSONArray;
import org.json.JSONObject;
import saffronferry.lab.scenario.Scenario;

/** Collects the statistics of a run: worth asked and served by time, class and tenant, and message counts. */
final class RunStatistics {
    private static final long WINDOW_US = 1_000_000;
    private static final int WORST_WINDOW_COUNT = 10;
    /** Groups with less worth asked are left out of the minimum, because chance dominates their share. */
    private static final double MIN_WORTH_ASKED = 10;

    // columns of windows, classes and tenants
    private static final int ASKED = 0;
    private static final int SERVED = 1;

    // columns of pathCounts
    private static final int REQUESTS = 0;
    private static final int TRIES = 1;
    private static final int ATTEMPTS = 2;
    private static final int COPIES = 3;
    private static final int MAX_TRIES = 4;
    private static final int MAX_ATTEMPTS = 5;
    private static final int PATH_COLUMNS = 6;

    private final Scenario scenario;
    private final long start;
    private final double[][] windows;
    private final double[][] classes;
    /** Counts only requests within the tenant's share. */
    private final double[][] tenants;

    private final Histogram latency = new Histogram(3_600_000_000L, 3);
    /** Per class: requests, client tries, attempts, concurrent attempts; most tries and attempts of one request. */
    private final long[][] pathCounts;

    private long requests;
    private long inTime;
    private long late;
    private double asked;
    private double served;
    long refusals;
    long failures;
    long probes;
    private long datagrams;
    private long datagramBytes;
    /** Datagrams before the first request, while all dispatchers start together. */
    private long datagramsBeforeLoad;

    private long datagramBytesBeforeLoad;
    long decisions;

    RunStatistics(Scenario scenario, long start) {
        this.scenario = scenario;
        this.start = start;
        windows = new double[(int) (scenario.length() / WINDOW_US) + 1][2];
        classes = new double[scenario.classes().size()][2];
        tenants = new double[scenario.tenants().size()][2];
        pathCounts = new long[scenario.classes().size()][PATH_COLUMNS];
    }

    /** A dispatcher sends a datagram to a peer; {@code bytes} is the length of the payload. */
    void datagram(int bytes) {
        datagrams++;
        datagramBytes += bytes;
    }

    /** The dispatchers have started, and clients begin to send requests. */
    void loadStarted() {
        datagramsBeforeLoad = datagrams;
        datagramBytesBeforeLoad = datagramBytes;
    }

    /** A client sends a request, for the first time or as a retry. */
    void clientTryStarted(ClientRequest request) {
        long[] counts = pathCounts[request.rpcClass];
        request.clientTries++;
        counts[TRIES]++;
        counts[MAX_TRIES] = Math.max(counts[MAX_TRIES], request.clientTries);
    }

    /** A dispatcher sends an attempt; {@code concurrent} if another one of the same RPC is in flight. */
    void attemptSent(ClientRequest request, boolean concurrent) {
        long[] counts = pathCounts[request.rpcClass];
        request.attempts++;
        counts[ATTEMPTS]++;
        counts[COPIES] += concurrent ? 1 : 0;
        counts[MAX_ATTEMPTS] = Math.max(counts[MAX_ATTEMPTS], request.attempts);
    }

    private long pathTotal(int column) {
        return Arrays.stream(pathCounts).mapToLong(p -> p[column]).sum();
    }

    private double[] window(ClientRequest request) {
        return windows[(int) Math.min(windows.length - 1, (request.arrivedAt - start) / WINDOW_US)];
    }

    private void add(ClientRequest request, double worth, int column) {
        window(request)[column] += worth;
        classes[request.rpcClass][column] += worth;
        if (request.withinTenantShare) {
            tenants[request.tenant][column] += worth;
        }
    }

    void asked(ClientRequest request, double worth) {
        requests++;
        pathCounts[request.rpcClass][REQUESTS]++;
        asked += worth;
        add(request, worth, ASKED);
    }

    void served(ClientRequest request, double worth, long latencyUs, boolean withinTarget) {
        served += worth;
        add(request, worth, SERVED);
        latency.recordValue(Math.min(latencyUs, 3_600_000_000L));
        inTime += withinTarget ? 1 : 0;
        late += withinTarget ? 0 : 1;
    }

    private static double share(double[] askedAndServed) {
        return askedAndServed[ASKED] > 0 ? askedAndServed[SERVED] / askedAndServed[ASKED] : 1;
    }

    private double worstWindow() {
        double worst = 1;
        for (int i = 0; i + WORST_WINDOW_COUNT <= windows.length; i++) {
            double askedSum = 0;
            double servedSum = 0;
            for (int k = i; k < i + WORST_WINDOW_COUNT; k++) {
                askedSum += windows[k][ASKED];
                servedSum += windows[k][SERVED];
            }
            worst = askedSum >= MIN_WORTH_ASKED ? Math.min(worst, servedSum / askedSum) : worst;
        }
        return worst;
    }

    private static double worst(double[][] groups) {
        return Arrays.stream(groups)
                .filter(g -> g[ASKED] >= MIN_WORTH_ASKED)
                .mapToDouble(RunStatistics::share)
                .min()
                .orElse(1);
    }

    private double servedShare() {
        return asked > 0 ? served / asked : 1;
    }

    /** The weighted score that policies are compared by: all requests, worst 10 s, worst class, worst tenant. */
    double goal() {
        return 0.3 * servedShare() + 0.1 * worstWindow() + 0.2 * worst(classes) + 0.4 * worst(tenants);
    }

    private static double round(double value) {
        return Math.round(value * 1e6) / 1e6;
    }

    /** The result as JSON. Nothing in it depends on the machine or its clock. */
    JSONObject json(long events) {
        JSONObject byClass = new JSONObject();
        JSONObject byPath = new JSONObject();
        for (int i = 0; i < classes.length; i++) {
            byClass.put(scenario.classes().get(i).name(), round(share(classes[i])));
            byPath.put(
                    scenario.classes().get(i).name(),
                    new JSONObject()
                            .put("requests", pathCounts[i][REQUESTS])
                            .put("tries", pathCounts[i][TRIES])
                            .put("attempts", pathCounts[i][ATTEMPTS])
                            .put("copies", pathCounts[i][COPIES])
                            .put("most_tries", pathCounts[i][MAX_TRIES])
                            .put("most_attempts", pathCounts[i][MAX_ATTEMPTS]));
        }
        JSONObject byTenant = new JSONObject();
        for (int i = 0; i < tenants.length; i++) {
            byTenant.put(scenario.tenants().get(i).name(), round(share(tenants[i])));
        }
        JSONArray bySecond = new JSONArray();
        for (double[] w : windows) {
            bySecond.put(new JSONArray().put(round(w[ASKED])).put(round(w[SERVED])));
        }
        JSONObject quantiles = new JSONObject();
        for (double q : new double[] {50, 90, 99, 99.9}) {
            quantiles.put(
                    "p" + (q == Math.rint(q) ? Long.toString((long) q) : Double.toString(q)),
                    latency.getValueAtPercentile(q) / 1e6);
        }
        return new JSONObject()
                .put("goal", round(goal()))
                .put("worth_served", round(servedShare()))
                .put("worst_10_s", round(worstWindow()))
                .put("worst_class", round(worst(classes)))
                .put("worst_tenant", round(worst(tenants)))
                .put("classes", byClass)
                .put("tenants", byTenant)
                .put("requests", requests)
                .put("in_time", inTime)
                .put("late", late)
                .put("tries", pathTotal(TRIES))
                .put("attempts", pathTotal(ATTEMPTS))
                .put("path", byPath)
                .put("refusals", refusals)
                .put("failures", failures)
                .put("probes", probes)
                .put("datagrams", datagrams)
                .put("datagram_bytes", datagramBytes)
                .put("start_datagrams", datagramsBeforeLoad)
                .put("start_datagram_bytes", datagramBytesBeforeLoad)
                .put("decisions", decisions)
                .put("events", events)
                .put("latency_s", quantiles)
                .put("worth_by_second", bySecond);
    }

    long requests() {
        return requests;
    }
}
