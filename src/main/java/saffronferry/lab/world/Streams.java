package saffronferry.lab.world;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A stream of random numbers for each purpose, all from one seed. What is drawn for one purpose shifts
 * nothing for another, so that two policies meet the same clients, work and troubles.
 */
final class Streams {
    private final long seed;

    Streams(long seed) {
        this.seed = seed;
    }

    /** The stream of a purpose; {@code index} tells several of a kind apart. */
    UniformRandomProvider of(String purpose, long index) {
        UniformRandomProvider mixer = RandomSource.MT_64.create(new long[] {seed, purpose.hashCode(), index});
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {mixer.nextLong(), mixer.nextLong()});
    }
}
