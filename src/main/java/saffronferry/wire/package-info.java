/**
 * The network code: the HTTP servers for clients and operators, the HTTP client for subchannels, the watch on
 * discovery, the datagrams of peers, and the parsers of what is received.
 */
package saffronferry.wire;
