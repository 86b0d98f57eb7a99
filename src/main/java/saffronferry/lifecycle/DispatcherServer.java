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
import saffronferry.BalancerEvent;
import saffronferry.Contract.JobClass;
import saffronferry.HandoverState;
import saffronferry.limit.AcceptGate;
import saffronferry.limit.DescriptorBudget;
import saffronferry.log.BoundedLog;
import saffronferry.ops.Bans;
import saffronferry.ops.DrainState;
import saffronferry.ops.Metrics;
import saffronferry.settings.SettingsReader;
import saffronferry.state.RpcInfo;
import saffronferry.wire.BoundedTransport;
import saffronferry.wire.ConsoleServer;
import saffronferry.wire.DispatcherNetwork;

/** A dispatcher on real sockets, from its start to the end of its drain. Everything runs on one event loop. */
final class DispatcherServer {
    /** New connections arrive for this long after SIGTERM; later RPCs must be answered before SIGKILL. */
    private static final long ACCEPT_AFTER_SIGTERM_MS = 500;
    /** SIGKILL comes at the earliest 700 ms after the longest deadline, of which at most this much counts. */
    private static final long MAX_COUNTED_DEADLINE_MS = 3_000;

    /** RPCs that arrive late in the shutdown are answered by this long after the longest counted deadline. */
    private static final long AFTER_COUNTED_DEADLINE_MS = 300;
    /** The last connections are accepted this long before the longest counted deadline has passed. */
    private static final long LAST_ACCEPT_BEFORE_DEADLINE_MS = 100;
    /** From the last accept on, partly received requests have this long to complete and be refused. */
    private static final long PARTIAL_REQUEST_MS = 400;
    /** How often the shutdown checks for partly received requests and unsent responses. */
    private static final long SHUTDOWN_CHECK_MS = 20;
    /** A response counts when its last byte has left, so the process waits this long before it ends. */
    private static final long FLUSH_MS = 50;

    /** How often Vert.x checks for a blocked event loop, which it only logs; the watchdog ends the process. */
    private static final long BLOCKED_THREAD_CHECK_MS = 5_000;
    /** Descriptors opened after the open ones are counted: those of the selector, two sockets, a file and others. */
    private static final int DESCRIPTORS_STILL_TO_OPEN = 8;
    /**
     * How long a drain may continue after the deadline of the last RPC, which normally ends it. A hanging loop is
     * handled by the watchdog.
     */
    private static final long DRAIN_SLACK_MS = 2_000;

    private final Config config;
    private final Vertx vertx;
    private final Context context;
    private final BoundedLog log;
    private final DescriptorBudget descriptors;
    private final BoundedTransport transport;
    private final Metrics metrics;
    private final DrainState drain = new DrainState();
    private final CountDownLatch drained = new CountDownLatch(1);
    private DispatcherNetwork wire;
    /** Null if settings do not change at run time. */
    private EffectiveSettings effectiveSettings;

    private Watchdog watchdog;
    private volatile boolean closing;
    private BanFile banFile;
    private ConsoleHandler consoleHandler;
    /** Null without a console: then no process is replaced under load. */
    private SiblingMonitor siblingMonitor;

    private Bans bans = Bans.NONE;
    private boolean ready;
    private boolean lastConnectionsAccepted;
    private Runnable onFatalFailure = () -> {};

    /**
     * Creates a dispatcher without starting it.
     *
     * @throws IllegalArgumentException if the permitted number of file descriptors is too small
     */
    DispatcherServer(Config config) {
        this(config, new BoundedLog(), BoundedTransport::new);
    }

    /** Uses another transport, so that tests can make system calls fail. */
    DispatcherServer(Config config, BoundedLog log, BiFunction<AcceptGate, BoundedLog, BoundedTransport> transports) {
        this.config = config;
        this.log = log;
        descriptors = descriptors(config);
        transport = transports.apply(new AcceptGate(descriptors), log);
        descriptors.addReleaseListener(transport::onDescriptorFreed);
        metrics = new Metrics(
                config.settings.settings.classes().stream().map(c -> c.name()).toList());
        vertx = new VertxBuilder(new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        .setBlockedThreadCheckInterval(BLOCKED_THREAD_CHECK_MS))
                .findTransport(transport)
                .init()
                .vertx();
        context = vertx.getOrCreateContext();
        setHangTimeout(Watchdog.HANG_TIMEOUT_MS);
        if (config.console != null) {
            banFile = new BanFile(config.folder, config.fileName());
            bans = ConsoleHandler.readInitialBans(banFile, log);
            ProcessRegistry registry = new ProcessRegistry(config.folder, config.fileName());
            siblingMonitor = new SiblingMonitor(vertx, registry, banFile, descriptors, log);
        }
        transport.onListenerLost(() -> fail("the listening socket is closed"));
    }

