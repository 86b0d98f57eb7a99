/**
 * Sharing among the dispatchers of a fleet: owners of workers, shares of the budgets of cold workers and transfers
 * between them, and the pace of peer messages and of calls to discovery. Pure logic: no I/O, no clock and no source of
 * randomness of its own.
 */
package saffronferry.fleet;
