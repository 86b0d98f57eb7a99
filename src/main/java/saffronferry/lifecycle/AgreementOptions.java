package saffronferry.lifecycle;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.json.JSONObject;
import saffronferry.agree.Gossip;
import saffronferry.wire.Address;

/**
 * The options by which dispatchers agree on settings that change at run time.
 *
 * @param secret shared by the fleet; without it settings cannot be changed by datagrams
 * @param bytesPerS the limit on bytes sent about settings per second
 */
record AgreementOptions(byte[] secret, int bytesPerS) {
    private static final int MIN_SECRET_BYTES = 16;
    private static final int DEFAULT_BYTES_PER_S = 2_000;

    static AgreementOptions read(JSONObject json, Address peerListen, List<Address> peers, int self) {
        if (peerListen == null || self < 0 || self >= peers.size()) {
            throw new IllegalArgumentException("requires peer_listen, and an entry in peers for each dispatcher");
        }
        byte[] secret = json.getString("secret").getBytes(StandardCharsets.UTF_8);
        if (secret.length < MIN_SECRET_BYTES) {
            throw new IllegalArgumentException("secret must have at least " + MIN_SECRET_BYTES + " bytes");
        }
        int bytesPerS = json.isNull("bytes_per_s") ? DEFAULT_BYTES_PER_S : json.getInt("bytes_per_s");
        if (bytesPerS < Gossip.MIN_BYTES_PER_SECOND) {
            throw new IllegalArgumentException(
                    "bytes_per_s must be at least " + Gossip.MIN_BYTES_PER_SECOND + ": " + bytesPerS);
        }
        return new AgreementOptions(secret, bytesPerS);
    }
}
