package saffronferry.wire;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/**
 * A connection whose reads are bounded by a {@link ScheduledReads}. While it is deferred, the selector does not report
 * its input, and it is read when its turn comes.
 */
class ScheduledSocketChannel extends NioSocketChannel {
    private static final int MIN_READ_BUFFER_BYTES = 64;
    private static final int INITIAL_READ_BUFFER_BYTES = 2 * 1024;
    /**
     * A buffer that was read is processed in one go. It also stays in use as long as a part of it cannot be decoded, at
     * every connection at the same time.
     */
    private static final int MAX_READ_BUFFER_BYTES = 4 * 1024;

    private final ScheduledReads reads;
    private boolean deferred;

    /** Creates an outgoing connection. */
    ScheduledSocketChannel(ScheduledReads reads) {
        this.reads = reads;
        config().setRecvByteBufAllocator(readHandles());
    }

    /** Creates a connection that has been accepted. */
    ScheduledSocketChannel(Channel parent, SocketChannel socket, ScheduledReads reads) {
        super(parent, socket);
        this.reads = reads;
        config().setRecvByteBufAllocator(readHandles());
    }

    @SuppressWarnings("deprecation") // see ScheduledReadHandle
    private RecvByteBufAllocator readHandles() {
        RecvByteBufAllocator buffers = new AdaptiveRecvByteBufAllocator(
                MIN_READ_BUFFER_BYTES, INITIAL_READ_BUFFER_BYTES, MAX_READ_BUFFER_BYTES);
        return () -> new ScheduledReadHandle(buffers.newHandle(), reads.scheduler(), this::onSeriesEnd);
    }

    private void onSeriesEnd(long bytes, long elapsedNanos, boolean moreExpected) {
        reads.usage().record(bytes, elapsedNanos);
        SelectionKey key = isOpen() && isRegistered() ? selectionKey() : null;
        if (moreExpected && key != null && key.isValid()) {
            deferred = true;
            key.interestOps(key.interestOps() & ~SelectionKey.OP_READ);
            reads.defer(this);
        }
    }

    /** Reads the input for which the connection was deferred; the selector reports further input again. */
    void readDeferred() {
        deferred = false;
        // a connection whose reads were stopped meanwhile is read when they are allowed again
        if (isOpen() && isRegistered() && config().isAutoRead()) {
            unsafe().read();
        }
    }

    @Override
    protected void doClose() throws Exception {
        reads.remove(this);
        super.doClose();
    }

    @Override
    protected void doBeginRead() throws Exception {
        if (!deferred) {
            super.doBeginRead();
        }
    }
}
