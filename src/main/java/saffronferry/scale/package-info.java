/**
 * Scale simulation: hundreds of dispatchers without sockets in one process, over the simulator's network in
 * virtual time. Each has the real decision module and parses its worker lists from bytes as {@code serve} does;
 * its CPU time, heap and control traffic are measured separately.
 */
package saffronferry.scale;
