package saffronferry.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import saffronferry.Balancer;
import saffronferry.BalancerAction;
import saffronferry.BalancerEvent;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.Contract.WorkerInfo;
import saffronferry.HandoverState;
import saffronferry.ops.Bans;
import saffronferry.ops.Metrics;
import saffronferry.ops.Metrics.Result;

/**
 * Owns the state of all open RPCs. It consults the balancer, executes the actions it returns, and ensures that
 * each RPC gets exactly one final answer, whatever fails. Not thread-safe: confined to the event loop thread.
 *
 * @param <M> a client's message in the form of its protocol
 */
public final class RpcCoordinator<M> implements CallAttempt.Listener {
    /** The balancer is ticked again after a failed tick: without ticks, held requests would never be sent. */
    private static final long TICK_RETRY_DELAY_US = 25_000;

    private final Balancer balancer;
    private final Clock clock;
    private final OutboundOperations<M> outbound;
    private final Metrics metrics;
    private final ResolverResult resolverResult = new ResolverResult();
    private final Map<Long, Rpc<M>> openRpcs = new HashMap<>();
    private final Set<String> namesInUse = new HashSet<>();
    private final ArrayDeque<Supplier<List<BalancerAction>>> pendingWork = new ArrayDeque<>();
    private boolean processing;
    private long lastId;
    private long lastDeadline = Long.MAX_VALUE;
    private int unansweredCount;

    /** Creates a coordinator that counts answers and attempts by class in {@code metrics}. */
    public RpcCoordinator(Balancer balancer, Clock clock, OutboundOperations<M> outbound, Metrics metrics) {
        this.balancer = balancer;
        this.clock = clock;
        this.outbound = outbound;
        this.metrics = metrics;
    }

    // ---- client side ----

    /** Whether an RPC with this name is open, or answered with a call attempt still running. */
    public boolean isNameInUse(String name) {
        return namesInUse.contains(name);
    }

    /**
     * Opens an RPC whose name is not in use. The channel receives its single final answer.
     *
     * @return the id for {@link #clientDisconnected}
     */
    public long open(RpcInfo info, M message, Channel channel) {
        long id = ++lastId;
        long now = clock.now();
        long deadline = Math.min(now + info.remaining(), lastDeadline);
        Rpc<M> rpc = new Rpc<>(id, info.name(), info.rpcClass(), message, deadline, channel);
        openRpcs.put(id, rpc);
        namesInUse.add(rpc.name);
        unansweredCount++;
        rpc.deadlineTimer = outbound.schedule(Math.max(0, deadline - now), () -> expire(rpc));
        Request request =
                new Request(id, info.rpcClass(), info.tenant(), rpc.deadline, info.slots(), info.clientRetry());
        process(() -> {
            try {
                return balancer.pick(clock.now(), request);
            } catch (RuntimeException | Error e) {
                // an RPC that the balancer lost through an error would otherwise get no answer
                answer(rpc, Result.ERRORS, Channel::failed);
                throw e;
            }
        });
        return id;
    }

    /** Caps the deadlines of RPCs opened from now on at the given time from now, however long their clients wait. */
    public void capDeadlines(long ms) {
        lastDeadline = clock.now() + ms * 1000;
    }

    /** Reports that the client has closed its connection. */
    public void clientDisconnected(long id) {
        Rpc<M> rpc = openRpcs.get(id);
        if (rpc != null && !rpc.answered()) {
            answer(rpc, null, channel -> {});
            report(new BalancerEvent.ClientGone(id));
        }
    }

    /** The number of RPCs that still await their final answer. */
    public int unansweredCount() {
        return unansweredCount;
    }

    private void expire(Rpc<M> rpc) {
        for (CallAttempt attempt : new ArrayList<>(rpc.attempts)) {
            cancel(attempt, Outcome.TIMEOUT);
        }
        // answers at the deadline even if the balancer decided nothing for the RPC
        process(() -> {
            answer(rpc, Result.ERRORS, Channel::failed);
            return List.of();
        });
    }