    private static DescriptorBudget descriptors(Config config) {
        int processLimit = ProcessLimits.maxOpenFiles();
        String key = processLimit < config.maxDescriptors
                ? "the process's own limit, below the key limits.sockets"
                : "configuration key limits.sockets";
        try {
            return new DescriptorBudget(
                    Math.min(processLimit, config.maxDescriptors),
                    ProcessLimits.openFiles() + DESCRIPTORS_STILL_TO_OPEN);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(key + ": " + e.getMessage());
        }
    }

    /** Sets how long the event loop may hang before this dispatcher is considered failed. */
    void setHangTimeout(long ms) {
        watchdog = new Watchdog(ms, () -> fail("the event loop hangs"));
    }

    void runOnLoop(Runnable task) {
        context.runOnContext(v -> task.run());
    }

    /** Sets what runs, on any thread, when this dispatcher can no longer serve. */
    void onFatalFailure(Runnable listener) {
        onFatalFailure = listener;
    }

    private void fail(String reason) {
        if (!closing) {
            log.line("fatal failure", reason);
            onFatalFailure.run();
        }
    }

    /** Starts the dispatcher; completes once it serves clients. */
    Future<Void> start() {
        Promise<Void> ready = Promise.promise();
        context.runOnContext(v -> startOnLoop().onComplete(ready));
        return ready.future();
    }

    Future<Void> close() {
        closing = true;
        watchdog.stop();
        return vertx.close();
    }

    private Future<Void> startOnLoop() {
        vertx.exceptionHandler(e -> log.line("internal error", String.valueOf(e)));
        watchdog.start(vertx);
        SettingsReader settings = config.settings;
        config.unreadableEntries.forEach(entry -> log.line("list entry left out", entry));
        effectiveSettings = config.agreement == null ? null : new EffectiveSettings(config, log);
        wire = new DispatcherNetwork(
                vertx,
                new DispatcherNetwork.Options(
                        config.discovery,
                        config.peerListen,
                        config.peers,
                        settings.settings.classes(),
                        effectiveSettings == null ? settings.tenants : effectiveSettings.tenantNames(),
                        config.listParser,
                        settings.reportField("free slots"),
                        settings.connectTimeout,
                        !settings.settings.listOnDemand()),
                new Balancer(settings.settings),
                metrics,
                descriptors,
                transport,
                log);
        Future<Void> console = Future.succeededFuture();
        if (config.console != null) {
            wire.coordinator().setBans(bans); // before the first decision
            console = openConsole();
        }
        if (effectiveSettings != null) {
            effectiveSettings.start(vertx, wire, metrics);
        }
        return console.compose(v -> wire.start(config.takeKnownList()))
                .onSuccess(v -> startSiblingMonitor())
                .compose(v -> listenAndAwaitFirstList())
                .compose(v -> siblingMonitor == null ? Future.succeededFuture() : siblingMonitor.announceServing())
                .onSuccess(v -> {
                    ready = true;
                    wire.server().markReady();
                    log.line("serving", config.listen.toString());
                })
                .mapEmpty();
    }

    /**
     * While another process serves, this one listens as late as possible: from then on it gets a part of the new
     * clients, but has few descriptors until the other one leaves the address to it.
     */
    private Future<Void> listenAndAwaitFirstList() {
        Future<Void> firstList = wire.awaitFirstList();
        boolean othersServe = siblingMonitor != null && siblingMonitor.hasSiblings();
        return (othersServe ? firstList : Future.<Void>succeededFuture())
                .compose(v -> wire.server().listen(config.listen))
                .compose(v -> wire.warmUp(config.listen))
                .compose(v -> firstList);
    }

    private void startSiblingMonitor() {
        if (siblingMonitor != null) {
            siblingMonitor.start(wire.coordinator()::handoverState, new SiblingMonitor.Listener() {
                @Override
                public void siblingStateChanged(HandoverState state) {
                    wire.coordinator().report(new BalancerEvent.OtherProcessState(state));
                }

                @Override
                public void bansChanged(Bans next) {
                    consoleHandler.applyBansFromFile(next);
                }

                @Override
                public void replacedChanged(boolean isReplaced) {
                    setReplaced(isReplaced);
                }

                @Override
                public boolean acceptsClients() {
                    return wire.acceptsClients();
                }
            });
        }
    }

    /** Hands clients over to another process that serves the address now, or takes them back when it has ended. */
    private void setReplaced(boolean isReplaced) {
        if (drain.isShuttingDown()) {
            return;
        }
        log.line(isReplaced ? "replaced" : "not replaced any more", "at " + config.listen);
        drain.setReplaced(isReplaced);
        if (isReplaced) {
            wire.handOverListeners();
        } else {
            wire.resumeListening(config.listen);
        }
        applyDrainPhase();
    }

