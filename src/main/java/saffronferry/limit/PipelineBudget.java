package saffronferry.limit;

/**
 * Bounds the memory taken by requests that clients send behind an open one, for each connection and for all
 * connections together. Clients are expected to send one request at a time; a limited number more is kept and served
 * in turn. Not thread-safe.
 */
public final class PipelineBudget {
    /** Requests kept for one connection. */
    public static final int MAX_REQUESTS = 32;
    /** Memory of the requests kept for one connection; has room for a whole body. */
    public static final int MAX_CONNECTION_BYTES = 96 * 1024;
    /** Memory of the requests kept for all connections, a small part of the heap. */
    public static final int MAX_TOTAL_BYTES = 8 * 1024 * 1024;

    private int totalBytes;

    /** The memory kept for all connections. */
    public int totalBytes() {
        return totalBytes;
    }

    /** The part of one connection. */
    public final class Share {
        private int requests;
        private int bytes;

        /** Adds requests, or parts of one, and their memory; returns false and adds nothing if they exceed a limit. */
        public boolean tryAdd(int addedRequests, int addedBytes) {
            if (requests + addedRequests > MAX_REQUESTS
                    || bytes + addedBytes > MAX_CONNECTION_BYTES
                    || totalBytes + addedBytes > MAX_TOTAL_BYTES) {
                return false;
            }
            requests += addedRequests;
            bytes += addedBytes;
            totalBytes += addedBytes;
            return true;
        }

        /** Removes what was added before. */
        public void remove(int removedRequests, int removedBytes) {
            requests -= removedRequests;
            bytes -= removedBytes;
            totalBytes -= removedBytes;
        }

        /** Removes everything, at the end of the connection. */
        public void clear() {
            remove(requests, bytes);
        }
    }
}
