/**
 * Simulator that runs the dispatch logic against emulated workers, clients, networks and faults in virtual
 * time. {@code scenario} reads scenario files, {@code world} simulates them, {@code policy} holds the load
 * balancing policies that are compared, {@code check} verifies the dispatchers' rules without knowledge of the
 * code under test, and {@code explore} enumerates the states of small protocol models. Nothing that
 * {@code serve} loads depends on this package.
 */
package saffronferry.lab;
