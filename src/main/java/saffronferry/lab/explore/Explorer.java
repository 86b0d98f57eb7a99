package saffronferry.lab.explore;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Breadth first, so that the first story found is one of the shortest. States are told apart by 64 bits of a
 * hash: of a million states two are taken for one with a chance of 3 in 100 million.
 */
public final class Explorer {
    private Explorer() {}

    /**
     * What was seen.
     *
     * @param states so many different ones
     * @param depth steps of the longest story
     * @param whole whether all stories of that length were tried: else the limit of states was reached
     * @param broken the bound that broke, or null
     * @param story the steps to it
     */
    public record Result(long states, int depth, boolean complete, String violation, List<String> trace) {}

    private record Node<S>(S state, Node<S> before, String description) {
        List<String> trace() {
            List<String> steps = new ArrayList<>();
            for (Node<S> n = this; n.before != null; n = n.before) {
                steps.add(n.description);
            }
            Collections.reverse(steps);
            return steps;
        }
    }

    /** Tries all stories of so many steps at most, and of no more states than that. */
    public static <S> Result explore(Model<S> model, int depth, int maxStates) {
        Set<Long> seen = new HashSet<>();
        List<Node<S>> level = List.of(new Node<>(model.initial(), null, null));
        seen.add(hash(model.key(model.initial())));
        for (int d = 0; d <= depth; d++) {
            List<Node<S>> next = new ArrayList<>();
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
                    if (seen.add(hash(model.key(step.after())))) {
                        next.add(new Node<>(step.after(), node, step.description()));
                    }
                }
            }
            if (next.isEmpty()) {
                return new Result(seen.size(), d, true, null, List.of());
            }
            level = next;
        }
        return new Result(seen.size(), depth, true, null, List.of());
    }

    private static long hash(String key) {
        long h = 0x9E3779B97F4A7C15L;
        byte[] bytes = Arrays.copyOf(key.getBytes(StandardCharsets.ISO_8859_1), key.length() + 7 & ~7);
        for (int i = 0; i < bytes.length; i += 8) {
            long word = 0;
            for (int b = 0; b < 8; b++) {
                word = word << 8 | bytes[i + b] & 0xFF;
            }
            h = (h ^ word) * 0xBF58476D1CE4E5B9L;
            h ^= h >>> 31;
        }
        return h * 0x94D049BB133111EBL;
    }
}
