package saffronferry.lab.world;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Provides an independent random stream for each purpose, all derived from one seed. Draws for one purpose do
 * not shift those for another, so that two policies are given the same clients, work and faults.
 */
final class RandomStreams {
    private final long seed;

    RandomStreams(long seed) {
        this.seed = seed;
    }

    /** The stream of a purpose; {@code index} distinguishes several streams of the same purpose. */
    UniformRandomProvider of(String purpose, long index) {
        UniformRandomProvider mixer = RandomSource.MT_64.create(new long[] {seed, purpose.hashCode(), index});
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {mixer.nextLong(), mixer.nextLong()});
    }
}
