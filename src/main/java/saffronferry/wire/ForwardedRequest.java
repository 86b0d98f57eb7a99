package saffronferry.wire;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

/**
 * What of a client's request passes on to a subchannel unchanged; {@code idempotencyKey} may be null. {@code
 * arriving}: microseconds from its first byte to its last one. A client counts how long it will wait from
 * when it sent the request, while the time in which it is owed an answer counts from the last byte.
 */
record ForwardedRequest(HttpMethod method, String uri, String txn, String idempotencyKey, Buffer body, long arriving) {}
