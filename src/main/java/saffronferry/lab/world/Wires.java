package saffronferry.lab.world;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import saffronferry.lab.scenario.PeerLinks;
import saffronferry.lab.scenario.Scenario.Network;

/** The network: how long a message is under way, and whether a datagram is lost. */
final class Wires {
    private final Network network;
    private final UniformRandomProvider random;
    private final PeerLinks links;

    Wires(Network network, UniformRandomProvider random, PeerLinks links) {
        this.network = network;
        this.random = random;
        this.links = links;
    }

    /** One way between two zones, in microseconds. */
    long between(int a, int b) {
        return jittered(a == b ? network.same() : network.cross());
    }

    long toClient() {
        return jittered(network.client());
    }

    private long jittered(long delay) {
        return Math.round(delay * (1 + network.jitter() * random.nextDouble()));
    }

    /** How much later than usual each copy of a datagram comes; none where it is lost. */
    List<Long> datagram(long now, int from, int to) {
        return random.nextDouble() < network.loss() ? List.of() : links.copies(now, from, to, random::nextDouble);
    }
}
