/**
 * Bounded model checking of small fleets: explores every order of faults up to a given depth and reports the
 * shortest trace that violates a bound. The models drive the classes of the product.
 */
package saffronferry.lab.explore;
