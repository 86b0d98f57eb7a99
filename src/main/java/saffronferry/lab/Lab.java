package saffronferry.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.json.JSONArray;
import org.json.JSONObject;
import saffronferry.lab.policy.Policy;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.world.ClusterSimulation;
import saffronferry.lab.world.ClusterSimulation.RunResult;

/**
 * Plays a scenario over many seeds, side by side; the result does not depend on how many threads there are.
 */
public final class Lab {
    /** Of the result's JSON; raised when a key changes its meaning or goes. */
    public static final int SCHEMA = 1;

    private Lab() {}

    /** The days of one policy, in the order of the seeds. */
    public static List<RunResult> run(Scenario scenario, Policy policy, List<Long> seeds, int threads)
            throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<RunResult>> days = new ArrayList<>();
            for (long seed : seeds) {
                days.add(pool.submit(() -> ClusterSimulation.run(scenario, policy, seed)));
            }
            List<RunResult> result = new ArrayList<>();
            for (Future<RunResult> day : days) {
                result.add(day.get());
            }
            return result;
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IllegalArgumentException unplayable) {
                throw unplayable;
            }
            throw new IllegalStateException("a day failed: " + e.getCause(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    /** A result: the same to the last byte for the same scenario, policy and seeds. */
    public static JSONObject json(Scenario scenario, Policy policy, List<RunResult> days) {
        JSONArray all = new JSONArray();
        days.forEach(day -> all.put(day.json()));
        return new JSONObject()
                .put("schema", SCHEMA)
                .put("scenario", scenario.name())
                .put("policy", policy.label())
                .put("goal", days.stream().mapToDouble(RunResult::goal).average().orElse(0))
                .put("days", all);
    }
}
