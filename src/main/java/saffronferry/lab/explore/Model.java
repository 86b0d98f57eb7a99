package saffronferry.lab.explore;

import java.util.List;

/** A small system that is explored step by step. States are immutable: a transition creates a new one. */
public interface Model<S> {
    /** A short description of an event, and the state after it. */
    record Transition<S>(String description, S after) {}

    /** The state in which all traces begin. */
    S initial();

    /** All possible transitions from a state. */
    List<Transition<S>> transitions(S state);

    /** A key that is equal for equivalent states. */
    String key(S state);

    /** The bound that a state violates, or null. */
    String violation(S state);
}
