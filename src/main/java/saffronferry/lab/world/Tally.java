package saffronferry.lab.world;

import java.util.Arrays;
import org.HdrHistogram.Histogram;
import org.json.JSONArray;
import org.json.JSONObject;
import saffronferry.lab.scenario.Scenario;

/** What a day came to: worth asked for and served, by time, class and tenant, and what it took. */
final class Tally {
    private static final long WINDOW = 1_000_000;
    private static final int WORST_WINDOWS = 10;
    /** Below so much worth asked a window says more of chance than of service. */
    private static final double LEAST_ASKED = 10;

    private final Scenario scenario;
    private final long start;
    private final double[][] windows; // asked, served
    private final double[][] classes;
    private final double[][] tenants; // within their share only
    private final Histogram latency = new Histogram(3_600_000_000L, 3);
    /** By class: requests, tries, attempts, second copies; the most tries and attempts of one request. */
    private final long[][] path;

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
    private long startDatagrams; // before the first request, when all dispatchers have started together
    private long startDatagramBytes;
    long decisions;

    Tally(Scenario scenario, long start) {
        this.scenario = scenario;
        this.start = start;
        windows = new double[(int) (scenario.length() / WINDOW) + 1][2];
        classes = new double[scenario.classes().size()][2];
        tenants = new double[scenario.tenants().size()][2];
        path = new long[scenario.classes().size()][6];
    }

    /** A dispatcher tells a peer; bytes are those of the payload. */
    void datagram(int bytes) {
        datagrams++;
        datagramBytes += bytes;
    }

    /** All have started, and the day begins. */
    void settled() {
        startDatagrams = datagrams;
        startDatagramBytes = datagramBytes;
    }

    /** A client tries, for the first time or again. */
    void tried(Call call) {
        long[] p = path[call.rpcClass];
        call.tries++;
        p[1]++;
        p[4] = Math.max(p[4], call.tries);
    }

    /** A dispatcher sends a call attempt; a copy if another one of the same RPC is still out. */
    void sent(Call call, boolean copy) {
        long[] p = path[call.rpcClass];
        call.attempts++;
        p[2]++;
        p[3] += copy ? 1 : 0;
        p[5] = Math.max(p[5], call.attempts);
    }

    private long inAll(int what) {
        return Arrays.stream(path).mapToLong(p -> p[what]).sum();
    }

    private double[] window(Call call) {
        return windows[(int) Math.min(windows.length - 1, (call.arrivedAt - start) / WINDOW)];
    }

    private void add(Call call, double worth, int what) {
        window(call)[what] += worth;
        classes[call.rpcClass][what] += worth;
        if (call.inShare) {
            tenants[call.tenant][what] += worth;
        }
    }

    void asked(Call call, double worth) {
        requests++;
        path[call.rpcClass][0]++;
        asked += worth;
        add(call, worth, 0);
    }

    void served(Call call, double worth, long took, boolean wanted) {
        served += worth;
        add(call, worth, 1);
        latency.recordValue(Math.min(took, 3_600_000_000L));
        inTime += wanted ? 1 : 0;
        late += wanted ? 0 : 1;
    }

    private static double share(double[] part) {
        return part[0] > 0 ? part[1] / part[0] : 1;
    }

    private double worstWindow() {
        double worst = 1;
        for (int i = 0; i + WORST_WINDOWS <= windows.length; i++) {
            double a = 0;
            double s = 0;
            for (int k = i; k < i + WORST_WINDOWS; k++) {
                a += windows[k][0];
                s += windows[k][1];
            }
            worst = a >= LEAST_ASKED ? Math.min(worst, s / a) : worst;
        }
        return worst;
    }

    private static double worst(double[][] parts) {
        return Arrays.stream(parts)
                .filter(p -> p[0] >= LEAST_ASKED)
                .mapToDouble(Tally::share)
                .min()
                .orElse(1);
    }

    private double whole() {
        return asked > 0 ? served / asked : 1;
    }

    /** The goal: three tenths the whole, one the worst 10 s, two the worst class, four the worst tenant. */
    double goal() {
        return 0.3 * whole() + 0.1 * worstWindow() + 0.2 * worst(classes) + 0.4 * worst(tenants);
    }

    private static double round(double value) {
        return Math.round(value * 1e6) / 1e6;
    }

    /** Nothing here depends on the machine or its clock. */
    JSONObject json(long events) {
        JSONObject byClass = new JSONObject();
        JSONObject byPath = new JSONObject();
        for (int i = 0; i < classes.length; i++) {
            byClass.put(scenario.classes().get(i).name(), round(share(classes[i])));
            byPath.put(
                    scenario.classes().get(i).name(),
                    new JSONObject()
                            .put("requests", path[i][0])
                            .put("tries", path[i][1])
                            .put("attempts", path[i][2])
                            .put("copies", path[i][3])
                            .put("most_tries", path[i][4])
                            .put("most_attempts", path[i][5]));
        }
        JSONObject byTenant = new JSONObject();
        for (int i = 0; i < tenants.length; i++) {
            byTenant.put(scenario.tenants().get(i).name(), round(share(tenants[i])));
        }
        JSONArray bySecond = new JSONArray();
        for (double[] w : windows) {
            bySecond.put(new JSONArray().put(round(w[0])).put(round(w[1])));
        }
        JSONObject quantiles = new JSONObject();
        for (double q : new double[] {50, 90, 99, 99.9}) {
            quantiles.put(
                    "p" + (q == Math.rint(q) ? Long.toString((long) q) : Double.toString(q)),
                    latency.getValueAtPercentile(q) / 1e6);
        }
        return new JSONObject()
                .put("goal", round(goal()))
                .put("worth_served", round(whole()))
                .put("worst_10_s", round(worstWindow()))
                .put("worst_class", round(worst(classes)))
                .put("worst_tenant", round(worst(tenants)))
                .put("classes", byClass)
                .put("tenants", byTenant)
                .put("requests", requests)
                .put("in_time", inTime)
                .put("late", late)
                .put("tries", inAll(1))
                .put("attempts", inAll(2))
                .put("path", byPath)
                .put("refusals", refusals)
                .put("failures", failures)
                .put("probes", probes)
                .put("datagrams", datagrams)
                .put("datagram_bytes", datagramBytes)
                .put("start_datagrams", startDatagrams)
                .put("start_datagram_bytes", startDatagramBytes)
                .put("decisions", decisions)
                .put("events", events)
                .put("latency_s", quantiles)
                .put("worth_by_second", bySecond);
    }

    long requests() {
        return requests;
    }
}
