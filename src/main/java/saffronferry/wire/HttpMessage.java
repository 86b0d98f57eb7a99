package saffronferry.wire;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

/** What of a client's request passes on to a subchannel unchanged; {@code idempotencyKey} may be null. */
record HttpMessage(HttpMethod method, String uri, String txn, String idempotencyKey, Buffer body) { }
