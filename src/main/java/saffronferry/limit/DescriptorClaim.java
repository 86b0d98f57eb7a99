package saffronferry.limit;

/**
 * What a process tells the other processes of its dispatcher about the descriptors that they share.
 *
 * @param maximum the number of descriptors that it holds at most, those of the process itself included; it is in force
 *     when it is told, and never raised without the others' claims allowing it
 * @param accepting whether it accepts clients, so that it takes what the others leave
 */
public record DescriptorClaim(int maximum, boolean accepting) {}
