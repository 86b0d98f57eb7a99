package saffronferry.scale.fit;

import com.ezylang.evalex.EvaluationException;
import com.ezylang.evalex.Expression;
import com.ezylang.evalex.parser.ParseException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the tables of a page against the result files. Each figure of a table with the columns name, value and
 * source is looked up or fitted again. Each row of a table with need, limit, ratio and from is computed again
 * from the figures. A table with row, ratio and rank lists the worst rows in order. Each deviation is reported
 * with its line.
 */
final class CapacityPage {
    private static final Pattern CODE = Pattern.compile("`code (\\S+\\.java) (\\w+)`");
    private static final Pattern NAME = Pattern.compile("[a-z]\\w*");
    private static final String NOT_MEASURED = "not measured";

    private final String page;
    private final String text;
    private final Function<String, ResultFile> results;
    private final Function<String, String> code;
    private final List<String> errors = new ArrayList<>();
    private final Map<String, Double> values = new LinkedHashMap<>();
    private final Set<String> stretched = new LinkedHashSet<>();
    private final Map<String, String> ratios = new LinkedHashMap<>();
    private int line;

    /** {@code results} and {@code code} read the files that the page names. */
    CapacityPage(String page, String text, Function<String, ResultFile> results, Function<String, String> code) {
        this.page = page;
        this.text = text;
        this.results = results;
        this.code = code;
    }

    /** Checks the page and returns its errors, one line each. */
    List<String> errors() {
        List<String> header = List.of();
        List<Map<String, String>> worst = new ArrayList<>();
        String[] lines = text.split("\n", -1);
        for (line = 1; line <= lines.length; line++) {
            String l = lines[line - 1].trim();
            if (!l.startsWith("|")) {
                header = List.of();
                continue;
            }
            List<String> cells = cells(l);
            if (header.isEmpty()) {
                header = cells;
            } else if (!cells.get(0).startsWith("---")) {
                try {
                    checkRow(header, cells, worst);
                } catch (IllegalArgumentException e) {
                    report(e.getMessage());
                }
            }
        }
        checkWorst(worst);
        return errors;
    }

    int figures() {
        return values.size();
    }

    int rows() {
        return ratios.size();
    }

    private static List<String> cells(String line) {
        List<String> cells = new ArrayList<>();
        for (String cell : line.substring(1, line.length() - 1).split("\\|", -1)) {
            cells.add(cell.trim());
        }
        return cells;
    }

    private void checkRow(List<String> header, List<String> cells, List<Map<String, String>> worst) {
        if (cells.size() != header.size()) {
            throw new IllegalArgumentException(cells.size() + " cells under " + header.size() + " headings");
        }
        Map<String, String> row = new HashMap<>();
        for (int i = 0; i < cells.size(); i++) {
            row.put(header.get(i), cells.get(i));
        }
        if (header.containsAll(List.of("name", "value", "source"))) {
            figure(row);
        } else if (header.containsAll(List.of("row", "need", "limit", "ratio", "from", "range"))) {
            row(row);
        } else if (header.containsAll(List.of("rank", "row", "ratio"))) {
            row.put("line", Integer.toString(line));
            worst.add(row);
        }
    }

    // ---- figures ----

    private void figure(Map<String, String> row) {
        String name = unquoted(row.get("name"));
        String[] value = row.get("value").split(" ± ");
        String source = row.get("source");
        if (!NAME.matcher(name).matches() || values.containsKey(name)) {
            throw new IllegalArgumentException(name + ": no name, or one that is taken");
        }
        Matcher inCode = CODE.matcher(source);
        if (inCode.matches()) {
            values.put(name, constant(inCode.group(1), inCode.group(2)));
            expectNumber(name, value[0], values.get(name));
        } else if (source.startsWith("`")) {
            FigureSource from = FigureSource.parse(unquoted(source));
            values.put(name, from.value(results));
            expectNumber(name, value[0], values.get(name));
            if (from.isFit()) {
                fit(name, row, value, from);
            }
        } else if (source.startsWith("letter") || source.startsWith("assumed")) {
            values.put(name, number(value[0]).doubleValue());
        } else {
            throw new IllegalArgumentException(
                    name + ": source " + source + " is neither a result's, the code's, the letter's nor assumed");
        }
    }

    private void fit(String name, Map<String, String> row, String[] value, FigureSource from) {
        ModelComparison all = from.comparison(results);
        Fit fit = all.fit(from.model());
        expect(name + " best form", row.get("best form"), all.best().model().label());
        expect(
                name + " measured over",
                row.get("measured over"),
                plain(fit.smallestSize()) + " to " + plain(fit.largestSize()));
        if (from.size() > fit.largestSize()) {
            stretched.add(name);
        }
        if (from.size() != 0) {
            String far = from.size() > fit.largestSize()
                    ? "stretched " + new BigDecimal(from.size() / fit.largestSize()).setScale(1, RoundingMode.HALF_UP)
                            + " times"
                    : "within";
            expect(name + " stretch", row.get("stretch"), far);
            if (value.length != 2) {
                throw new IllegalArgumentException(name + ": a forecast has its half width, as 3 ± 1");
            }
            expectNumber(name + " half width", value[1], fit.predictionHalfWidth(from.size()));
        }
    }

