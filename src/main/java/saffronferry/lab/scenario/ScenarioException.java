package saffronferry.lab.scenario;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown for an invalid scenario; carries all its problems. */
public final class ScenarioException extends Exception {
    private static final long serialVersionUID = 1;
    private final transient List<Problem> problems;

    public ScenarioException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    public List<Problem> problems() {
        return problems;
    }
}