    private Future<Void> openConsole() {
        consoleHandler = new ConsoleHandler(
                vertx,
                wire.coordinator(),
                metrics,
                transport.controlUsage(),
                banFile,
                new ConsoleHandler.ServerControl() {
                    @Override
                    public boolean isReady() {
                        return ready && !drain.isShuttingDown();
                    }

                    @Override
                    public void startDrain() {
                        drain.start(now());
                        applyDrainPhase();
                    }

                    @Override
                    public boolean cancelDrain() {
                        boolean open = drain.stop();
                        applyDrainPhase();
                        return open;
                    }
                },
                log);
        ProcessUsage.startSampling(vertx, transport.controlUsage());
        return new ConsoleServer(vertx, descriptors, transport, consoleHandler).listen(config.console);
    }

    /**
     * Reloads the configuration. SIGHUP runs this on its own thread, since reading a file would block the event loop;
     * one reload at a time, so that the last of several prevails. Only {@code discovery} is applied, and with the
     * key {@code agree} also the settings that {@link saffronferry.agree.DynamicSetting} names.
     */
    synchronized void reload(Supplier<Config> read) {
        try {
            Config next = read.get();
            context.runOnContext(v -> applyReloaded(next));
        } catch (IllegalArgumentException e) {
            // the dispatcher continues with the old configuration
            context.runOnContext(v -> log.line("configuration not reloaded", e.getMessage()));
        }
    }

    private void applyReloaded(Config next) {
        try {
            if (effectiveSettings != null) {
                effectiveSettings.applyFile(next);
            }
            wire.switchDiscovery(next.discovery);
        } catch (IllegalArgumentException e) {
            log.line("configuration not reloaded", e.getMessage());
        }
    }

    /** Runs at SIGTERM; the process ends when it returns. */
    void awaitDrain() {
        boolean isReplaced = siblingMonitor != null && siblingMonitor.isReplaced();
        context.runOnContext(v -> shutDown(isReplaced));
        try {
            // Ending earlier than necessary would lose RPCs that are still open.
            drained.await(maxOverClassesMs(RpcInfo::maxRemaining) + DRAIN_SLACK_MS, TimeUnit.MILLISECONDS);
            if (siblingMonitor != null) {
                siblingMonitor.unregister();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Clients may keep using their connections, and no other dispatcher may be reachable. Their requests are therefore
     * served as long as they can still be answered before SIGKILL. RPCs that are already open keep their deadlines.
     */
    private void shutDown(boolean isReplaced) {
        long countedDeadline = Math.max(
                ACCEPT_AFTER_SIGTERM_MS, Math.min(maxOverClassesMs(JobClass::deadline), MAX_COUNTED_DEADLINE_MS));
        log.line("draining", wire.coordinator().unansweredCount() + " RPCs are open");
        if (drain.isReplaced() != isReplaced) {
            setReplaced(isReplaced);
        }
        drain.shutDown(now(), countedDeadline - LAST_ACCEPT_BEFORE_DEADLINE_MS, isReplaced);
        applyDrainPhase();
        vertx.setTimer(
                ACCEPT_AFTER_SIGTERM_MS,
                t -> wire.coordinator()
                        .capDeadlines(countedDeadline + AFTER_COUNTED_DEADLINE_MS - ACCEPT_AFTER_SIGTERM_MS));
    }

    /** Applies the phase of the drain to clients, now and whenever it changes over time. */
    private void applyDrainPhase() {
        DrainState.Phase phase = drain.phase(now());
        wire.server().setDrainPhase(phase, drain.isShuttingDown(), drain.isReplaced());
        long untilNextPhase = drain.msUntilNextPhase(now());
        if (untilNextPhase >= 0) {
            vertx.setTimer(Math.max(1, untilNextPhase), t -> applyDrainPhase());
        } else if (drain.isShuttingDown() && !lastConnectionsAccepted) {
            lastConnectionsAccepted = true;
            // Connections left in the accept queue, or entering it later, would be reset when the process ends.
            wire.stopAccepting();
            long partialRequestsUntil = now() + PARTIAL_REQUEST_MS;
            vertx.setPeriodic(SHUTDOWN_CHECK_MS, check -> {
                if (wire.coordinator().unansweredCount() == 0
                        && (now() >= partialRequestsUntil || wire.server().isSettled())) {
                    vertx.cancelTimer(check);
                    vertx.setTimer(FLUSH_MS, t -> drained.countDown());
                }
            });
        }
    }

    /** The maximum over all classes, in milliseconds. */
    private long maxOverClassesMs(ToLongFunction<JobClass> micros) {
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
