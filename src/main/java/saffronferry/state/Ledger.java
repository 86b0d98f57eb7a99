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
import saffronferry.Beside;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.Contract.WorkerInfo;
import saffronferry.News;
import saffronferry.Step;
import saffronferry.ops.Bans;
import saffronferry.ops.Metrics;
import saffronferry.ops.Metrics.Result;

/**
 * The one owner of all open RPCs: it asks the balancer, carries out what it says, and sees to it that each
 * RPC gets exactly one final answer, whatever fails. For one thread, the event loop's.
 *
 * @param <M> a client's message in the form of its protocol
 */
public final class Ledger<M> implements CallAttempt.Listener {
    /** After a failure inside a tick the balancer is woken again: without ticks nothing held would leave. */
    private static final long TICK_AGAIN = 25_000;

    private final Balancer balancer;
    private final Clock clock;
    private final Ports<M> ports;
    private final Metrics figures;
    private final ResolverResult resolved = new ResolverResult();
    private final Map<Long, Rpc<M>> open = new HashMap<>();
    private final Set<String> names = new HashSet<>();
    private final ArrayDeque<Supplier<List<Step>>> waiting = new ArrayDeque<>();
    private boolean running;
    private long lastId;
    private long lastDeadline = Long.MAX_VALUE;
    private int unanswered;

    /** Counts answers and attempts in the figures, by class. */
    public Ledger(Balancer balancer, Clock clock, Ports<M> ports, Metrics figures) {
        this.balancer = balancer;
        this.clock = clock;
        this.ports = ports;
        this.figures = figures;
    }

    // ---- the client's side ----

    /** Whether an RPC of this name is open, or a call attempt of one that has had its answer. */
    public boolean holds(String name) {
        return names.contains(name);
    }

    /**
     * Takes an RPC in, of a name that is not held; the channel will get its one final answer. The id is for
     * {@link #clientGone}.
     */
    public long open(RpcInfo info, M message, Channel channel) {
        long id = ++lastId;
        long now = clock.now();
        long deadline = Math.min(now + info.remaining(), lastDeadline);
        Rpc<M> rpc = new Rpc<>(id, info.name(), info.rpcClass(), message, deadline, channel);
        open.put(id, rpc);
        names.add(rpc.name);
        unanswered++;
        rpc.timer = ports.wake(Math.max(0, deadline - now), () -> expire(rpc));
        Request request = new Request(id, info.rpcClass(), info.tenant(), rpc.deadline, info.slots(), info.repeat());
        run(() -> {
            try {
                return balancer.pick(clock.now(), request);
            } catch (RuntimeException | Error e) {
                // guards against an RPC that the balancer dropped on an error: nobody else would answer it
                answer(rpc, Result.ERRORS, Channel::failed);
                throw e;
            }
        });
        return id;
    }

    /** RPCs opened from now on have their answers within so many milliseconds, whatever clients allow. */
    public void endWithin(long ms) {
        lastDeadline = clock.now() + ms * 1000;
    }

    /** The client has closed its connection. */
    public void clientGone(long id) {
        Rpc<M> rpc = open.get(id);
        if (rpc != null && !rpc.answered()) {
            answer(rpc, null, channel -> {});
            report(new News.ClientGone(id));
        }
    }

    /** RPCs that still await their final answer. */
    public int unanswered() {
        return unanswered;
    }

    private void expire(Rpc<M> rpc) {
        for (CallAttempt a : new ArrayList<>(rpc.attempts)) {
            giveUp(a, Outcome.TIMEOUT);
        }
        // guards against an RPC left without an answer at its deadline, whatever the balancer made of it
        run(() -> {
            answer(rpc, Result.ERRORS, Channel::failed);
            return List.of();
        });
    }

