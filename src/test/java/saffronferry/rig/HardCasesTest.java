package saffronferry.rig;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.Test;
import org.junit.runner.RunWith;
import org.junit.runners.Parameterized;
import org.junit.runners.Parameterized.Parameter;
import org.junit.runners.Parameterized.Parameters;
import saffronferry.lab.scenario.Scenario;

/**
 * Severe fault scenarios with six real processes: two thirds of the workers are replaced by cold ones while
 * dispatchers are cut off from their peers, killed or paused. Checks from outside that each request ends exactly
 * once, that no rule is broken, and that the work sent to cold workers stays within its limit.
 */
@RunWith(Parameterized.class)
public class HardCasesTest {
    private static final List<String> SMALL_FLEET = List.of(
            "fleet.dispatchers=6",
            "fleet.workers=6",
            "length_s=6",
            "class[0].deadline_s=3",
            "class[1].deadline_s=4",
            "trouble[0].at_s=1.5",
            "trouble[0].size=1",
            "discovery.notice_s=0.2",
            "discovery.add_s=0.2",
            "fleet.kind[0].cold_s=4",
            "bounds.cold_multiple=3",
            // some jobs run longer than these short deadlines
            "bounds.failed=0.05");

    @Parameters(name = "{0}")
    public static Object[][] cases() {
        return new Object[][] {
            {"no peer link works", 0, new String[] {"load.share=0.9"}},
            {
                "fleet cut in halves, link flapping each second",
                0,
                new String[] {"trouble[1].shape=\"half\"", "trouble[1].flap_s=1"}
            },
            {"one-way cut of all links", 0, new String[] {"trouble[1].one_way=true"}},
            {
                "60 % datagram loss, the rest duplicated and delayed",
                0,
                new String[] {"trouble[1].loss=0.6", "trouble[1].doubled=1", "trouble[1].delay_s=0.5"}
            },
            {
                "half of the dispatchers killed while they transfer budget",
                3,
                new String[] {
                    "trouble[1].kind=\"dispatcher_restart\"",
                    "trouble[1].at_s=2.5",
                    "trouble[1].length_s=0.01",
                    "trouble[1].part=0.5",
                    "trouble[1].size=0.2"
                }
            },
            {
                "one dispatcher paused past all leases and resumed",
                1,
                new String[] {
                    "trouble[1].kind=\"dispatcher_stop\"",
                    "trouble[1].at_s=2",
                    "trouble[1].length_s=0.01",
                    "trouble[1].part=0.17",
                    "trouble[1].size=2"
                }
            },
            {
                "reordered worker updates and uneven load",
                0,
                new String[] {
                    "trouble[1].kind=\"list_disorder\"",
                    "trouble[1].part=0.5",
                    "trouble[1].size=1.5",
                    "load.loud=1",
                    "load.silent=2"
                }
            }
        };
    }

    @Parameter(0)
    public String name;
    /** Processes that are killed or paused themselves: the requests that they hold may fail. */
    @Parameter(1)
    public int faultyDispatchers;

    @Parameter(2)
    public String[] values;

    @Test
    public void eachRequestEndsAndNoRuleIsBroken() throws Exception {
        Scenario s = FaultRigTest.scenario(Stream.concat(
                        Stream.concat(
                                SMALL_FLEET.stream(),
                                Stream.of("load.share=0.7").filter(v -> !values[0].startsWith("load.share"))),
                        Stream.of(values))
                .toArray(String[]::new));
        long before = ProcessHandle.current().children().count();
        JSONObject result = FaultRig.run(s, 1, null);
        assertEquals(
                "processes are left", before, ProcessHandle.current().children().count());
        assertTrue(
                "asked: " + result,
                result.getInt("requests") > 60 && result.getInt("served") > result.getInt("requests") / 2);
        assertTrue(
                "cold workers were present: " + result,
                result.getJSONArray("cold_workers").length() >= 4);
        JSONArray bounds = result.getJSONArray("bounds");
        for (int i = 0; i < bounds.length(); i++) {
            JSONObject bound = bounds.getJSONObject(i);
            boolean exempt = faultyDispatchers > 0 && bound.getString("bound").equals("failed");
            assertTrue(bound + " in " + result, exempt || bound.getBoolean("held"));
        }
        if (faultyDispatchers == 0) {
            assertEquals(result.toString(), 0, result.getInt("no_answer") + result.getInt("died_with_it"));
        }
    }
}
