/**
 * What a dispatcher may hold and how it stands exhaustion: descriptors by purpose, when connections are taken
 * in, and whether the event loop still comes round. Decisions only: no socket, no thread, no clock.
 */
package saffronferry.limit;
