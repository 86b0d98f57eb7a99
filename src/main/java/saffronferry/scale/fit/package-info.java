/**
 * Figures over a size, from a result file: a straight line with its spread, a forecast, and whether a line is
 * the form that fits at all. Pure.
 */
package saffronferry.scale.fit;
