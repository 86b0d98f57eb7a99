package saffronferry.agree;

import java.security.GeneralSecurityException;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Signs datagrams with the fleet's shared secret (truncated HMAC-SHA256), so that corrupted, truncated and forged
 * datagrams are detected.
 */
final class DatagramAuthenticator {
    static final int TAG_BYTES = 8;
    private static final String ALGORITHM = "HmacSHA256";

    private final Mac mac;

    DatagramAuthenticator(byte[] secret) {
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e); // every Java platform has to support this algorithm
        }
    }

    /** Computes the tag over all bytes but the last {@link #TAG_BYTES}, and writes it there. */
    void sign(byte[] datagram) {
        System.arraycopy(computeMac(datagram), 0, datagram, datagram.length - TAG_BYTES, TAG_BYTES);
    }

    /** Whether the last {@link #TAG_BYTES} bytes are the tag of the bytes before them. */
    boolean verify(byte[] datagram) {
        return Arrays.equals(
                Arrays.copyOf(computeMac(datagram), TAG_BYTES),
                Arrays.copyOfRange(datagram, datagram.length - TAG_BYTES, datagram.length));
    }

    private byte[] computeMac(byte[] datagram) {
        mac.update(datagram, 0, datagram.length - TAG_BYTES);
        return mac.doFinal();
    }
}
