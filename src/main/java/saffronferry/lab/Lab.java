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

/** Runs a scenario with many seeds in parallel. The result does not depend on the number of threads. */
public final class Lab {
    /** Version of the result's JSON schema; incremented when a key changes its meaning or is removed. */
    public static final int SCHEMA = 1;

    private Lab() {}

    /** Runs one policy and returns the results in the order of the seeds. */
    public static List<RunResult> run(Scenario scenario, Policy policy, List<Long> seeds, int threads)
            throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<RunResult>> runs = new ArrayList<>();
            for (long seed : seeds) {
                runs.add(pool.submit(() -> ClusterSimulation.run(scenario, policy, seed)));
            }
            List<RunResult> results = new ArrayList<>();
            for (Future<RunResult> future : runs) {
                results.add(future.get());
            }
            return results;
        } catch (ExecutionException e) {
            if (e.getCause() instanceof IllegalArgumentException invalidScenario) {
                throw invalidScenario;
            }
            throw new IllegalStateException("a run failed: " + e.getCause(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    /** The result file: identical, byte for byte, for the same scenario, policy and seeds. */
    public static JSONObject json(Scenario scenario, Policy policy, List<RunResult> runs) {
        JSONArray all = new JSONArray();
        runs.forEach(run -> all.put(run.json()));
        return new JSONObject()
                .put("schema", SCHEMA)
                .put("scenario", scenario.name())
                .put("policy", policy.label())
                .put(
                        "goal",
                        runs.stream().mapToDouble(RunResult::goal).average().orElse(0))
                .put("days", all);
    }
}
