package saffronferry.wire;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.BiConsumer;
import saffronferry.Balancer;
import saffronferry.BalancerEvent;
import saffronferry.Contract.JobClass;
import saffronferry.agree.Gossip;
import saffronferry.limit.AttemptCapacity;
import saffronferry.limit.DescriptorBudget;
import saffronferry.limit.PipelineBudget;
import saffronferry.log.BoundedLog;
import saffronferry.ops.Metrics;
import saffronferry.state.CallAttempt;
import saffronferry.state.Clock;
import saffronferry.state.ListUpdate;
import saffronferry.state.OutboundOperations;
import saffronferry.state.RpcCoordinator;

/** The network side of a dispatcher: connects its sockets with the in-memory state of the RPC coordinator. */
public final class DispatcherNetwork implements OutboundOperations<ForwardedRequest> {
    /**
     * Configuration of the network side.
     *
     * @param peerListen address for datagrams of peers, or null for none
     * @param freeSlots name of the load report field with the free slots, or null for none
     * @param connectTimeout for connections to subchannels, in seconds
     * @param listPushed whether the balancer expects list updates without asking for them
     */
    public record Options(
            Address discovery,
            Address peerListen,
            List<Address> peers,
            List<JobClass> classes,
            List<String> tenants,
            ListParser lists,
            String freeSlots,
            double connectTimeout,
            boolean listPushed) {}

    private static final long WARM_UP_TIMEOUT_MS = 500;
    private static final int MAX_WARM_UP_REQUESTS = 8;
    /** A restarted process must serve within 10 s; the rest of that time is for the start itself. */
    private static final long FIRST_LIST_TIMEOUT_MS = 5_000;

    private final Vertx vertx;
    private final BoundedLog log;
    private final BoundedTransport transport;
    private final SubchannelClient subchannelClient;
    private final DiscoveryWatch discoveryWatch;
    private final PeerSocket peerSocket;
    private final Address peerListen;
    private final boolean listPushed;
    private final RpcCoordinator<ForwardedRequest> coordinator;
    private final ChannelServer channelServer;
    private BiConsumer<Integer, byte[]> settingsListener;

    public DispatcherNetwork(
            Vertx vertx,
            Options options,
            Balancer balancer,
            Metrics metrics,
            DescriptorBudget descriptors,
            BoundedTransport transport,
            BoundedLog log) {
        this.vertx = vertx;
        this.log = log;
        this.transport = transport;
        peerListen = options.peerListen();
        listPushed = options.listPushed();
        coordinator = new RpcCoordinator<>(balancer, new Clock(), this, metrics);
        AttemptCapacity attemptCapacity = new AttemptCapacity(
                descriptors, open -> coordinator.report(new BalancerEvent.AttemptCapacityChanged(open)));
        descriptors.addReleaseListener(() -> attemptCapacity.update(System.nanoTime() / 1_000_000));
        subchannelClient = new SubchannelClient(
                vertx,
                options.connectTimeout(),
                new LoadReportParser(options.freeSlots()),
                descriptors,
                attemptCapacity,
                log);
        discoveryWatch = new DiscoveryWatch(
                vertx,
                options.discovery(),
                options.lists(),
                update -> coordinator.onListUpdate(update, false),
                end -> coordinator.report(new BalancerEvent.WatchLost(end)),
                descriptors,
                log);
        peerSocket = new PeerSocket(
                vertx, options.peers(), (peer, bytes) -> onDatagram(peer, bytes), transport.controlUsage(), log);
        PipelineBudget pipelineBudget = new PipelineBudget();
        ResourceMetrics resourceMetrics = new ResourceMetrics(descriptors, transport, pipelineBudget);
        metrics.addAdditionalMetrics(resourceMetrics::metrics);
        channelServer = new ChannelServer(
                vertx,
                new RpcParser(options.classes(), options.tenants()),
                coordinator,
                transport,
                pipelineBudget,
                metrics,
                log);
    }

    /** Opens the peer socket, which the first decisions already use, and then applies the known list. */
    public Future<?> start(ListUpdate known) {
        Future<?> opened = peerListen == null ? Future.succeededFuture() : peerSocket.listen(peerListen);
        return opened.onSuccess(v -> {
            coordinator.onListUpdate(known, true);
            if (listPushed) {
                // the balancer does not request a watch in this mode, but the updates come from a watch as well
                discoveryWatch.start(known.revision());
            }
        });
    }

