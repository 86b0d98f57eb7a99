/**
 * Hollow dispatchers: hundreds in one process, over the laboratory's network in virtual time. Each has the
 * real decision module, reads its lists from bytes as {@code serve} does, and is measured by itself.
 */
package saffronferry.scale;
