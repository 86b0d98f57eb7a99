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
import saffronferry.Contract.JobClass;
import saffronferry.News;
import saffronferry.agree.Gossip;
import saffronferry.limit.AttemptRoom;
import saffronferry.limit.Descriptors;
import saffronferry.log.BoundedLog;
import saffronferry.ops.Figures;
import saffronferry.state.CallAttempt;
import saffronferry.state.Clock;
import saffronferry.state.ListUpdate;
import saffronferry.state.OutboundOperations;
import saffronferry.state.RpcCoordinator;

/** Joins what is spoken on the sockets with what is kept in memory. */
public final class DispatcherNetwork implements OutboundOperations<ForwardedRequest> {
    /** Names and figures that the speakers need. */
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

    private static final long WARM_UP_MS = 500;
    private static final int MOST_WARM_UPS = 8;
    /** Of the 10 s in which a restarted process is to serve, the start itself takes the rest. */
    private static final long FIRST_LIST_MS = 5_000;

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
            Options o,
            Balancer balancer,
            Figures figures,
            Descriptors descriptors,
            BoundedTransport transport,
            BoundedLog log) {
        this.vertx = vertx;
        this.log = log;
        this.transport = transport;
        peerListen = o.peerListen();
        listPushed = o.listPushed();
        coordinator = new RpcCoordinator<>(balancer, new Clock(), this, figures);
        AttemptRoom room = new AttemptRoom(descriptors, open -> coordinator.report(new News.Room(open)));
        descriptors.onFree(() -> room.look(System.nanoTime() / 1_000_000));
        subchannelClient =
                new SubchannelClient(vertx, o.connectTimeout(), new LoadReportParser(o.freeSlots()), descriptors, room, log);
        discoveryWatch = new DiscoveryWatch(
                vertx,
                o.discovery(),
                o.lists(),
                u -> coordinator.onListUpdate(u, false),
                how -> coordinator.report(new News.WatchLost(how)),
                descriptors,
                log);
        peerSocket = new PeerSocket(vertx, o.peers(), (peer, bytes) -> heard(peer, bytes), transport.controlSpend(), log);
        channelServer = new ChannelServer(vertx, new RpcParser(o.classes(), o.tenants()), coordinator, transport, figures, log);
    }

    /** Opens the peers' socket, which the first decisions already use; then takes the known list in. */
    public Future<?> start(ListUpdate known) {
        Future<?> open = peerListen == null ? Future.succeededFuture() : peerSocket.listen(peerListen);
        return open.onSuccess(v -> {
            coordinator.onListUpdate(known, true);
            if (listPushed) {
                // nobody asks for what is pushed, but on sockets it comes on a watch, too
                discoveryWatch.start(known.revision());
            }
        });
    }

    /**
     * Completes once discovery has told its list, cannot be reached, or has let us wait for five seconds. The
     * list that a process starts with may be as old as its machine was away: what changed meanwhile counts as
     * told from the first request on, so none should come before.
     */
    public Future<Void> awaitFirstList() {
        Promise<Void> done = Promise.promise();
        discoveryWatch.firstWord().onComplete(v -> done.tryComplete());
        vertx.setTimer(FIRST_LIST_MS, t -> done.tryComplete());
        return done.future();
    }

    /**
     * Sends our own server a request that it turns away, over the path that call attempts take: the classes
     * of both sides are loaded before the first client's request would have to wait for that.
     */
    public Future<Void> warmUp(Address self) {
        Promise<Void> done = Promise.promise();
        warmUp(self, done, MOST_WARM_UPS);
        vertx.setTimer(WARM_UP_MS, t -> done.tryComplete());
        return done.future();
    }

    private void warmUp(Address self, Promise<Void> done, int left) {
        ForwardedRequest message = new ForwardedRequest(HttpMethod.POST, "/", "warm-up", null, Buffer.buffer(), 0);
        subchannelClient.start(message, self.toString(), 0, CallAttempt.withoutRpc(() -> {
            // guards against a start that is cold since the process to be replaced has had the request
            if (channelServer.hasReceivedRequest() || left <= 1) {
                done.tryComplete();
            } else {
                warmUp(self, done, left - 1);
            }
        }));
    }

    /** Another process serves at our addresses: takes what waits there, and leaves them to it. */
    public void handOverListeners() {
        peerSocket.close();
        transport.handOverClientListener();
    }

    /** This process ends: takes what waits at our address, and lets no further connection come. */
    public void stopAccepting() {
        transport.handOverClientListener();
    }

    /** The other process is gone: listens at our addresses again. */
    public void resumeListening(Address clients) {
        transport.resumeClientListener(new InetSocketAddress(clients.host(), clients.port()));
        if (peerListen != null) {
            peerSocket.listen(peerListen).onFailure(e -> log.line("peer socket", String.valueOf(e.getMessage())));
        }
    }

    /** Has datagrams that speak of settings told; where nobody asks for them they are dropped unread. */
    public void onSettingsDatagram(BiConsumer<Integer, byte[]> listener) {
        settingsListener = listener;
    }

    private void heard(int peer, byte[] bytes) {
        if (settingsListener != null && Gossip.speaksOfSettings(bytes)) {
            settingsListener.accept(peer, bytes);
        } else {
            coordinator.report(new News.PeerSaid(peer, bytes));
        }
    }

    /** Asks another discovery from now on; the list held, the subchannels and the RPCs stay. */
    public void switchDiscovery(Address next) {
        discoveryWatch.follow(next);
    }

    public ChannelServer server() {
        return channelServer;
    }

    public RpcCoordinator<?> coordinator() {
        return coordinator;
    }

    @Override
    public Runnable startAttempt(ForwardedRequest message, String address, long remaining, CallAttempt attempt) {
        return subchannelClient.start(message, address, remaining, attempt);
    }

    @Override
    public void probeLoad(String subchannel, String address) {
        subchannelClient.probe(
                address,
                () -> !coordinator.bans().has(subchannel),
                (outcome, load) -> coordinator.report(new News.Probed(subchannel, outcome, load)));
    }

    @Override
    public void sendToPeer(int peer, byte[] bytes) {
        peerSocket.tell(peer, bytes);
    }

    @Override
    public void watchList(long revision) {
        discoveryWatch.start(revision);
    }

    @Override
    public long schedule(long delay, Runnable what) {
        return vertx.setTimer(Math.max(1, (delay + 999) / 1000), t -> what.run());
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
