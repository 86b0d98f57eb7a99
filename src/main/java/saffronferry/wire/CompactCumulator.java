package saffronferry.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Joins the input that a decoder has not consumed with the next input, in a heap buffer of about their size. The
 * library's own cumulator appends to a direct buffer without giving up the bytes already consumed, so that a connection
 * whose reads keep ending within a message takes many times the memory of that message.
 */
final class CompactCumulator implements ByteToMessageDecoder.Cumulator {
    private static final int CAPACITY_STEP_BYTES = 4 * 1024;

    @Override
    public ByteBuf cumulate(ByteBufAllocator allocator, ByteBuf cumulation, ByteBuf input) {
        if (!cumulation.isReadable()) {
            cumulation.release();
            return input;
        }
        try {
            ByteBuf joined = withRoomFor(input.readableBytes(), allocator, cumulation);
            return joined.writeBytes(input);
        } finally {
            input.release();
        }
    }

    private static ByteBuf withRoomFor(int bytes, ByteBufAllocator allocator, ByteBuf cumulation) {
        // decoded messages may still refer to a buffer that is shared
        boolean modifiable = !cumulation.isDirect() && cumulation.refCnt() == 1 && !cumulation.isReadOnly();
        if (modifiable && cumulation.writableBytes() >= bytes) {
            return cumulation;
        }
        int required = cumulation.readableBytes() + bytes;
        if (modifiable && cumulation.capacity() >= required) {
            return cumulation.discardReadBytes();
        }
        int steps = (required + CAPACITY_STEP_BYTES - 1) / CAPACITY_STEP_BYTES;
        ByteBuf next = allocator.heapBuffer(steps * CAPACITY_STEP_BYTES);
        next.writeBytes(cumulation);
        cumulation.release();
        return next;
    }
}
