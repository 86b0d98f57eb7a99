package saffronferry.agree;

import java.security.GeneralSecurityException;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Marks datagrams with the fleet's secret, so that what is garbled, cut short or forged is known for it. */
final class Seal {
    static final int BYTES = 8;
    private static final String ALGORITHM = "HmacSHA256";

    private final Mac mac;

    Seal(byte[] secret) {
        try {
            mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e); // each Java has this algorithm
        }
    }

    /** Writes the seal of the bytes before the last ones into the last ones. */
    void seal(byte[] b) {
        System.arraycopy(of(b), 0, b, b.length - BYTES, BYTES);
    }

    boolean holds(byte[] b) {
        return Arrays.equals(Arrays.copyOf(of(b), BYTES), Arrays.copyOfRange(b, b.length - BYTES, b.length));
    }

    private byte[] of(byte[] b) {
        mac.update(b, 0, b.length - BYTES);
        return mac.doFinal();
    }
}
