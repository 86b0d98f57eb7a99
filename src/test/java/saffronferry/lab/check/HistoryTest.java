package saffronferry.lab.check;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the four rules on recorded histories and on histories of the real code under random load. */
class HistoryTest {
    private static final Path HISTORIES = Path.of("src/test/histories");

    private static String text(String name) throws IOException {
        return Files.readString(HISTORIES.resolve(name + ".history"));
    }

    private static String header(String text) {
        return text.substring(0, text.indexOf("\n---\n") + 5);
    }

    /** Each history violates the named rule; the real code with the same inputs violates none. */
    @ParameterizedTest
    @CsvSource({
        "lost,lost",
        "late,lost",
        "answers,answers",
        "invented,invented",
        "duplicate,duplicate",
        "refused-after-run,duplicate",
        "once-again,duplicate",
        "tries,tries",
        "drain,drain",
        "missing,drain",
        "unlisted,unlisted",
        "cold,cold",
        "ban,ban"
    })
    void eachRecordedViolationIsDetectedAndTheRealCodeAvoidsIt(String name, String rule) throws IOException {
        History.Verdict verdict = new History(name + ".history", text(name)).judge();
        assertTrue(verdict.violationCount() > 0, "not rejected");
        assertEquals(rule, verdict.violations().get(0).rule(), verdict.toString());

        History recorded = new History(name + ".history", text(name));
        RecordingSimulation simulation = new RecordingSimulation(recorded.scenario, 1);
        simulation.replay(recorded);
        History.Verdict real = new History(name + " replayed", header(text(name)) + simulation.output()).judge();
        assertEquals(List.of(), real.violations(), simulation.output());
    }

    /** Every history file is listed above. */
    @Test
    void allHistoryFilesAreCovered() throws IOException {
        try (var files = Files.list(HISTORIES)) {
            assertEquals(
                    13, files.filter(f -> f.toString().endsWith(".history")).count());
        }
    }

    /** The real code violates no rule under random load, with enough checks and outcomes to be meaningful. */
    @Test
    void realDispatchersViolateNoRuleUnderRandomLoad() throws IOException {
        String header = header(text("lost"));
        TreeMap<String, Long> seen = new TreeMap<>();
        int checkCount = 0;
        for (long seed = 1; seed <= 30; seed++) {
            RecordingSimulation simulation = new RecordingSimulation(new History("seeded", header).scenario, seed);
            simulation.runRandomLoad(2, 8, 10 + 5 * (seed % 7), 40);
            History.Verdict verdict = new History("seed " + seed, header + simulation.output()).judge();
            assertEquals(List.of(), verdict.violations(), "seed " + seed);
            checkCount += verdict.checkCount();
            simulation
                    .output()
                    .lines()
                    .map(l -> l.split(" "))
                    .forEach(p -> seen.merge(
                            p[1].equals("answer") ? p[4] : p[1].equals("worker") ? p[5] : p[1], 1L, Long::sum));
        }
        assertTrue(checkCount > 30_000, checkCount + " judged");
        for (String what : List.of(
                "served",
                "refused",
                "failed",
                "FULL",
                "ERROR",
                "RESET",
                "CONNECT_FAILED",
                "gone",
                "list",
                "capacity",
                "ban",
                "back")) {
            assertTrue(seen.getOrDefault(what, 0L) > 50, what + ": " + seen);
        }
    }

    @Test
    void equalSeedsGiveEqualHistories() throws IOException {
        String header = header(text("lost"));
        RecordingSimulation one = new RecordingSimulation(new History("seeded", header).scenario, 7);
        RecordingSimulation two = new RecordingSimulation(new History("seeded", header).scenario, 7);
        one.runRandomLoad(2, 8, 20, 10);
        two.runRandomLoad(2, 8, 20, 10);
        assertEquals(one.output(), two.output());
    }

    /** A checker that has checked nothing must not report success. */
    @Test
    void aHistoryWithoutAnyCheckIsAnError() throws IOException {
        for (String lines : List.of(
                "",
                "0 list 0 whole a=IN_SERVICE@dub-north/1\n1 end\n",
                "1 request 0 1 directory-page 2 0.4\n2 end\n")) {
            History h = new History("empty.history", header(text("lost")) + lines);
            assertThrows(IllegalArgumentException.class, h::judge, lines);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "soon end",
                "1 nonsense",
                "1",
                "1 request 0 1 no-such-class 2 0.4",
                "1 request 0 x page 2 1",
                "1 worker 0 1 0 PERHAPS",
                "1 answer 0 1 maybe",
                "1 list 0 half",
                "1 list 0 whole a",
                "1 request 0",
                "1 list 0 whole a=ILL@dub-north/1",
                "1 list 0 whole a=GONE@nowhere/1",
                "1 end\n0 end"
            })
    void malformedLinesAreReportedWithFileAndLine(String lines) throws IOException {
        String header = header(text("lost"));
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class,
                () -> new History("bad.history", header + "0 list 0 whole\n" + lines + "\n").judge());
        long line = header.lines().count() + 1 + lines.lines().count();
        assertTrue(e.getMessage().startsWith("bad.history:" + line + ": "), e.getMessage());
    }

    @Test
    void unreadableScenariosAreReportedWithFileAndLine() {
        assertTrue(assertThrows(IllegalArgumentException.class, () -> new History("x.history", "1 end\n"))
                .getMessage()
                .startsWith("x.history:1: "));
        assertTrue(assertThrows(
                        IllegalArgumentException.class, () -> new History("x.history", "[fleet]\nworkers = 0\n---\n"))
                .getMessage()
                .contains("x.history:2:"));
    }
}
