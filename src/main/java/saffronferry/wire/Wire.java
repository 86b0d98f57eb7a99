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
import saffronferry.state.Ledger;
import saffronferry.state.ListUpdate;
import saffronferry.state.Ports;

/** Joins what is spoken on the sockets with what is kept in memory. */
public final class Wire implements Ports<HttpMessage> {
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
            boolean pushed) {}

    private static final long WARM_UP_MS = 500;
    private static final int MOST_WARM_UPS = 8;
    /** Of the 10 s in which a restarted process is to serve, the start itself takes the rest. */
    private static final long FIRST_LIST_MS = 5_000;

    private final Vertx vertx;
    private final BoundedLog log;
    private final BoundedTransport transport;
    private final SubchannelClient subchannels;
    private final DiscoveryWatch discovery;
    private final PeerSocket peers;
    private final Address peerListen;
    private final boolean pushed;
    private final Ledger<HttpMessage> ledger;
    private final ChannelServer server;
    private BiConsumer<Integer, byte[]> settings;

    public Wire(
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
        pushed = o.pushed();
        ledger = new Ledger<>(balancer, new Clock(), this, figures);
        AttemptRoom room = new AttemptRoom(descriptors, open -> ledger.report(new News.Room(open)));
        descriptors.onFree(() -> room.look(System.nanoTime() / 1_000_000));
        subchannels =
                new SubchannelClient(vertx, o.connectTimeout(), new LoadParser(o.freeSlots()), descriptors, room, log);
        discovery = new DiscoveryWatch(
                vertx,
                o.discovery(),
                o.lists(),
                u -> ledger.resolved(u, false),
                how -> ledger.report(new News.WatchLost(how)),
                descriptors,
                log);
        peers = new PeerSocket(vertx, o.peers(), (peer, bytes) -> heard(peer, bytes), transport.control(), log);
        server = new ChannelServer(vertx, new RpcParser(o.classes(), o.tenants()), ledger, transport, figures, log);
    }

    /** Opens the peers' socket, which the first decisions already use; then takes the known list in. */
    public Future<?> begin(ListUpdate known) {
        Future<?> open = peerListen == null ? Future.succeededFuture() : peers.listen(peerListen);
        return open.onSuccess(v -> {
            ledger.resolved(known, true);
            if (pushed) {
                // nobody asks for what is pushed, but on sockets it comes on a watch, too
                discovery.start(known.revision());
            }
        });
    }

    /**
     * Completes once discovery has told its list, cannot be reached, or has let us wait for five seconds. The
     * list that a process starts with may be as old as its machine was away: what changed meanwhile counts as
     * told from the first request on, so none should come before.
     */
    public Future<Void> listed() {
        Promise<Void> done = Promise.promise();
        discovery.firstWord().onComplete(v -> done.tryComplete());
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
        HttpMessage message = new HttpMessage(HttpMethod.POST, "/", "warm-up", null, Buffer.buffer(), 0);
        subchannels.start(message, self.toString(), 0, CallAttempt.unheard(() -> {
            // guards against a start that is cold since the process to be replaced has had the request
            if (server.heard() || left <= 1) {
                done.tryComplete();
            } else {
                warmUp(self, done, left - 1);
            }
        }));
    }

    /** Another process serves at our addresses: takes what waits there, and leaves them to it. */
    public void handOver() {
        peers.close();
        transport.handOver();
    }

    /** This process ends: takes what waits at our address, and lets no further connection come. */
    public void takeTheLast() {
        transport.handOver();
    }

    /** The other process is gone: listens at our addresses again. */
    public void takeBack(Address clients) {
        transport.takeBack(new InetSocketAddress(clients.host(), clients.port()));
        if (peerListen != null) {
            peers.listen(peerListen).onFailure(e -> log.line("peer socket", String.valueOf(e.getMessage())));
        }
    }

    /** Has datagrams that speak of settings told; where nobody asks for them they are dropped unread. */
    public void onSettings(BiConsumer<Integer, byte[]> listener) {
        settings = listener;
    }

    private void heard(int peer, byte[] bytes) {
        if (settings != null && Gossip.isGossipDatagram(bytes)) {
            settings.accept(peer, bytes);
        } else {
            ledger.report(new News.PeerSaid(peer, bytes));
        }
    }

    /** Asks another discovery from now on; the list held, the subchannels and the RPCs stay. */
    public void follow(Address next) {
        discovery.follow(next);
    }

    public ChannelServer server() {
        return server;
    }

    public Ledger<?> ledger() {
        return ledger;
    }

    @Override
    public Runnable start(HttpMessage message, String address, long remaining, CallAttempt attempt) {
        return subchannels.start(message, address, remaining, attempt);
    }

    @Override
    public void probe(String subchannel, String address) {
        subchannels.probe(
                address,
                () -> !ledger.bans().has(subchannel),
                (outcome, load) -> ledger.report(new News.Probed(subchannel, outcome, load)));
    }

    @Override
    public void tell(int peer, byte[] bytes) {
        peers.tell(peer, bytes);
    }

    @Override
    public void watch(long revision) {
        discovery.start(revision);
    }

    @Override
    public long wake(long delay, Runnable what) {
        return vertx.setTimer(Math.max(1, (delay + 999) / 1000), t -> what.run());
    }

    @Override
    public void unwake(long timer) {
        vertx.cancelTimer(timer);
    }

    @Override
    public void log(String line) {
        log.line("balancer", line);
    }
}