    /**
     * Ends an RPC with its final answer; every RPC ends here, exactly once.
     *
     * @param result the result to count, or null if the client has disconnected, which is not counted
     */
    private void answer(Rpc<M> rpc, Result result, Consumer<Channel> answer) {
        Channel channel = rpc.channel;
        if (channel == null) {
            return;
        }
        rpc.channel = null;
        outbound.cancelTimer(rpc.deadlineTimer);
        // an unsent attempt would run without a client; it is cancelled even if running attempts may not be
        for (CallAttempt attempt : new ArrayList<>(rpc.attempts)) {
            if (!attempt.mayHaveBeenSent()) {
                cancel(attempt, Outcome.NOT_SENT);
            }
        }
        removeIfDone(rpc);
        unansweredCount--;
        if (result != null) {
            metrics.recordResult(rpc.rpcClass, result);
        }
        answer.accept(channel);
    }

    private void removeIfDone(Rpc<M> rpc) {
        if (rpc.answered() && rpc.openAttempts == 0) {
            openRpcs.remove(rpc.id);
            namesInUse.remove(rpc.name);
        }
    }

    // ---- events for the balancer ----

    /** Applies an update of the list; {@code warmCopy}: the list as it was before a restart. */
    public void onListUpdate(ListUpdate update, boolean warmCopy) {
        List<WorkerInfo> entries = resolverResult.apply(update);
        ListKind kind = warmCopy ? ListKind.WARM_COPY : update.complete() ? ListKind.WHOLE : ListKind.CHANGES;
        report(new BalancerEvent.Resolved(kind, entries));
        // an attempt that is still connecting would send its first byte to a draining subchannel too late
        cancelUnsentAttempts(subchannel -> !resolverResult.inService(subchannel));
    }

    /** Cancels attempts at matching subchannels of which nothing has been sent yet. */
    private void cancelUnsentAttempts(Predicate<String> subchannels) {
        for (Rpc<M> rpc : new ArrayList<>(openRpcs.values())) {
            for (CallAttempt attempt : new ArrayList<>(rpc.attempts)) {
                if (!attempt.mayHaveBeenSent() && subchannels.test(attempt.subchannel)) {
                    cancel(attempt, Outcome.NOT_SENT);
                }
            }
        }
    }

    public void report(BalancerEvent event) {
        process(() -> balancer.report(clock.now(), event));
    }

    // ---- operator side ----

    /** Replaces the bans: banned subchannels get no new attempts, while running attempts continue. */
    public void setBans(Bans next) {
        Bans previous = resolverResult.bans();
        List<WorkerInfo> changed = resolverResult.setBans(next, clock.now());
        if (!changed.isEmpty()) {
            report(new BalancerEvent.Resolved(ListKind.CHANGES, changed));
        }
        // the balancer cannot take back an attempt whose connection is still being established
        cancelUnsentAttempts(subchannel -> next.contains(subchannel) && !previous.contains(subchannel));
    }

    /** The state for another process of this dispatcher that runs at the same time, during a replacement. */
    public HandoverState handoverState() {
        return balancer.handoverState();
    }

    public Bans bans() {
        return resolverResult.bans();
    }

    /** Whether the id is on the list, was removed from it recently, or is banned. */
    public boolean isKnownSubchannel(String subchannel) {
        return resolverResult.isKnown(subchannel);
    }

    /** The current values of the gauges; counters are kept in {@link Metrics}. */
    public Metrics.Snapshot snapshot() {
        return new Metrics.Snapshot(
                unansweredCount,
                resolverResult.size(),
                resolverResult.bannedCount() + balancer.avoidedWorkers(),
                SharingMetrics.of(balancer.sharing()));
    }

    @Override
    public void written(CallAttempt attempt) {
        metrics.recordAttempt(attempt.rpcClass);
    }

    @Override
    public void progressed(CallAttempt attempt, boolean started) {
        report(new BalancerEvent.AttemptProgressed(attempt.rpcId, attempt.index, started));
    }

    @Override
    public void ended(CallAttempt attempt, Outcome outcome, String result, Report load) {
        Rpc<M> rpc = openRpcs.get(attempt.rpcId);
        rpc.openAttempts--;
        if (outcome == Outcome.OK) {
            answer(rpc, Result.OK, channel -> channel.served(result));
        } else if (attempt.rejected) {
            // retrying an invalid request would count as a failure of one healthy subchannel after the other
            answer(rpc, Result.ERRORS, Channel::failed);
        }
        boolean answered = rpc.answered();
        removeIfDone(rpc);
        report(new BalancerEvent.AttemptEnded(
                attempt.rpcId, attempt.index, outcome, clock.now() - attempt.createdAt, answered, load));
    }