    /** Every RPC ends here, once. The result is null where the client has gone, which counts as none. */
    private void answer(Rpc<M> rpc, Result result, Consumer<Channel> how) {
        Channel channel = rpc.channel;
        if (channel == null) {
            return;
        }
        rpc.channel = null;
        ports.unwake(rpc.timer);
        // guards against an attempt that begins for nobody, also where none may be cancelled once begun
        for (CallAttempt a : new ArrayList<>(rpc.attempts)) {
            if (!a.hasBegun()) {
                giveUp(a, Outcome.NOT_SENT);
            }
        }
        forgetIfDone(rpc);
        unanswered--;
        if (result != null) {
            figures.recordResult(rpc.rpcClass, result);
        }
        how.accept(channel);
    }

    private void forgetIfDone(Rpc<M> rpc) {
        if (rpc.answered() && rpc.outstanding == 0) {
            open.remove(rpc.id);
            names.remove(rpc.name);
        }
    }

    // ---- news ----

    public void resolved(ListUpdate update, boolean warmCopy) {
        List<WorkerInfo> shown = resolved.take(update);
        ListKind kind = warmCopy ? ListKind.WARM_COPY : update.complete() ? ListKind.WHOLE : ListKind.CHANGES;
        report(new News.Resolved(kind, shown));
        // guards the rule on drains against a connection's time: the first byte would go out that much later
        giveUpUnbegun(subchannel -> !resolved.inService(subchannel));
    }

    /** Gives up, at subchannels of which this holds, attempts of which nothing has been sent. */
    private void giveUpUnbegun(Predicate<String> where) {
        for (Rpc<M> rpc : new ArrayList<>(open.values())) {
            for (CallAttempt a : new ArrayList<>(rpc.attempts)) {
                if (!a.hasBegun() && where.test(a.subchannel)) {
                    giveUp(a, Outcome.NOT_SENT);
                }
            }
        }
    }

    public void report(News news) {
        run(() -> balancer.report(clock.now(), news));
    }

    // ---- the operators' side ----

    /** From now on nothing more goes to these subchannels; what runs there goes on. */
    public void ban(Bans next) {
        Bans before = resolved.bans();
        List<WorkerInfo> changed = resolved.ban(next, clock.now());
        if (!changed.isEmpty()) {
            report(new News.Resolved(ListKind.CHANGES, changed));
        }
        // guards against what the balancer cannot recall: an attempt whose connection is yet to come up
        giveUpUnbegun(subchannel -> next.contains(subchannel) && !before.contains(subchannel));
    }

    /** What another process of this dispatcher should know while it runs beside this one. */
    public Beside beside() {
        return balancer.beside();
    }

    public Bans bans() {
        return resolved.bans();
    }

    /** Whether anybody has, or had, a subchannel of this id. */
    public boolean knows(String subchannel) {
        return resolved.knows(subchannel);
    }

    /** What holds now, beside what is counted. */
    public Metrics.Snapshot now() {
        return new Metrics.Snapshot(
                unanswered,
                resolved.size(),
                resolved.banned() + balancer.avoided(),
                Shared.figures(balancer.sharing()));
    }

    @Override
    public void written(CallAttempt a) {
        figures.recordAttempt(a.rpcClass);
    }

    @Override
    public void moved(CallAttempt a, boolean started) {
        report(new News.AttemptMoved(a.rpc, a.number, started));
    }

    @Override
    public void ended(CallAttempt a, Outcome outcome, String result, Report load) {
        Rpc<M> rpc = open.get(a.rpc);
        rpc.outstanding--;
        if (outcome == Outcome.OK) {
            answer(rpc, Result.OK, channel -> channel.served(result));
        } else if (a.rejected) {
            // guards healthy subchannels against the blame for what a bad client sent, one after the other
            answer(rpc, Result.ERRORS, Channel::failed);
        }
        boolean answered = rpc.answered();
        forgetIfDone(rpc);
        report(new News.AttemptEnded(a.rpc, a.number, outcome, clock.now() - a.sentAt, answered, load));
    }

