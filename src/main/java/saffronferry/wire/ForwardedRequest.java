package saffronferry.wire;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

/**
 * The parts of a client's request that are forwarded to a subchannel unchanged.
 *
 * @param idempotencyKey the value of the header, or null
 * @param arrivalMicros the time from the request's first byte to its last one; clients measure their remaining time
 *     from the start of the request, while the deadline of the RPC is measured from the last byte
 */
record ForwardedRequest(
        HttpMethod method, String uri, String txn, String idempotencyKey, Buffer body, long arrivalMicros) {}
