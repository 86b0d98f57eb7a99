/**
 * The life of a dispatcher process: its configuration, start, reload and drain, the operators' console, the handover
 * between processes at the same address, and the watchdog.
 */
package saffronferry.lifecycle;
