/**
 * Day-to-day running: the operators' calls, the figures they read, workers banned by hand, and the states of
 * a drain. Decisions and data only: no socket, no file, no thread, no clock.
 */
package saffronferry.ops;
