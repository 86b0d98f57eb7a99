package saffronferry.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Exit codes of the command line, and the files that it writes. */
class MainTest {
    private static final String SMALL_SCENARIO = "examples/scale/deploy.toml";
    private static final String SHORT_RUN = " --set length_s=2 --set trouble[0].at_s=1";

    @TempDir
    private Path dir;

    @Test
    void exitCodesTellSuccessUsageErrorsAndViolations() throws Exception {
        Path bad = Files.writeString(dir.resolve("bad.toml"), "worker = 3\n");
        Object[][] cases = {
            {0, "--help"},
            {0, "--version"},
            {0, "config check examples/config.json"},
            {0, "lab explain examples/lab/alumni-hosting.toml"},
            {2, "no-such-command"},
            {2, "lab run"},
            {2, "config check " + bad},
            {2, "lab run " + bad},
            {2, "lab explain " + bad},
            {2, "lab run examples/lab/alumni-hosting.toml --policy best"},
            {2, "lab run examples/lab/alumni-hosting.toml --seeds some"},
            {1, "lab run " + dir.resolve("none.toml")},
            {0, "generate-completion"},
            {0, "lab sweep examples/lab/alumni-hosting.toml --set load.share=0.2,0.3 --seeds 1"},
            {2, "lab sweep examples/lab/alumni-hosting.toml --set load.shar=0.2"},
            {2, "lab sweep examples/lab/alumni-hosting.toml --set load.share=much"},
            {2, "rig idle"},
            {2, "rig idle " + bad},
            {2, "rig idle examples/rig/idle.toml --workers many"},
            {2, "rig idle examples/rig/idle.toml --deploy " + bad},
            {2, "rig processes examples/rig/processes.toml --settle 80"},
            {1, "rig idle examples/rig/idle.toml --deploy " + dir.resolve("none.toml")},
            {2, "scale"},
            {2, "scale " + bad},
            {1, "scale " + dir.resolve("none.toml")},
            {2, "scale " + SMALL_SCENARIO + " --set fleet.dispatcher=4"},
            {2, "scale " + SMALL_SCENARIO + " --set fleet.dispatchers"},
            {2, "scale " + SMALL_SCENARIO + " --set fleet.dispatchers=4,many"},
            {0, "scale " + SMALL_SCENARIO + SHORT_RUN},
            {3, "scale " + SMALL_SCENARIO + SHORT_RUN + " --set limits.control_bytes_per_s=1"},
        };
        for (Object[] testCase : cases) {
            assertEquals(testCase[0], Main.execute(((String) testCase[1]).split(" ")), (String) testCase[1]);
        }
    }

    @Test
    void labRunWritesItsResultFile() throws Exception {
        assertEquals(
                0,
                Main.execute(
                        "lab",
                        "run",
                        "examples/lab/alumni-hosting.toml",
                        "--seeds",
                        "1,3",
                        "--out",
                        dir.toString(),
                        "--policy",
                        "two-choices",
                        "--threads",
                        "2"));
        String json = Files.readString(dir.resolve("result.json"));
        assertTrue(json.contains("\"policy\": \"two-choices\"") && json.contains("\"schema\": 1"), json);
    }

    /** Every combination of the values is in one file; errors in a scenario are reported with line and column. */
    @Test
    void aScaleSweepWritesOneResultFile() throws Exception {
        Path out = dir.resolve("scale.json");
        assertEquals(
                0,
                Main.execute(
                        "scale",
                        SMALL_SCENARIO,
                        "--set",
                        "fleet.dispatchers=2,4",
                        "--set",
                        "load.share=0.2,0.4",
                        "--set",
                        "length_s=2",
                        "--set",
                        "trouble[0].at_s=1",
                        "--seed",
                        "7",
                        "--out",
                        out.toString()));
        JSONObject json = new JSONObject(Files.readString(out));
        assertEquals(SMALL_SCENARIO, json.getString("scenario"));
        assertEquals(7, json.getInt("seed"));
        JSONArray plays = json.getJSONArray("plays");
        assertEquals(4, plays.length());
        assertEquals(4, plays.getJSONObject(2).getInt("dispatchers"));
        assertEquals("0.4", plays.getJSONObject(3).getJSONObject("set").getString("load.share"));
        assertTrue(plays.getJSONObject(3).getJSONObject("figures").getDouble("datagram_bytes_out_per_s") > 0);

        Path bad = Files.writeString(dir.resolve("limits.toml"), "[limits]\npick_us = 3\ncontrol_byte_per_s = 3\n");
        IllegalArgumentException wrong =
                assertThrows(IllegalArgumentException.class, () -> LabCommand.readScenario(bad, List.of()));
        assertTrue(
                wrong.getMessage().contains("limits.toml:3:1: limits.control_byte_per_s: is no key"),
                wrong.getMessage());
    }
}
