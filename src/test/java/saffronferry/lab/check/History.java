package saffronferry.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.lab.check.RuleChecker.Id;
import saffronferry.lab.scenario.Scenario;
import saffronferry.lab.scenario.ScenarioException;
import saffronferry.lab.scenario.ScenarioReader;

/**
 * A recorded history, one event per line: messages between clients and dispatchers and between dispatchers and
 * workers, and lists from discovery. It begins with a scenario in TOML that defines the rules, ended by a line of
 * three dashes. Each event starts with the time in seconds; D is a dispatcher, R its RPC and A the number of the
 * attempt:
 *
 * <pre>
 *   T list D whole|changes WORKER=STATE@ZONE/CELL[+STARTED] ...
 *   T request D R CLASS VALID_S WORK_S
 *   T reaches D R WORKER            T worker D R A OUTCOME
 *   T answer D R served|refused|failed
 *   T gone D R                      T dies D
 *   T ban D WORKER                  T back D WORKER
 *   T capacity WORKER PER_S         T end
 * </pre>
 */
final class History {
    /** The result of the rule checker. */
    record Verdict(List<RuleChecker.Violation> violations, int violationCount, int checkCount) {}

    /** A parsed line. */
    record Line(String file, int number, long at, String event, List<String> parts) {
        IllegalArgumentException malformed(String why) {
            return new IllegalArgumentException(file + ":" + number + ": " + why);
        }

        String text(int i) {
            if (i >= parts.size()) {
                throw malformed(event + " lacks field " + (i + 1));
            }
            return parts.get(i);
        }

        int whole(int i) {
            try {
                return Integer.parseInt(text(i));
            } catch (NumberFormatException e) {
                throw malformed("expected a whole number, got " + text(i));
            }
        }

        long micros(int i) {
            return micros(text(i));
        }

        private long micros(String text) {
            try {
                return Math.round(Double.parseDouble(text) * 1e6);
            } catch (NumberFormatException e) {
                throw malformed("expected seconds, got " + text);
            }
        }

        <E extends Enum<E>> E oneOf(Class<E> names, String text) {
            try {
                return Enum.valueOf(names, text);
            } catch (IllegalArgumentException e) {
                throw malformed("expected one of " + List.of(names.getEnumConstants()) + ", got " + text);
            }
        }

        /** Parses the workers of a list. */
        List<WorkerInfo> workers(Scenario s) {
            List<WorkerInfo> all = new ArrayList<>();
            for (String part : parts.subList(2, parts.size())) {
                String[] p = part.split("[=@/+]");
                if (p.length < 4 || s.zones().indexOf(p[2]) < 0) {
                    throw malformed("expected WORKER=STATE@ZONE/CELL, got " + part);
                }
                all.add(new WorkerInfo(
                        p[0],
                        oneOf(WorkerState.class, p[1]),
                        0,
                        s.zones().indexOf(p[2]),
                        p.length > 4 ? micros(p[4]) : 0,
                        (int) (micros(p[3]) / 1_000_000)));
            }
            return all;
        }
    }

    private record Open(Id id, long due, double work) {}

    final Scenario scenario;
    final List<Line> lines = new ArrayList<>();
    private final RuleChecker checker;
    private final Map<Integer, Integer> incarnations = new HashMap<>();
    private final Map<Id, Open> open = new LinkedHashMap<>();
    private final Map<String, WorkerInfo> workers = new HashMap<>();
    private final Map<Integer, Map<String, WorkerInfo>> lists = new HashMap<>();
    private final Map<String, Double> capacities = new HashMap<>();

