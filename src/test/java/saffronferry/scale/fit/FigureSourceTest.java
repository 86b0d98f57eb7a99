package saffronferry.scale.fit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** Parsing of result files and figure sources, and error messages with file and key. */
class FigureSourceTest {
    private static final String RESULT = """
            {"scenario": "s", "seed": 1, "plays": [
             {"workers": 100, "zones": 2, "figures": {"pick_us": 1.0, "who": "a"}},
             {"workers": 200, "zones": 2, "figures": {"pick_us": 2.0}},
             {"workers": 300, "zones": 2, "figures": {"pick_us": 3.0}},
             {"workers": 300, "zones": 2, "figures": {"pick_us": 5.0}},
             {"workers": 300, "zones": 9, "set": {"network.loss": "0.2"}, "figures": {"pick_us": 70.0}}]}
            """;

    private static double value(String source) {
        return FigureSource.parse(source).value(name -> new ResultFile(name, RESULT));
    }

    @Test
    void runsMeansFitsAndSlopesAreComputed() {
        assertEquals(1, value("r.json pick_us @ workers=100"));
        assertEquals(4, value("r.json pick_us @ workers=300, zones=2"));
        assertEquals(70, value("r.json pick_us @ network.loss=0.20"));
        assertEquals(425 / 27500.0, value("slope r.json pick_us over workers @ zones=2"), 1e-12);
        assertEquals(2.75 + 425 / 27500.0 * 775, value("fit r.json pick_us over workers at 1000 @ zones=2"), 1e-9);
        assertEquals(2.75, value("fit r.json pick_us over workers at 1000 by constant @ zones=2"), 1e-9);
        assertTrue(value("half r.json pick_us over workers at 1000 @ zones=2") > 0);
    }

    @Test
    void errorsNameFileAndKey() {
        Map<String, String> wrong = Map.of(
                "r.json pick_ms @ workers=100", "r.json: plays[0]: pick_ms: expected a number, got null",
                "r.json pick_us @ workers=7", "r.json: plays: none with {workers=7}",
                "r.json who @ workers=100", "r.json: plays[0]: who: expected a number, got a",
                "fit r.json pick_us over size at 3", "r.json: plays[0]: size: expected a number, got null",
                "r.json pick_us @ workers", "expected KEY=VALUE, got workers");
        wrong.forEach((source, message) -> assertEquals(
                message,
                assertThrows(IllegalArgumentException.class, () -> value(source))
                        .getMessage(),
                source));
        for (String bad :
                new String[] {"r.json", "fit r.json pick_us over workers", "6.7", "slope r.json a over b at 3"}) {
            assertTrue(
                    assertThrows(IllegalArgumentException.class, () -> FigureSource.parse(bad))
                            .getMessage()
                            .startsWith("expected FILE FIGURE @ KEY=VALUE"),
                    bad);
        }
    }

    @Test
    void invalidFileIsReportedWithLineOrKey() {
        assertTrue(assertThrows(IllegalArgumentException.class, () -> new ResultFile("r.json", "{\n\"plays\": [}"))
                .getMessage()
                .matches("r\\.json: .*line 2.*"));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> new ResultFile("r.json", "{}"))
                .getMessage()
                .matches("r\\.json: .*\"plays\".*"));
        ResultFile none = new ResultFile("r.json", "{\"plays\": [{\"workers\": 3}]}");
        assertEquals(
                "r.json: plays[0].figures: expected an object",
                assertThrows(IllegalArgumentException.class, () -> none.mean("pick_us", Map.of()))
                        .getMessage());
    }
}
