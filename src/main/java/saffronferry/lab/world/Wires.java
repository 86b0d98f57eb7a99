package saffronferry.lab.world;

import org.apache.commons.rng.UniformRandomProvider;
import saffronferry.lab.scenario.Scenario.Network;

/** The network: how long a message is under way, and whether a datagram is lost. */
final class Wires {
    private final Network network;
    private final UniformRandomProvider random;
    private boolean peersCut;

    Wires(Network network, UniformRandomProvider random) {
        this.network = network;
        this.random = random;
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

    void cutPeers(boolean cut) {
        peersCut = cut;
    }

    boolean loses() {
        return random.nextDouble() < network.loss() || peersCut;
    }
}
