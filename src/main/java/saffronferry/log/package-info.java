/**
 * Lines for the operators: our own and, by SLF4J, those of the libraries. All are bounded in number and
 * length, and to write one takes no file, no descriptor and no time zone.
 */
package saffronferry.log;
