package saffronferry.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Forecasts from the result file of a sweep: exit codes, table and JSON. */
class ScaleFitCommandTest {
    @TempDir
    private Path dir;

    @Test
    void aSweepIsForecastAndTooFewSizesAreAnError() throws Exception {
        Path result = dir.resolve("sweep.json");
        String sweep = "lab sweep examples/lab/alumni-hosting.toml --set fleet.dispatchers=2,4,6 --set "
                + "fleet.workers=4,8,12 --set length_s=5,5,5 --seeds 1 --threads 1 --out " + result;
        assertEquals(0, Main.execute(sweep.split(" ")));
        JSONObject play =
                new JSONObject(Files.readString(result)).getJSONArray("plays").getJSONObject(2);
        assertEquals(6, play.getInt("dispatchers"));
        assertEquals(12, play.getInt("workers"));
        assertTrue(play.getJSONObject("figures").getDouble("decision_us_request") > 0);
        Path forecast = dir.resolve("fit.json");
        String fit = "scale-fit " + result + " --over workers --at 100 --out " + forecast + " --figure ";
        assertEquals(0, Main.execute((fit + "requests_per_s").split(" ")));
        JSONObject json = new JSONObject(Files.readString(forecast));
        assertEquals(4, json.getJSONArray("forms").length());
        assertEquals(12, json.getDouble("most"));
        assertEquals(2, Main.execute((fit + "requests_per_s --where workers=4").split(" ")));
        assertEquals(2, Main.execute((fit + "x").split(" ")));
        assertEquals(2, Main.execute((sweep + " --set load.share=0.3").split(" ")));
        assertEquals(1, Main.execute(("scale-fit none.json --figure f --over w --at 3").split(" ")));
    }

    @Test
    void theTableShowsTheBestFormAndTheExtrapolation() throws Exception {
        Path file = Files.writeString(dir.resolve("r.json"), """
                {"plays": [{"n": 1, "figures": {"f": 4}}, {"n": 2, "figures": {"f": 7}},
                {"n": 3, "figures": {"f": 12}}, {"n": 4, "figures": {"f": 19}}]}
                """);
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        CommandLine line = new CommandLine(new ScaleFitCommand())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err));
        assertEquals(0, line.execute(file.toString(), "--figure", "f", "--over", "n", "--at", "8"));
        assertTrue(out.toString().contains("2.0 times the largest"), out.toString());
        assertTrue(out.toString().contains("n squared fits better than a straight line"), out.toString());
        assertTrue(out.toString().matches("(?s).*n squared +3\\.0000 +1\\.0000 .* 67\\.000 .*best.*"), out.toString());
    }
}
