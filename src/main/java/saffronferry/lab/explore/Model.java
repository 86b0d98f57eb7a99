package saffronferry.lab.explore;

import java.util.List;

/** A small system that can be driven step by step. Its states are never changed: a step makes a new one. */
public interface Model<S> {
    /** What may happen next, told in a few words, and the state after it. */
    record Transition<S>(String description, S after) {}

    /** Where all stories begin. */
    S initial();

    /** All that may happen in a state. */
    List<Transition<S>> transitions(S state);

    /** Equal for two states from which the same may happen. */
    String key(S state);

    /** The bound that is broken in a state, or null. */
    String violation(S state);
}