    /**
     * Completes once discovery has sent its list, is unreachable, or has not answered for five seconds. The list that a
     * process starts with may be outdated by the downtime of its machine. The process is expected to know the changes
     * since then from the first request on, so it should get no request before.
     */
    public Future<Void> awaitFirstList() {
        Promise<Void> done = Promise.promise();
        discoveryWatch.firstResult().onComplete(v -> done.tryComplete());
        vertx.setTimer(FIRST_LIST_TIMEOUT_MS, t -> done.tryComplete());
        return done.future();
    }

    /**
     * Sends this process's own server a request that it rejects, through the code that serves call attempts, so that
     * the classes of both sides are loaded before the first client's request.
     */
    public Future<Void> warmUp(Address self) {
        Promise<Void> done = Promise.promise();
        warmUp(self, done, MAX_WARM_UP_REQUESTS);
        vertx.setTimer(WARM_UP_TIMEOUT_MS, t -> done.tryComplete());
        return done.future();
    }

    private void warmUp(Address self, Promise<Void> done, int requestsLeft) {
        ForwardedRequest message = new ForwardedRequest(HttpMethod.POST, "/", "warm-up", null, Buffer.buffer(), 0);
        subchannelClient.start(message, self.toString(), 0, CallAttempt.withoutRpc(() -> {
            // the process to be replaced shares the address and may have received the request instead
            if (channelServer.hasReceivedRequest() || requestsLeft <= 1) {
                done.tryComplete();
            } else {
                warmUp(self, done, requestsLeft - 1);
            }
        }));
    }

    /** Accepts the connections waiting in the backlog and leaves the addresses to another process that serves there. */
    public void handOverListeners() {
        peerSocket.close();
        transport.handOverClientListener();
    }

    /** Accepts the connections waiting in the backlog and then no further ones, as the process is ending. */
    public void stopAccepting() {
        transport.handOverClientListener();
    }

    /** Whether clients can still connect to this process. */
    public boolean acceptsClients() {
        return transport.acceptsClients();
    }

    /** Listens at the addresses again after the other process has ended. */
    public void resumeListening(Address clientListen) {
        transport.resumeClientListener(new InetSocketAddress(clientListen.host(), clientListen.port()));
        if (peerListen != null) {
            peerSocket.listen(peerListen).onFailure(e -> log.line("peer socket error", String.valueOf(e.getMessage())));
        }
    }

    /** Sets the listener for datagrams about settings; without one, they go to the balancer, which drops them. */
    public void onSettingsDatagram(BiConsumer<Integer, byte[]> listener) {
        settingsListener = listener;
    }

    private void onDatagram(int peer, byte[] bytes) {
        if (settingsListener != null && Gossip.isGossipDatagram(bytes)) {
            settingsListener.accept(peer, bytes);
        } else {
            coordinator.report(new BalancerEvent.PeerMessageReceived(peer, bytes));
        }
    }

    /** Uses another discovery service from now on; the known list, the subchannels and the RPCs are kept. */
    public void switchDiscovery(Address next) {
        discoveryWatch.switchTo(next);
    }

    public ChannelServer server() {
        return channelServer;
    }

    public RpcCoordinator<?> coordinator() {
        return coordinator;
    }

    @Override
    public Runnable startAttempt(ForwardedRequest message, String address, long remainingMicros, CallAttempt attempt) {
        return subchannelClient.start(message, address, remainingMicros, attempt);
    }

    @Override
    public void probeLoad(String subchannel, String address) {
        subchannelClient.probe(
                address,
                () -> !coordinator.bans().contains(subchannel),
                (outcome, load) -> coordinator.report(new BalancerEvent.Probed(subchannel, outcome, load)));
    }

    @Override
    public void sendToPeer(int peer, byte[] bytes) {
        peerSocket.send(peer, bytes);
    }

    @Override
    public void watchList(long revision) {
        discoveryWatch.start(revision);
    }

    @Override
    public long schedule(long delayMicros, Runnable action) {
        return vertx.setTimer(Math.max(1, (delayMicros + 999) / 1000), t -> action.run());
    }

    @Override
    public void cancelTimer(long timer) {
        vertx.cancelTimer(timer);
    }

    @Override
    public void log(String line) {
        log.line("balancer", line);
    }
}
