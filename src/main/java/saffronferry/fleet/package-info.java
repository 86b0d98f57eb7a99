/**
 * What the dispatchers of a fleet divide among themselves without speaking of it: each reckons the same from
 * what all of them know. Pure: no I/O, no clock, no randomness of its own.
 */
package saffronferry.fleet;