    private void giveUp(CallAttempt a, Outcome outcome) {
        if (!a.over()) {
            a.giveUp.run();
            a.ended(outcome, null);
        }
    }

    // ---- what the balancer asks for ----

    /** Carries steps out; news that they make waits its turn, so that the balancer is never entered twice. */
    private void run(Supplier<List<Step>> work) {
        waiting.add(work);
        if (running) {
            return;
        }
        running = true;
        for (Supplier<List<Step>> next = waiting.poll(); next != null; next = waiting.poll()) {
            Supplier<List<Step>> current = next;
            guarded(() -> current.get().forEach(step -> guarded(() -> perform(step))));
        }
        running = false;
    }

    /**
     * Guards against one RPC's exception ending the process or what is to be done for the others. Errors too:
     * one that left {@link #run} would leave the ledger waiting for itself for good.
     */
    private void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException | Error e) {
            StackTraceElement[] trace = e.getStackTrace();
            ports.log("internal error: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private void perform(Step step) {
        if (step instanceof Step.StartAttempt s) {
            start(s);
        } else if (step instanceof Step.CancelAttempt c) {
            Rpc<M> rpc = open.get(c.rpc());
            if (rpc != null) {
                giveUp(rpc.attempts.get(c.attempt()), Outcome.CANCELLED);
            }
        } else if (step instanceof Step.Refuse r) {
            finish(r.rpc(), Result.SHED, channel -> channel.refused(r.retryAfter()));
        } else if (step instanceof Step.Fail f) {
            finish(f.rpc(), Result.ERRORS, Channel::failed);
        } else if (step instanceof Step.Probe p) {
            probe(p.subchannel());
        } else if (step instanceof Step.TellPeer t) {
            ports.tell(t.peer(), t.bytes());
        } else if (step instanceof Step.Watch) {
            ports.watch(resolved.revision());
        } else if (step instanceof Step.WakeAfter w) {
            ports.wake(w.delay(), () -> tick(w.token()));
        }
    }

    private void start(Step.StartAttempt s) {
        Rpc<M> rpc = open.get(s.rpc());
        if (rpc == null) {
            throw new IllegalStateException("an attempt for an RPC that is over");
        }
        long now = clock.now();
        CallAttempt a = new CallAttempt(rpc.id, rpc.rpcClass, rpc.attempts.size(), now, s.subchannel(), this);
        rpc.attempts.add(a);
        rpc.outstanding++;
        String address = resolved.address(s.subchannel());
        if (rpc.answered() || now >= rpc.deadline) {
            a.ended(Outcome.NOT_SENT, null);
        } else if (resolved.bans().contains(s.subchannel())) {
            // guards the ban against a step that was decided before it
            a.ended(Outcome.NOT_SENT, null);
        } else if (address == null) {
            a.ended(Outcome.CONNECT_FAILED, null);
        } else {
            try {
                a.giveUp = ports.start(rpc.message, address, rpc.deadline - now, a);
            } catch (RuntimeException | Error e) {
                // guards against an attempt that never began and so would never end
                a.ended(Outcome.CONNECT_FAILED, null);
                throw e;
            }
        }
    }

    private void finish(long id, Result result, Consumer<Channel> how) {
        Rpc<M> rpc = open.get(id);
        if (rpc != null) {
            answer(rpc, result, how);
        }
    }

    private void probe(String subchannel) {
        String address = resolved.bans().contains(subchannel) ? null : resolved.address(subchannel);
        if (address == null) {
            report(new News.Probed(subchannel, Outcome.CONNECT_FAILED, null));
        } else {
            ports.probe(subchannel, address);
        }
    }

    private void tick(long token) {
        run(() -> {
            try {
                return balancer.tick(clock.now(), token);
            } catch (RuntimeException | Error e) {
                ports.wake(TICK_AGAIN, () -> tick(token));
                throw e;
            }
        });
    }
}
