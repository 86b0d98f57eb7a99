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

/** The brief's four rules, judged by what crosses the wires: recorded histories, and seeded ones of the real code. */
class HistoryTest {
    private static final Path FOLDER = Path.of("src/test/histories");

    private static String text(String name) throws IOException {
        return Files.readString(FOLDER.resolve(name + ".history"));
    }

    private static String header(String text) {
        return text.substring(0, text.indexOf("\n---\n") + 5);
    }

    /** Each history is rejected by its rule's name; the real code, met by the same events, is not. */
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
    void theHistoryIsRejectedByName(String name, String rule) throws IOException {
        History.Verdict verdict = new History(name + ".history", text(name)).judge();
        assertTrue(verdict.count() > 0, "not rejected");
        assertEquals(rule, verdict.broken().get(0).rule(), verdict.toString());

        History recorded = new History(name + ".history", text(name));
        Stage stage = new Stage(recorded.scenario, 1);
        stage.replay(recorded);
        History.Verdict real = new History(name + " replayed", header(text(name)) + stage.written()).judge();
        assertEquals(List.of(), real.broken(), stage.written());
    }

    /** Every history in the folder is named above. */
    @Test
    void noHistoryIsLeftOut() throws IOException {
        try (var files = Files.list(FOLDER)) {
            assertEquals(
                    13, files.filter(f -> f.toString().endsWith(".history")).count());
        }
    }

    /** Seeded days of the real ledgers and balancers: no rule breaks, and enough is judged to prove it. */
    @Test
    void theRealCodeKeepsTheRulesOnSeededDays() throws IOException {
        String header = header(text("lost"));
        TreeMap<String, Long> seen = new TreeMap<>();
        int judged = 0;
        for (long seed = 1; seed <= 30; seed++) {
            Stage stage = new Stage(new History("seeded", header).scenario, seed);
            stage.day(2, 8, 10 + 5 * (seed % 7), 40);
            History.Verdict verdict = new History("seed " + seed, header + stage.written()).judge();
            assertEquals(List.of(), verdict.broken(), "seed " + seed);
            judged += verdict.judged();
            stage.written()
                    .lines()
                    .map(l -> l.split(" "))
                    .forEach(p -> seen.merge(
                            p[1].equals("answer") ? p[4] : p[1].equals("worker") ? p[5] : p[1], 1L, Long::sum));
        }
        assertTrue(judged > 30_000, judged + " judged");
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
        Stage one = new Stage(new History("seeded", header).scenario, 7);
        Stage two = new Stage(new History("seeded", header).scenario, 7);
        one.day(2, 8, 20, 10);
        two.day(2, 8, 20, 10);
        assertEquals(one.written(), two.written());
    }

    /** Guards against a checker that is content because it saw nothing. */
    @Test
    void aHistoryInWhichNothingWasJudgedIsAnError() throws IOException {
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
    void whatIsMalformedIsNamedByFileAndLine(String lines) throws IOException {
        String header = header(text("lost"));
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class,
                () -> new History("bad.history", header + "0 list 0 whole\n" + lines + "\n").judge());
        long line = header.lines().count() + 1 + lines.lines().count();
        assertTrue(e.getMessage().startsWith("bad.history:" + line + ": "), e.getMessage());
    }

    @Test
    void aScenarioThatCannotBeReadIsNamedToo() {
        assertTrue(assertThrows(IllegalArgumentException.class, () -> new History("x.history", "1 end\n"))
                .getMessage()
                .startsWith("x.history:1: "));
        assertTrue(assertThrows(
                        IllegalArgumentException.class, () -> new History("x.history", "[fleet]\nworkers = 0\n---\n"))
                .getMessage()
                .contains("x.history:2:"));
    }
}
