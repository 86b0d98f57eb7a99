package saffronferry.rig;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.Test;
import saffronferry.lab.scenario.ScenarioReader;

/** Measures the resource usage of each process of a small fleet under light load. */
public class FleetResourceUsageTest {
    @Test
    public void eachProcessIsMeasuredBetweenTwoSnapshots() throws Exception {
        long before = ProcessHandle.current().children().count();
        JSONObject result =
                FaultRig.run(ScenarioReader.parse("small.toml", """
                length_s = 4
                [fleet]
                zones = ["a"]
                workers = 4
                dispatchers = 2
                [load]
                share = 0.3
                """), 1, null, new FaultRig.UsageOptions(null, 1));
        assertEquals(before, ProcessHandle.current().children().count());
        assertTrue(result.toString(), result.getInt("served") > 5);
        JSONArray each = result.getJSONArray("processes");
        assertEquals(2, each.length());
        for (int i = 0; i < 2; i++) {
            JSONObject p = each.getJSONObject(i);
            assertEquals(i, p.getInt("dispatcher"));
            assertTrue(
                    p.toString(),
                    p.getDouble("seconds") > 2
                            && p.getDouble("core_percent") > 0
                            && p.getDouble("resident_mb") > 20
                            && p.getDouble("wake_ups_per_s") > 1);
            assertTrue(
                    "peers exchange datagrams: " + p,
                    p.getDouble("bytes_per_s_datagrams_in") > 0 && p.getDouble("bytes_per_s_datagrams_out") > 0);
            assertTrue("discovery sends keepalives: " + p, p.getDouble("bytes_per_s_lists_in") > 0);
            assertTrue("a rate of the console is not differentiated: " + p, !p.has("bytes_per_s_per_second"));
        }
        JSONObject sum =
                FleetResourceUsage.summary(new JSONArray("[{\"dispatcher\":0,\"x\":1},{\"dispatcher\":1,\"x\":4}]"));
        assertEquals(2.5, sum.getDouble("x_mean"), 1e-9);
        assertEquals(4, sum.getDouble("x_most"), 1e-9);
        assertEquals(2, sum.length());
    }
}
