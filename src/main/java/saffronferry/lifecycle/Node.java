package saffronferry.lifecycle;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.impl.VertxBuilder;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import saffronferry.Balancer;
import saffronferry.Beside;
import saffronferry.Contract.JobClass;
import saffronferry.News;
import saffronferry.limit.AcceptGate;
import saffronferry.limit.Descriptors;
import saffronferry.log.BoundedLog;
import saffronferry.ops.Bans;
import saffronferry.ops.Drain;
import saffronferry.ops.Figures;
import saffronferry.settings.SettingsReader;
import saffronferry.state.RpcInfo;
import saffronferry.wire.BoundedTransport;
import saffronferry.wire.ConsoleServer;
import saffronferry.wire.Wire;

/** One real dispatcher, from start to the end of its drain. Everything runs on one event loop. */
final class Node {
    /** How long after SIGTERM new connections come; what comes later must be answered before SIGKILL. */
    private static final long STILL_LISTEN_MS = 500;
    /** SIGKILL comes no sooner than the longest deadline, counted as this where it is longer, and 700 ms. */
    private static final long LONGEST_MS = 3_000;

    private static final long AFTER_LONGEST_MS = 300;
    private static final long LAST_INTAKE_MS = 100;
    /** From the last intake on: half requests have so long to become whole, and get a refusal. */
    private static final long HALF_MS = 400;
    /** How often it is looked whether half requests, and answers that are yet to leave, are done. */
    private static final long LOOK_MS = 20;
    /** An answer counts when its last byte has left; the process must not end before that. */
    private static final long FLUSH_MS = 50;

    /** How often the library looks for a loop that stands still, to log it; our watchdog acts on it. */
    private static final long BLOCKED_LOOK_MS = 5_000;
    /** What opens after the descriptors are counted: the selector's, our two sockets, a file and more. */
    private static final int STILL_TO_OPEN = 8;
    /**
     * How long a drain is waited for beyond the last RPC's deadline, which ends it. A loop that hangs is the
     * watchdog's.
     */
    private static final long DRAIN_SLACK_MS = 2_000;

    private final Config config;
    private final Vertx vertx;
    private final Context context;
    private final BoundedLog log;
    private final Descriptors descriptors;
    private final BoundedTransport transport;
    private final Figures figures;
    private final Drain drain = new Drain();
    private final CountDownLatch drained = new CountDownLatch(1);
    private Wire wire;
    /** Null where settings hold as they were read at the start. */
    private SettingsInForce inForce;

    private Watchdog watchdog;
    private volatile boolean closing;
    private BanFile banFile;
    private Console desk;
    /** Null where there is no console, and so nobody who would replace a process under load. */
    private Company company;

    private Bans bans = Bans.NONE;
    private boolean ready;
    private boolean lastIntake;
    private Runnable onUnable = () -> {};

    /**
     * Makes a dispatcher that is yet to start.
     *
     * @throws IllegalArgumentException if it cannot do with the descriptors it may hold
     */
    Node(Config config) {
        this(config, new BoundedLog(), BoundedTransport::new);
    }

    /** With another transport, so that tests can make the system's calls fail. */
    Node(Config config, BoundedLog log, BiFunction<AcceptGate, BoundedLog, BoundedTransport> transports) {
        this.config = config;
        this.log = log;
        descriptors = descriptors(config);
        transport = transports.apply(new AcceptGate(descriptors), log);
        descriptors.onFree(transport::freed);
        figures = new Figures(
                config.settings.settings.classes().stream().map(c -> c.name()).toList());
        vertx = new VertxBuilder(new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        .setBlockedThreadCheckInterval(BLOCKED_LOOK_MS))
                .findTransport(transport)
                .init()
                .vertx();
        context = vertx.getOrCreateContext();
        patience(Watchdog.GIVE_UP_MS);
        if (config.console != null) {
            banFile = new BanFile(config.folder, config.fileName());
            bans = Console.atStart(banFile, log);
            Succession succession = new Succession(config.folder, config.fileName());
            company = new Company(vertx, succession, banFile, descriptors, log);
        }
        transport.onListenerLost(() -> unable("the listening socket is closed"));
    }