    private void cancel(CallAttempt attempt, Outcome outcome) {
        if (!attempt.isEnded()) {
            attempt.onCancel.run();
            attempt.ended(outcome, null);
        }
    }

    // ---- actions requested by the balancer ----

    /** Executes actions; events they cause are queued, so that calls into the balancer are never nested. */
    private void process(Supplier<List<BalancerAction>> work) {
        pendingWork.add(work);
        if (processing) {
            return;
        }
        processing = true;
        for (Supplier<List<BalancerAction>> next = pendingWork.poll(); next != null; next = pendingWork.poll()) {
            Supplier<List<BalancerAction>> current = next;
            runLoggingErrors(() -> current.get().forEach(action -> runLoggingErrors(() -> execute(action))));
        }
        processing = false;
    }

    /**
     * Logs an exception instead of passing it on, so that a failure in one RPC neither ends the process nor skips the
     * work of the others. This includes errors: if one left {@link #process}, {@code processing} would stay true and
     * no later work would ever run.
     */
    private void runLoggingErrors(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | Error e) {
            StackTraceElement[] trace = e.getStackTrace();
            outbound.log("internal error: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void execute(BalancerAction action) {
        if (action instanceof BalancerAction.StartAttempt start) {
            startAttempt(start);
        } else if (action instanceof BalancerAction.CancelAttempt cancel) {
            Rpc<M> rpc = openRpcs.get(cancel.rpc());
            if (rpc != null) {
                cancel(rpc.attempts.get(cancel.attempt()), Outcome.CANCELLED);
            }
        } else if (action instanceof BalancerAction.Refuse refuse) {
            answerIfOpen(refuse.rpc(), Result.SHED, channel -> channel.refused(refuse.retryAfter()));
        } else if (action instanceof BalancerAction.Fail fail) {
            answerIfOpen(fail.rpc(), Result.ERRORS, Channel::failed);
        } else if (action instanceof BalancerAction.Probe probe) {
            probe(probe.subchannel());
        } else if (action instanceof BalancerAction.SendToPeer send) {
            outbound.sendToPeer(send.peer(), send.bytes());
        } else if (action instanceof BalancerAction.WatchWorkerList) {
            outbound.watchList(resolverResult.revision());
        } else if (action instanceof BalancerAction.StartTimer timer) {
            outbound.schedule(timer.delay(), () -> tick(timer.token()));
        }
    }

    private void startAttempt(BalancerAction.StartAttempt action) {
        Rpc<M> rpc = openRpcs.get(action.rpc());
        if (rpc == null) {
            throw new IllegalStateException("attempt for an RPC that is not open");
        }
        long now = clock.now();
        CallAttempt attempt =
                new CallAttempt(rpc.id, rpc.rpcClass, rpc.attempts.size(), now, action.subchannel(), this);
        rpc.attempts.add(attempt);
        rpc.openAttempts++;
        String address = resolverResult.address(action.subchannel());
        if (rpc.answered() || now >= rpc.deadline) {
            attempt.ended(Outcome.NOT_SENT, null);
        } else if (resolverResult.bans().contains(action.subchannel())) {
            // the action may have been decided before the ban
            attempt.ended(Outcome.NOT_SENT, null);
        } else if (address == null) {
            attempt.ended(Outcome.CONNECT_FAILED, null);
        } else {
            try {
                attempt.onCancel = outbound.startAttempt(rpc.message, address, rpc.deadline - now, attempt);
            } catch (RuntimeException | Error e) {
                // an attempt that was never started would not end by itself
                attempt.ended(Outcome.CONNECT_FAILED, null);
                throw e;
            }
        }
    }

    private void answerIfOpen(long id, Result result, Consumer<Channel> answer) {
        Rpc<M> rpc = openRpcs.get(id);
        if (rpc != null) {
            answer(rpc, result, answer);
        }
    }

    private void probe(String subchannel) {
        String address = resolverResult.bans().contains(subchannel) ? null : resolverResult.address(subchannel);
        if (address == null) {
            report(new BalancerEvent.Probed(subchannel, Outcome.CONNECT_FAILED, null));
        } else {
            outbound.probeLoad(subchannel, address);
        }
    }

    private void tick(long token) {
        process(() -> {
            try {
                return balancer.tick(clock.now(), token);
            } catch (RuntimeException | Error e) {
                outbound.schedule(TICK_RETRY_DELAY_US, () -> tick(token));
                throw e;
            }
        });
    }
}
