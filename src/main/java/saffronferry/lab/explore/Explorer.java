package saffronferry.lab.explore;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Explores the states of a model breadth first, so that the first violation found has one of the shortest traces.
 * States are distinguished by a 64-bit hash: the probability of a collision among a million states is 3 in 100
 * million.
 */
public final class Explorer {
    private Explorer() {}

    /**
     * The result of an exploration.
     *
     * @param states the number of distinct states
     * @param depth the length of the longest trace
     * @param complete whether all traces of that length were explored; false if the limit of states was reached
     * @param violation the violated bound, or null
     * @param trace the transitions that lead to the violation
     */
    public record Result(long states, int depth, boolean complete, String violation, List<String> trace) {}

    private record Node<S>(S state, Node<S> previous, String description) {
        List<String> trace() {
            List<String> steps = new ArrayList<>();
            for (Node<S> n = this; n.previous != null; n = n.previous) {
                steps.add(n.description);
            }
            Collections.reverse(steps);
            return steps;
        }
    }

    /** Explores all traces up to the given depth, unless the limit of distinct states is reached first. */
    public static <S> Result explore(Model<S> model, int depth, int maxStates) {
        Set<Long> seen = new HashSet<>();
        List<Node<S>> level = List.of(new Node<>(model.initial(), null, null));
        seen.add(hashOf(model.key(model.initial())));
        for (int d = 0; d <= depth; d++) {
            List<Node<S>> nextLevel = new ArrayList<>();
            for (Node<S> node : level) {
                String violation = model.violation(node.state);
                if (violation != null) {
                    return new Result(seen.size(), d, true, violation, node.trace());
                }
                if (d == depth) {
                    continue;
                }
                for (Model.Transition<S> step : model.transitions(node.state)) {
                    if (seen.size() >= maxStates) {
                        return new Result(seen.size(), d, false, null, List.of());
                    }
                    if (seen.add(hashOf(model.key(step.after())))) {
                        nextLevel.add(new Node<>(step.after(), node, step.description()));
                    }
                }
            }
            if (nextLevel.isEmpty()) {
                return new Result(seen.size(), d, true, null, List.of());
            }
            level = nextLevel;
        }
        return new Result(seen.size(), depth, true, null, List.of());
    }

    private static long hashOf(String key) {
        long hash = 0x9E3779B97F4A7C15L;
        byte[] bytes = Arrays.copyOf(key.getBytes(StandardCharsets.ISO_8859_1), key.length() + 7 & ~7);
        for (int i = 0; i < bytes.length; i += 8) {
            long word = 0;
            for (int b = 0; b < 8; b++) {
                word = word << 8 | bytes[i + b] & 0xFF;
            }
            hash = (hash ^ word) * 0xBF58476D1CE4E5B9L;
            hash ^= hash >>> 31;
        }
        return hash * 0x94D049BB133111EBL;
    }
}
