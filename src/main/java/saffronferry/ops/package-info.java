/**
 * Operation of a dispatcher: the calls to the operators' console, the metrics, the workers banned by operators, and
 * the states of a drain. Decisions and data only: no sockets, files, threads or clocks.
 */
package saffronferry.ops;