    History(String file, String text) {
        int dashes = text.indexOf("\n---\n");
        if (dashes < 0) {
            throw new IllegalArgumentException(file + ":1: no line of three dashes ends the scenario");
        }
        try {
            scenario = ScenarioReader.parse(file, text.substring(0, dashes + 1));
        } catch (ScenarioException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
        checker = new RuleChecker(scenario);
        int number = (int) text.substring(0, dashes + 5).lines().count();
        long last = Long.MIN_VALUE;
        for (String line : text.substring(dashes + 5).lines().toList()) {
            number++;
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            List<String> parts = List.of(line.trim().split("\\s+"));
            Line bare = new Line(file, number, 0, parts.get(0), parts);
            Line l = new Line(file, number, bare.micros(0), bare.text(1), parts.subList(2, parts.size()));
            if (l.at < last) {
                throw l.malformed("its time is before that of the line above");
            }
            last = l.at;
            lines.add(l);
        }
    }

    /** Checks all lines. A history in which nothing was checked is an error. */
    Verdict judge() {
        lines.forEach(line -> {
            reportPassedDeadlines(line.at);
            apply(line);
        });
        if (checker.checkCount() == 0) {
            throw new IllegalArgumentException(
                    lines.isEmpty() ? "the history has no events" : lines.get(0).file + ": no event was checked");
        }
        return new Verdict(checker.violations(), checker.violationCount(), checker.checkCount());
    }

    private void reportPassedDeadlines(long now) {
        for (Open o : List.copyOf(open.values())) {
            if (o.due < now) {
                checker.deadlinePassed(o.due, o.id);
                open.remove(o.id);
            }
        }
    }

    private Id id(Line l) {
        return new Id(l.whole(0), incarnations.getOrDefault(l.whole(0), 0), l.whole(1));
    }

    private void apply(Line l) {
        switch (l.event) {
            case "list" -> list(l);
            case "request" -> request(l);
            case "reaches" -> reaches(l);
            case "worker" -> checker.attemptEnded(l.at, id(l), l.whole(2), l.oneOf(Outcome.class, l.text(3)));
            case "answer" -> {
                if (!List.of("served", "refused", "failed").contains(l.text(2))) {
                    throw l.malformed("unknown answer " + l.text(2));
                }
                checker.requestCompleted(l.at, id(l), l.text(2), "refused".equals(l.text(2)));
            }
            case "gone" -> checker.clientGone(id(l));
            case "ban" -> checker.workerBanned(l.at, l.whole(0), l.text(1));
            case "back" -> checker.banLifted(l.whole(0), l.text(1));
            case "dies" -> {
                checker.dispatcherStopped(l.whole(0));
                incarnations.merge(l.whole(0), 1, Integer::sum);
                open.keySet().removeIf(id -> id.dispatcher() == l.whole(0));
            }
            case "capacity" -> capacities.put(l.text(0), l.micros(1) / 1e6);
            case "end" -> {}
            default -> throw l.malformed("unknown event " + l.event);
        }
    }

    private void list(Line l) {
        boolean whole = switch (l.text(1)) {
            case "whole" -> true;
            case "changes" -> false;
            default -> throw l.malformed("a list is whole or changes, not " + l.text(1));
        };
        List<WorkerInfo> all = l.workers(scenario);
        Map<String, WorkerInfo> held = lists.computeIfAbsent(l.whole(0), d -> new HashMap<>());
        if (whole) {
            checker.fullListReceived(
                    l.at, l.whole(0), all.stream().map(WorkerInfo::address).toList());
            held.clear();
        }
        for (WorkerInfo w : all) {
            workers.put(w.address(), w);
            held.put(w.address(), w);
            checker.workerStateReceived(l.at, l.whole(0), w.address(), w.state());
        }
    }

    private void request(Line l) {
        int c = scenario.classes().stream()
                .map(Scenario.RpcClass::name)
                .toList()
                .indexOf(l.text(2));
        if (c < 0) {
            throw l.malformed("unknown class " + l.text(2));
        }
        long valid = l.at + l.micros(3);
        checker.requestAccepted(l.at, id(l), c, valid);
        open.put(id(l), new Open(id(l), valid + scenario.rules().slack() + 1, l.micros(4)));
    }

    private void reaches(Line l) {
        WorkerInfo worker = workers.get(l.text(2));
        checker.attemptStarted(
                l.at, id(l), l.text(2), worker == null ? -1 : worker.zone(), worker == null ? -1 : worker.cell());
        Open o = open.get(id(l));
        double capacity = capacities.getOrDefault(l.text(2), 0.0);
        if (o != null && capacity > 0) {
            WorkerInfo held = lists.getOrDefault(l.whole(0), Map.of()).get(l.text(2));
            checker.coldArrivalOverloads(
                    l.at, l.text(2), capacity, o.work, l.whole(0), Objects.nonNull(held) && held.startedAt() > 0);
        }
    }
}
