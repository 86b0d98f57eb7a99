/**
 * Resource limits of a dispatcher: file descriptors by purpose, when connections are accepted, and whether the event
 * loop still runs. Pure logic: no sockets, no threads and no clock.
 */
package saffronferry.limit;
