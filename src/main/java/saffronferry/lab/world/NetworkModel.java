package saffronferry.lab.world;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import saffronferry.lab.scenario.PeerLinks;
import saffronferry.lab.scenario.Scenario.Network;

/** Models network delays and the loss of datagrams. */
final class NetworkModel {
    private final Network network;
    private final UniformRandomProvider random;
    private final PeerLinks links;

    NetworkModel(Network network, UniformRandomProvider random, PeerLinks links) {
        this.network = network;
        this.random = random;
        this.links = links;
    }

    /** Draws a one-way delay between two zones, in microseconds. */
    long delayBetween(int a, int b) {
        return jittered(a == b ? network.same() : network.cross());
    }

    long clientDelay() {
        return jittered(network.client());
    }

    private long jittered(long delay) {
        return Math.round(delay * (1 + network.jitter() * random.nextDouble()));
    }

    /** The extra delay of each delivered copy of a datagram; empty if it is lost. */
    List<Long> datagramDelays(long now, int from, int to) {
        return random.nextDouble() < network.loss() ? List.of() : links.copies(now, from, to, random::nextDouble);
    }
}
