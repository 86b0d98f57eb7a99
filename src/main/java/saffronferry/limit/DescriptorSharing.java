package saffronferry.limit;

import java.util.List;

/**
 * Divides the descriptors of a dispatcher among its processes while one replaces another. The process that accepts
 * clients has all that the others do not claim. One that is starting claims a fixed part. One that has been replaced
 * claims what it still needs, and less and less of it.
 *
 * <p>The sum of the claims stays within the limit without an agreement: a claim is lowered before it is told, and
 * raised only by the one process that accepts clients, within what the others have told. Not thread-safe.
 */
public final class DescriptorSharing {
    /** What a process does with regard to clients. */
    public enum Role {
        /** It does not serve yet. */
        STARTING,
        /** It accepts clients. */
        ACCEPTING,
        /** Another process accepts clients in its place. */
        REPLACED
    }

    /** The part of all descriptors that a starting process claims is one divided by this. */
    private static final int STARTING_DIVISOR = 5;
    /** A starting process has at least this many besides those of the process itself. */
    private static final int MIN_STARTING = 16;

    private final DescriptorBudget budget;
    private Role role = Role.STARTING;
    private int maximum;

    /** Starts with the claim of a starting process. */
    public DescriptorSharing(DescriptorBudget budget) {
        this.budget = budget;
        maximum = startingMaximum();
        budget.limitTo(maximum);
    }

    private int startingMaximum() {
        int part = budget.shareable() / STARTING_DIVISOR;
        return Math.min(budget.shareable(), Math.max(part, budget.heldByProcess() + MIN_STARTING));
    }

    /** The claim of this process, to be told to the others. */
    public DescriptorClaim claim() {
        return new DescriptorClaim(maximum, role == Role.ACCEPTING);
    }

    /**
     * Takes the claims of the others into account.
     *
     * @param siblings the number of other processes
     * @param claims the claims that these have told; one that tells none is taken to hold an equal part
     */
    public void update(Role newRole, int siblings, List<DescriptorClaim> claims) {
        role = newRole;
        int next = siblings == 0 ? budget.shareable() : maximumBeside(siblings, claims);
        if (next != maximum) {
            maximum = next;
            budget.limitTo(maximum);
        }
    }

    private int maximumBeside(int siblings, List<DescriptorClaim> claims) {
        return switch (role) {
            case STARTING -> startingMaximum();
            case REPLACED -> Math.min(maximum, budget.needed());
            case ACCEPTING -> {
                int left = budget.shareable() - claimedBy(siblings, claims);
                boolean mayRaise = claims.stream().noneMatch(DescriptorClaim::accepting);
                yield mayRaise ? left : Math.min(maximum, left);
            }
        };
    }

    private int claimedBy(int siblings, List<DescriptorClaim> claims) {
        int equalPart = budget.shareable() / (siblings + 1);
        int told = claims.stream().mapToInt(DescriptorClaim::maximum).sum();
        return told + (siblings - claims.size()) * equalPart;
    }
}
