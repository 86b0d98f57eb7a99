package saffronferry.wire;

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
    private final ScheduledReads reads;
    private boolean deferred;

    ScheduledSocketChannel(Channel parent, SocketChannel socket, ScheduledReads reads, RecvByteBufAllocator buffers) {
        super(parent, socket);
        this.reads = reads;
        config().setRecvByteBufAllocator(handles(buffers));
    }

    @SuppressWarnings("deprecation") // see ScheduledReadHandle
    private RecvByteBufAllocator handles(RecvByteBufAllocator buffers) {
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
