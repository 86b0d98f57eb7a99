/**
 * Settings that change while dispatchers run, and how each of them comes to hold the same: a last-writer-wins
 * map, spread by gossip and repaired by digests (anti-entropy). Pure: no I/O, clock and seed handed in.
 * Source: Demers et al., Epidemic algorithms for replicated database maintenance (1987).
 */
package saffronferry.agree;
