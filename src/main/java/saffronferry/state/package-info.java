/**
 * What is kept in memory: open RPCs, their call attempts and the resolver result. Nothing here knows HTTP, so
 * a second protocol can come through the same decisions and rules by its own
 * {@link saffronferry.state.Channel} and {@link saffronferry.state.OutboundOperations}.
 */
package saffronferry.state;
