/**
 * Replication of the settings that may change while dispatchers run: a last-writer-wins map, spread by gossip and
 * repaired by comparing digests (anti-entropy). The package does no I/O; clock and random seed are passed in.
 * Source: Demers et al., Epidemic algorithms for replicated database maintenance (1987).
 */
package saffronferry.agree;
