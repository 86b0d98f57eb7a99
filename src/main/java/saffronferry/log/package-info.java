/**
 * Operator log lines on standard error: the dispatcher's own and, through SLF4J, those of the libraries. Their rate and
 * length are limited, and writing one opens no file, takes no descriptor and reads no time zone data.
 */
package saffronferry.log;
