/**
 * Regression of a figure over a size, from the runs of a result file: fits with prediction intervals, forecasts,
 * and the choice of the growth model that fits best. Performs no I/O.
 */
package saffronferry.scale.fit;
