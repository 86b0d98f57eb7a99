package saffronferry.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command line's exit codes, and what it leaves. */
class MainTest {
    @TempDir
    private Path dir;

    @Test
    void exitCodesSayHowItWent() throws Exception {
        Path bad = Files.writeString(dir.resolve("bad.toml"), "worker = 3\n");
        Object[][] cases = {
            {0, "--help"}, {0, "--version"}, {0, "config check examples/config.json"},
            {0, "lab explain examples/lab/alumni-hosting.toml"}, {2, "no-such-command"}, {2, "lab run"},
            {2, "config check " + bad}, {2, "lab run " + bad}, {2, "lab explain " + bad},
            {2, "lab run examples/lab/alumni-hosting.toml --policy best"},
            {2, "lab run examples/lab/alumni-hosting.toml --seeds some"}, {1, "lab run " + dir.resolve("none.toml")},
            {0, "generate-completion"},
            {0, "lab sweep examples/lab/alumni-hosting.toml --set load.share=0.2,0.3 --seeds 1"},
            {2, "lab sweep examples/lab/alumni-hosting.toml --set load.shar=0.2"},
            {2, "lab sweep examples/lab/alumni-hosting.toml --set load.share=much"},
            {2, "rig idle"}, {2, "rig idle " + bad}, {2, "rig idle examples/rig/idle.toml --workers many"},
            {2, "rig idle examples/rig/idle.toml --deploy " + bad},
            {2, "rig processes examples/rig/processes.toml --settle 80"},
            {1, "rig idle examples/rig/idle.toml --deploy " + dir.resolve("none.toml")},
        };
        for (Object[] c : cases) {
            assertEquals(c[0], Main.execute(((String) c[1]).split(" ")), (String) c[1]);
        }
    }

    @Test
    void aRunLeavesItsResult() throws Exception {
        assertEquals(0, Main.execute("lab", "run", "examples/lab/alumni-hosting.toml", "--seeds", "1,3", "--out",
                dir.toString(), "--policy", "two-choices", "--threads", "2"));
        String json = Files.readString(dir.resolve("result.json"));
        assertTrue(json.contains("\"policy\": \"two-choices\"") && json.contains("\"schema\": 1"), json);
    }
}