    private static Descriptors descriptors(Config config) {
        int most = ProcessLimits.most();
        String key = most < config.sockets
                ? "the process's own limit, below the key limits.sockets"
                : "configuration key limits.sockets";
        try {
            return new Descriptors(Math.min(most, config.sockets), ProcessLimits.open() + STILL_TO_OPEN);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(key + ": " + e.getMessage());
        }
    }

    /** How long the loop may stand still before this dispatcher is given up. */
    void patience(long ms) {
        watchdog = new Watchdog(ms, () -> unable("the event loop hangs"));
    }

    void onLoop(Runnable what) {
        context.runOnContext(v -> what.run());
    }

    /** Runs something, on any thread, when this dispatcher cannot serve any more. */
    void onUnable(Runnable listener) {
        onUnable = listener;
    }

    private void unable(String why) {
        if (!closing) {
            log.line("cannot serve any more", why);
            onUnable.run();
        }
    }

    /** Completes once clients are served. */
    Future<Void> start() {
        Promise<Void> ready = Promise.promise();
        context.runOnContext(v -> begin().onComplete(ready));
        return ready.future();
    }

    Future<Void> close() {
        closing = true;
        watchdog.stop();
        return vertx.close();
    }

    private Future<Void> begin() {
        vertx.exceptionHandler(e -> log.line("internal error", String.valueOf(e)));
        watchdog.start(vertx);
        SettingsReader s = config.settings;
        config.unreadable.forEach(bad -> log.line("list entry left out", bad));
        inForce = config.agree == null ? null : new SettingsInForce(config, log);
        wire = new Wire(
                vertx,
                new Wire.Options(
                        config.discovery,
                        config.peerListen,
                        config.peers,
                        s.settings.classes(),
                        inForce == null ? s.tenants : inForce.names(),
                        config.lists,
                        s.fieldOf("free slots"),
                        s.connectTimeout,
                        !s.settings.listOnDemand()),
                new Balancer(s.settings),
                figures,
                descriptors,
                transport,
                log);
        Future<Void> console = Future.succeededFuture();
        if (config.console != null) {
            wire.ledger().ban(bans); // before the first decision
            console = openConsole();
        }
        if (inForce != null) {
            inForce.start(vertx, wire, figures);
        }
        return console.compose(v -> wire.begin(config.takeKnown()))
                .onSuccess(v -> keepCompany())
                .compose(v -> wire.server().listen(config.listen))
                .compose(v -> wire.warmUp(config.listen))
                .compose(v -> wire.listed())
                .compose(v -> company == null ? Future.succeededFuture() : company.announce())
                .onSuccess(v -> {
                    ready = true;
                    wire.server().ready();
                    log.line("serving", config.listen.toString());
                })
                .mapEmpty();
    }

    private void keepCompany() {
        if (company != null) {
            company.keep(wire.ledger()::beside, new Company.Listener() {
                @Override
                public void told(Beside beside) {
                    wire.ledger().report(new News.RunsBeside(beside));
                }

                @Override
                public void banned(Bans next) {
                    desk.follow(next);
                }

                @Override
                public void replaced(boolean served) {
                    leave(served);
                }
            });
        }
    }

    /** Leaves clients to a process that serves in our place by now, or takes them again when it is gone. */
    private void leave(boolean served) {
        if (drain.ending()) {
            return;
        }
        log.line(served ? "replaced" : "not replaced any more", "at " + config.listen);
        drain.away(served);
        if (served) {
            wire.handOver();
        } else {
            wire.takeBack(config.listen);
        }
        followDrain();
    }

