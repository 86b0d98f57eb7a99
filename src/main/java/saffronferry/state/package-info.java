/**
 * In-memory state: open RPCs, their call attempts and the resolver result. Nothing here depends on HTTP; another
 * protocol can use the same decisions and rules through its own {@link saffronferry.state.Channel} and
 * {@link saffronferry.state.OutboundOperations}.
 */
package saffronferry.state;