    private double constant(String file, String name) {
        Matcher m = Pattern.compile("\\b" + name + " = ([\\d_.]+)").matcher(code.apply(file));
        if (!m.find()) {
            throw new IllegalArgumentException(file + " has no " + name);
        }
        return Double.parseDouble(m.group(1).replace("_", ""));
    }

    // ---- rows ----

    private void row(Map<String, String> row) {
        String name = row.get("row");
        String from = unquoted(row.get("from"));
        if (row.get("need").equals(NOT_MEASURED) || row.get("need").equals("not carried")) {
            expect(name + " from", from, "-");
            expect(name + " ratio", row.get("ratio"), "-");
            return;
        }
        double need = evaluate(name, from);
        expectNumber(name + " need", row.get("need"), need);
        boolean far = names(from).stream().anyMatch(stretched::contains);
        if (far != row.get("range").startsWith("stretched")) {
            report(name + ": range says " + row.get("range") + ", but "
                    + (far ? "a figure of it is stretched" : "none of its figures is"));
        }
        String limit = unquoted(row.get("limit"));
        if (limit.equals("none") || limit.equals("not stated")) {
            expect(name + " ratio", row.get("ratio"), "-");
        } else {
            double most = names(limit).isEmpty() ? number(limit).doubleValue() : evaluate(name, limit);
            expectNumber(name + " ratio", row.get("ratio"), need / most);
            if (ratios.put(name, row.get("ratio")) != null) {
                report(name + ": a second row of that name");
            }
        }
    }

    private double evaluate(String name, String formula) {
        for (String each : names(formula)) {
            if (!values.containsKey(each)) {
                throw new IllegalArgumentException(name + ": " + each + " is no figure above");
            }
        }
        try {
            return new Expression(formula)
                    .withValues(values)
                    .evaluate()
                    .getNumberValue()
                    .doubleValue();
        } catch (EvaluationException | ParseException e) {
            throw new IllegalArgumentException(name + ": " + formula + ": " + e.getMessage());
        }
    }

    private static Set<String> names(String formula) {
        Set<String> names = new LinkedHashSet<>();
        Matcher m = Pattern.compile("\\b[a-z]\\w*\\b(?!\\()").matcher(formula);
        while (m.find()) {
            names.add(m.group());
        }
        return names;
    }

    // ---- ranking of the worst rows ----

    private void checkWorst(List<Map<String, String>> worst) {
        List<String> inOrder = ratios.entrySet().stream()
                .sorted((a, b) -> number(b.getValue()).compareTo(number(a.getValue())))
                .map(Map.Entry::getKey)
                .limit(worst.size())
                .toList();
        for (int i = 0; i < worst.size(); i++) {
            Map<String, String> row = worst.get(i);
            line = Integer.parseInt(row.get("line"));
            expect("rank", row.get("rank"), Integer.toString(i + 1));
            String ratio = ratios.getOrDefault(row.get("row"), "");
            if (i < inOrder.size() && !ratio.equals(ratios.get(inOrder.get(i)))) {
                report("rank " + (i + 1) + " is " + inOrder.get(i) + ", not " + row.get("row"));
            }
            expect("ratio of " + row.get("row"), row.get("ratio"), ratios.get(row.get("row")));
        }
    }

    // ---- comparison of stated and computed values ----

    private static String unquoted(String cell) {
        return cell.replace("`", "");
    }

    private static BigDecimal number(String stated) {
        try {
            return new BigDecimal(stated.replace(",", ""));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("expected a number, got " + stated);
        }
    }

    /** Compares at the number of decimals that the page states. */
    private void expectNumber(String what, String stated, double computed) {
        BigDecimal number = number(stated);
        BigDecimal rounded = new BigDecimal(computed).setScale(Math.max(0, number.scale()), RoundingMode.HALF_UP);
        if (number.compareTo(rounded) != 0) {
            report(what + ": says " + stated + ", is " + rounded.toPlainString() + " (" + (float) computed + ")");
        }
    }

    private void expect(String what, String stated, String computed) {
        if (!String.valueOf(computed).equals(stated)) {
            report(what + ": says " + stated + ", is " + computed);
        }
    }

    private static String plain(double size) {
        String plain = new BigDecimal(size)
                .setScale(size == Math.rint(size) ? 0 : 2, RoundingMode.HALF_UP)
                .toPlainString();
        return plain.contains(".") ? plain : String.format(Locale.ROOT, "%,d", Long.parseLong(plain));
    }

    private void report(String what) {
        errors.add(page + " line " + line + ": " + what);
    }
}
