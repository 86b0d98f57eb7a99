package saffronferry.wire;

import io.netty.buffer.ByteBufAllocatorMetricProvider;
import io.vertx.core.buffer.impl.VertxByteBufAllocator;
import java.util.List;
import saffronferry.limit.AcceptGate;
import saffronferry.limit.DescriptorBudget;
import saffronferry.limit.DescriptorBudget.Purpose;
import saffronferry.limit.PipelineBudget;
import saffronferry.ops.Metrics.Metric;

/**
 * Metrics of the resources that connections take: descriptors, buffers outside the heap, the time of the event loop for
 * their input, and the time in which new connections had to wait. They tell a dispatcher that is out of one of these
 * from one that is out of processor time.
 */
final class ResourceMetrics {
    private final DescriptorBudget descriptors;
    private final AcceptGate gate;
    private final PipelineBudget pipelineBudget;
    private final ScheduledReads clientReads;
    private final ScheduledReads serverReads;

    ResourceMetrics(DescriptorBudget descriptors, BoundedTransport transport, PipelineBudget pipelineBudget) {
        this.descriptors = descriptors;
        gate = transport.clientAdmission().gate();
        clientReads = transport.clientReads();
        serverReads = transport.serverReads();
        this.pipelineBudget = pipelineBudget;
    }

    /** The current values. */
    List<Metric> metrics() {
        return List.of(
                gauge("app_client_connections", "Connections of clients.", descriptors.used(Purpose.CLIENTS)),
                gauge(
                        "app_client_connections_max",
                        "Connections that clients may hold.",
                        descriptors.maximum(Purpose.CLIENTS)),
                gauge(
                        "app_worker_connections",
                        "Connections of attempts to workers.",
                        descriptors.used(Purpose.WORKERS)),
                gauge(
                        "app_worker_connections_max",
                        "Connections that attempts may hold.",
                        descriptors.maximum(Purpose.WORKERS)),
                counter(
                        "app_accept_wait_seconds",
                        "Time in which new clients may have waited for a descriptor.",
                        gate.totalWaitMs(System.nanoTime() / 1_000_000) / 1e3),
                counter(
                        "app_input_bytes",
                        "Bytes read from connections that were accepted.",
                        clientReads.usage().bytes()),
                counter(
                        "app_input_seconds",
                        "Time that the event loop spent on these bytes.",
                        clientReads.usage().nanos() / 1e9),
                counter(
                        "app_response_bytes",
                        "Bytes read from workers and discovery.",
                        serverReads.usage().bytes()),
                counter(
                        "app_response_seconds",
                        "Time that the event loop spent on these bytes.",
                        serverReads.usage().nanos() / 1e9),
                gauge(
                        "app_input_deferred",
                        "Accepted connections whose further input waits for its turn.",
                        clientReads.scheduler().size()),
                gauge(
                        "app_response_deferred",
                        "Connections to workers and discovery whose further input waits for its turn.",
                        serverReads.scheduler().size()),
                gauge(
                        "app_pipelined_bytes",
                        "Memory of requests that clients sent behind an open one.",
                        pipelineBudget.totalBytes()),
                gauge("app_direct_memory_bytes", "Buffers outside the heap, in use or pooled.", directMemoryBytes()));
    }

    private static long directMemoryBytes() {
        return ((ByteBufAllocatorMetricProvider) VertxByteBufAllocator.POOLED_ALLOCATOR)
                .metric()
                .usedDirectMemory();
    }

    private static Metric counter(String name, String help, double value) {
        return new Metric(name, "counter", help, value);
    }

    private static Metric gauge(String name, String help, double value) {
        return new Metric(name, "gauge", help, value);
    }
}
