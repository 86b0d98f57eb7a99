package saffronferry.lifecycle;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.json.JSONObject;
import saffronferry.agree.Gossip;
import saffronferry.wire.Address;

/**
 * How a dispatcher agrees with others on settings that change while they run.
 *
 * @param secret the fleet's: who does not have it cannot change settings by datagrams
 * @param bytesPerS what may be said of settings in any second
 */
record AgreeOptions(byte[] secret, int bytesPerS) {
    private static final int LEAST_SECRET = 16;
    private static final int BYTES_PER_S = 2_000;

    static AgreeOptions read(JSONObject json, Address peerListen, List<Address> peers, int self) {
        if (peerListen == null || self < 0 || self >= peers.size()) {
            throw new IllegalArgumentException("needs peer_listen, and peers with one for each dispatcher");
        }
        byte[] secret = json.getString("secret").getBytes(StandardCharsets.UTF_8);
        if (secret.length < LEAST_SECRET) {
            throw new IllegalArgumentException("secret must have " + LEAST_SECRET + " bytes at least");
        }
        int bytesPerS = json.isNull("bytes_per_s") ? BYTES_PER_S : json.getInt("bytes_per_s");
        if (bytesPerS < Gossip.MIN_BYTES_PER_SECOND) {
            throw new IllegalArgumentException(
                    "bytes_per_s must be " + Gossip.MIN_BYTES_PER_SECOND + " at least: " + bytesPerS);
        }
        return new AgreeOptions(secret, bytesPerS);
    }
}
