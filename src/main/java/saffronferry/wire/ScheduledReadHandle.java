package saffronferry.wire;

import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator.DelegatingHandle;
import io.netty.channel.RecvByteBufAllocator.Handle;
import saffronferry.limit.InputScheduler;

/**
 * Bounds and measures the reads of a connection: the library asks this handle whether it may read on, and tells it of
 * the beginning and the end of each series of reads.
 */
@SuppressWarnings("deprecation") // the library itself still takes handles of this type alone
final class ScheduledReadHandle extends DelegatingHandle {
    /** Learns of the end of each series of reads. */
    interface SeriesListener {
        /**
         * A series of reads has ended.
         *
         * @param bytes bytes read
         * @param elapsedNanos time from the first read to the last handler
         * @param moreExpected whether the last read filled its buffer, so that more bytes may be there
         */
        void onSeriesEnd(long bytes, long elapsedNanos, boolean moreExpected);
    }

    private final InputScheduler<?> scheduler;
    private final SeriesListener listener;
    private long startNanos;
    private long bytes;

    ScheduledReadHandle(Handle delegate, InputScheduler<?> scheduler, SeriesListener listener) {
        super(delegate);
        this.scheduler = scheduler;
        this.listener = listener;
    }

    @Override
    public void reset(ChannelConfig config) {
        super.reset(config);
        startNanos = System.nanoTime();
        bytes = 0;
    }

    @Override
    public void lastBytesRead(int read) {
        super.lastBytesRead(read);
        bytes += Math.max(0, read);
    }

    @Override
    public boolean continueReading() {
        return super.continueReading() && scheduler.mayReadOn(startNanos, System.nanoTime());
    }

    @Override
    public void readComplete() {
        super.readComplete();
        boolean bufferFilled = lastBytesRead() > 0 && lastBytesRead() == attemptedBytesRead();
        listener.onSeriesEnd(bytes, System.nanoTime() - startNanos, bufferFilled);
    }
}
