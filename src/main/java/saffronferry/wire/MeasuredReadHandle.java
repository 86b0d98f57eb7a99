package saffronferry.wire;

import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator.DelegatingHandle;
import io.netty.channel.RecvByteBufAllocator.Handle;
import saffronferry.ops.InputUsage;

/** Measures the reads of a connection: the library tells this handle of the beginning and the end of each series. */
@SuppressWarnings("deprecation") // the library itself still takes handles of this type alone
final class MeasuredReadHandle extends DelegatingHandle {
    private final InputUsage usage;
    private long startNanos;
    private long bytes;

    MeasuredReadHandle(Handle delegate, InputUsage usage) {
        super(delegate);
        this.usage = usage;
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
    public void readComplete() {
        super.readComplete();
        usage.record(bytes, System.nanoTime() - startNanos);
    }
}
