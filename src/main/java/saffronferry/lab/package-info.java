/**
 * The laboratory: what the decisions do with workers, clients, networks and troubles of our own making, in
 * virtual time. {@code scenario} reads what is to be played, {@code world} plays it, {@code policy} has the
 * decisions that are compared, {@code check} watches the rules without knowing the code under test.
 * Nothing that {@code serve} loads depends on it.
 */
package saffronferry.lab;
