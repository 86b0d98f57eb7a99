package saffronferry.rig;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.Map;
import org.json.JSONObject;
import org.junit.Test;
import saffronferry.lab.scenario.ScenarioReader;

/** Measures the resource usage of one real dispatcher that receives worker list changes and no requests. */
public class IdleDispatcherTest {
    /** Checks that all figures are present and plausible; limits are checked by the command. */
    @Test
    public void idleDispatcherIsMeasuredAndNoProcessIsLeft() throws Exception {
        long before = ProcessHandle.current().children().count();
        JSONObject result = IdleDispatcher.run(
                ScenarioReader.parse("small.toml", """
                length_s = 2
                [fleet]
                zones = ["a", "b"]
                workers = 30
                """), 1, new IdleDispatcher.Options(null, 10, 0.1));
        assertEquals(before, ProcessHandle.current().children().count());
        JSONObject figures = result.getJSONObject("figures");
        assertEquals(result.toString(), 30, result.getInt("workers"));
        assertTrue("the list changed during the measurement: " + figures, figures.getInt("list_changes") > 0);
        assertTrue(
                "the bytes of the changes are counted: " + figures,
                figures.getLong("list_bytes_in") > 100 * figures.getInt("list_changes"));
        assertTrue(
                "30 entries, or 31 while one drains: " + figures,
                figures.getLong("list_whole_bytes") > 3_000 && figures.getLong("list_whole_bytes") < 6_000);
        assertTrue(
                "CPU usage is positive and at most 8 cores: " + figures,
                figures.getDouble("core_percent") > 0 && figures.getDouble("core_percent") < 800);
        assertTrue("CPU usage of the event loop is reported: " + figures, figures.getDouble("core_percent_loop") > 0);
        assertTrue(
                "memory is plausible for a JVM: " + figures,
                figures.getDouble("resident_mb") > 20
                        && figures.getDouble("resident_mb") <= figures.getDouble("resident_peak_mb"));
        assertTrue("its timer wakes it: " + figures, figures.getDouble("wake_ups_per_s") > 1);
    }

    @Test
    public void processUsageIsReadFromProc() throws Exception {
        ProcessUsage first = ProcessUsage.of(ProcessHandle.current().pid());
        long work = 0;
        ProcessUsage last = first;
        while (last.cpuTicks() - first.cpuTicks() < 5) { // of 10 ms each
            for (int i = 0; i < 1_000_000; i++) {
                work += i * work;
            }
            last = ProcessUsage.of(ProcessHandle.current().pid());
        }
        assertTrue("result of the busy loop: " + work, last.corePercent(first, 0.05) >= 100 - 1e-6);
        assertTrue(last.corePercentByThread(first, 0.05).values().stream()
                        .mapToDouble(p -> p)
                        .sum()
                > 50);
        assertTrue(last.residentMb() > 10 && last.peakMb() >= last.residentMb());
        assertThrows(IOException.class, () -> ProcessUsage.of(Long.MAX_VALUE));
    }

    @Test
    public void onlyControlMetricsAreReadFromTheConsole() {
        assertEquals(Map.of("console_bytes_list_in", 12.0, "console_core_seconds", 0.25), ControlMetrics.parse("""
                # HELP app_control_bytes x
                app_responses{kind="a",result="ok"} 3
                app_control_bytes{kind="list",way="in"} 12
                app_control_core_seconds 0.250
                """));
        assertEquals(Map.of(), ControlMetrics.parse(""));
    }
}
