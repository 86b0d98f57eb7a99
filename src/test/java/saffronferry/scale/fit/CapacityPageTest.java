package saffronferry.scale.fit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/** Checks that the capacity page matches the committed result files, and that the check finds deviations. */
class CapacityPageTest {
    private static final Path PAGE = Path.of("docs/CAPACITY.md");
    private static final Path RESULTS = Path.of("docs/measurements/scale");
    private static final String RESULT = """
            {"plays": [{"n": 10, "figures": {"us": 12.04}}, {"n": 20, "figures": {"us": 21.9}},
             {"n": 40, "figures": {"us": 42.1}}, {"n": 80, "figures": {"us": 82}}]}
            """;
    private static final String SMALL = """
            | name | value | source | best form | measured over | stretch |
            | --- | --- | --- | --- | --- | --- |
            | `rate` | 6,900 | letter | | | |
            | `word` | 112 | `code Some.java MOST_WORD` | | | |
            | `at_10` | 12.0 | `r.json us @ n=10` | | | |
            | `at_160` | 162.0 ± 1.1 | `fit r.json us over n at 160` | line | 10 to 80 | stretched 2.0 times |

            | row | need | limit | ratio | from | range | mechanism |
            | --- | --- | --- | --- | --- | --- | --- |
            | near | 83,076 | `rate * 10` | 1.20 | `at_10 * rate` | measured | none |
            | far | 162.0 | `word` | 1.45 | `at_160` | stretched | none |
            | gangs | not carried | 128 | - | - | - | none |

            | rank | row | ratio |
            | --- | --- | --- |
            | 1 | far | 1.45 |
            | 2 | near | 1.20 |
            """;

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<String> wrong(String page, String result) {
        return new CapacityPage(
                        "p", page, name -> new ResultFile(name, result), file -> "static final int MOST_WORD = 1_12;")
                .errors();
    }

    @Test
    void pageMatchesTheResultFiles() {
        Map<String, ResultFile> read = new HashMap<>();
        Function<String, ResultFile> results =
                name -> read.computeIfAbsent(name, n -> new ResultFile(n, read(RESULTS.resolve(n))));
        CapacityPage page = new CapacityPage(PAGE.toString(), read(PAGE), results, file -> read(Path.of(file)));
        List<String> wrong = page.errors();
        assertEquals("", String.join("\n", wrong));
        // fails if a change of the page keeps its tables from being recognised
        assertTrue(page.figures() >= 100 && page.rows() >= 30, page.figures() + " figures, " + page.rows() + " rows");
    }

    @Test
    void correctPageHasNoErrors() {
        assertEquals(List.of(), wrong(SMALL, RESULT));
    }

    /** Each single deviation is reported with its line. */
    @Test
    void changedFigureIsReported() {
        String[][] changes = {
            {"| 12.0 |", "| 12.1 |", "p line 5: at_10: says 12.1, is 12.0 (12.04)"},
            {"| 162.0 ±", "| 162.1 ±", "p line 6: at_160: says 162.1, is 162.0"},
            {"± 1.1", "± 1.2", "p line 6: at_160 half width: says 1.2, is 1.1"},
            {"| line |", "| n log n |", "p line 6: at_160 best form: says n log n, is line"},
            {"10 to 80", "10 to 90", "p line 6: at_160 measured over: says 10 to 90, is 10 to 80"},
            {"2.0 times", "2.1 times", "p line 6: at_160 stretch: says stretched 2.1 times, is"},
            {"| 112 |", "| 113 |", "p line 4: word: says 113, is 112 (112.0)"},
            {"83,076", "83,077", "p line 10: near need: says 83,077, is 83076 (83076.0)"},
            {"`rate * 10` | 1.20", "`rate * 10` | 1.21", "p line 10: near ratio: says 1.21, is 1.20"},
            {"| `at_160` | stretched |", "| `at_160` | measured |", "p line 11: far: range says measured"},
            {"`at_10 * rate`", "`at_11 * rate`", "p line 10: near: at_11 is no figure above"},
            {"| 1 | far | 1.45 |", "| 1 | near | 1.20 |", "p line 16: rank 1 is far, not near"},
        };
        for (String[] change : changes) {
            assertTrue(SMALL.contains(change[0]), change[0]);
            List<String> wrong = wrong(SMALL.replace(change[0], change[1]), RESULT);
            assertTrue(!wrong.isEmpty() && wrong.get(0).startsWith(change[2]), change[0] + ": " + wrong);
        }
    }

    @Test
    void changedResultIsReported() {
        assertTrue(wrong(SMALL, RESULT.replace("12.04", "12.06")).get(0).startsWith("p line 5: at_10: says 12.0"));
        assertTrue(wrong(SMALL, RESULT.replace("82}", "89}")).get(0).startsWith("p line 6: at_160: says 162.0"));
    }

    @Test
    void invalidFigureIsReported() {
        assertEquals(
                "p line 5: r.json: plays: none with {n=11}",
                wrong(SMALL.replace("n=10`", "n=11`"), RESULT).get(0));
        assertEquals(
                "p line 3: rate: source hearsay is neither a result's, the code's, the letter's nor " + "assumed",
                wrong(SMALL.replace("letter", "hearsay"), RESULT).get(0));
        assertEquals(
                "p line 12: gangs ratio: says 0, is -",
                wrong(SMALL.replace("128 | - |", "128 | 0 |"), RESULT).get(0));
    }
}
