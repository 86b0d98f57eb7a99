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
 * The fleet's hard cases with six real processes: two thirds of the workers are replaced by cold ones while parts of
 * the fleet hear nothing, die or stand still. Judged from outside: each request has its one end, no rule is broken,
 * and what reaches a cold worker keeps the rule.
 */
@RunWith(Parameterized.class)
public class HardCasesTest {
    private static final List<String> SMALL = List.of(
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
            "bounds.failed=0.05"); // jobs that run longer than these short deadlines

    @Parameters(name = "{0}")
    public static Object[][] cases() {
        return new Object[][] {
            {"all deaf", 0, new String[] {"load.share=0.9"}},
            {
                "halves, healed and cut again each second",
                0,
                new String[] {"trouble[1].shape=\"half\"", "trouble[1].flap_s=1"}
            },
            {"higher numbers are never heard", 0, new String[] {"trouble[1].one_way=true"}},
            {
                "two thirds lost, the rest doubled and late",
                0,
                new String[] {"trouble[1].loss=0.6", "trouble[1].doubled=1", "trouble[1].delay_s=0.5"}
            },
            {
                "half are killed while they lend and borrow",
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
                "one stands still past all leases and goes on",
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
                "news of workers overtakes, one is asked most",
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
    /** How many processes are troubled themselves: their own requests may end with them. */
    @Parameter(1)
    public int troubled;

    @Parameter(2)
    public String[] values;

    @Test
    public void eachRequestHasItsEndAndNoRuleIsBroken() throws Exception {
        Scenario s = RigTest.scenario(Stream.concat(
                        Stream.concat(
                                SMALL.stream(),
                                Stream.of("load.share=0.7").filter(v -> !values[0].startsWith("load.share"))),
                        Stream.of(values))
                .toArray(String[]::new));
        long before = ProcessHandle.current().children().count();
        JSONObject seen = FaultRig.run(s, 1, null);
        assertEquals(
                "processes are left", before, ProcessHandle.current().children().count());
        assertTrue(
                "asked: " + seen, seen.getInt("requests") > 60 && seen.getInt("served") > seen.getInt("requests") / 2);
        assertTrue(
                "cold workers were there: " + seen,
                seen.getJSONArray("cold_workers").length() >= 4);
        JSONArray bounds = seen.getJSONArray("bounds");
        for (int i = 0; i < bounds.length(); i++) {
            JSONObject bound = bounds.getJSONObject(i);
            boolean own = troubled > 0 && bound.getString("bound").equals("failed");
            assertTrue(bound + " in " + seen, own || bound.getBoolean("held"));
        }
        if (troubled == 0) {
            assertEquals(seen.toString(), 0, seen.getInt("no_answer") + seen.getInt("died_with_it"));
        }
    }
}