    private Future<Void> openConsole() {
        desk = new Console(
                vertx,
                wire.ledger(),
                figures,
                transport.control(),
                banFile,
                new Console.Floor() {
                    @Override
                    public boolean ready() {
                        return ready && !drain.ending();
                    }

                    @Override
                    public void drain() {
                        drain.start(now());
                        followDrain();
                    }

                    @Override
                    public boolean undrain() {
                        boolean open = drain.stop();
                        followDrain();
                        return open;
                    }
                },
                log);
        OwnUse.keep(vertx, transport.control());
        return new ConsoleServer(vertx, descriptors, transport, desk).listen(config.console);
    }

    /**
     * SIGHUP runs this, on a thread of its own, since reading a file must not park the event loop; one at a
     * time, so that of several the last one's file prevails. Of the new configuration only {@code
     * discovery} is taken, and with the key {@code agree} what {@link saffronferry.agree.DynamicSetting} names.
     */
    synchronized void reload(Supplier<Config> read) {
        try {
            Config next = read.get();
            context.runOnContext(v -> follow(next));
        } catch (IllegalArgumentException e) {
            // guards against a faulty file ending a dispatcher that serves well with the old one
            context.runOnContext(v -> log.line("configuration not reloaded", e.getMessage()));
        }
    }

    private void follow(Config next) {
        try {
            if (inForce != null) {
                inForce.follow(next);
            }
            wire.follow(next.discovery);
        } catch (IllegalArgumentException e) {
            log.line("configuration not reloaded", e.getMessage());
        }
    }

    /** SIGTERM runs this: the process ends when it returns. */
    void awaitDrain() {
        boolean elsewhere = company != null && company.replaced();
        context.runOnContext(v -> drain(elsewhere));
        try {
            // danger: to end before SIGKILL comes loses what was taken and is not answered yet
            drained.await(longest(RpcInfo::longest) + DRAIN_SLACK_MS, TimeUnit.MILLISECONDS);
            if (company != null) {
                company.ended();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Clients keep using the connections they have, and no other dispatcher may be near: these are served for
     * as long as what they ask can still be answered before SIGKILL. What was open before has its full time.
     */
    private void drain(boolean elsewhere) {
        long counted = Math.max(STILL_LISTEN_MS, Math.min(longest(JobClass::deadline), LONGEST_MS));
        log.line("draining", wire.ledger().unanswered() + " RPCs are open");
        if (drain.elsewhere() != elsewhere) {
            leave(elsewhere);
        }
        drain.end(now(), counted - LAST_INTAKE_MS, elsewhere);
        followDrain();
        vertx.setTimer(STILL_LISTEN_MS, t -> wire.ledger().endWithin(counted + AFTER_LONGEST_MS - STILL_LISTEN_MS));
    }

    /** Has clients treated as the drain's phase says, now and whenever it changes by itself. */
    private void followDrain() {
        Drain.Phase phase = drain.phase(now());
        wire.server().drain(phase, drain.ending(), drain.elsewhere());
        long next = drain.untilNext(now());
        if (next >= 0) {
            vertx.setTimer(Math.max(1, next), t -> followDrain());
        } else if (drain.ending() && !lastIntake) {
            lastIntake = true;
            // guards a request in the system's queue, or one that would come there yet, against our end
            wire.takeTheLast();
            long until = now() + HALF_MS;
            vertx.setPeriodic(LOOK_MS, look -> {
                if (wire.ledger().unanswered() == 0
                        && (now() >= until || wire.server().settled())) {
                    vertx.cancelTimer(look);
                    vertx.setTimer(FLUSH_MS, t -> drained.countDown());
                }
            });
        }
    }

    /** In milliseconds, over all classes. */
    private long longest(ToLongFunction<JobClass> micros) {
        return config.settings.settings.classes().stream()
                        .mapToLong(micros)
                        .max()
                        .orElse(0)
                / 1000;
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }
}
