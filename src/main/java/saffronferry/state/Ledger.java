package saffronferry.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import saffronferry.Balancer;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.News;
import saffronferry.Step;

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
    private final ResolverResult resolved = new ResolverResult();
    private final Map<Long, Rpc<M>> open = new HashMap<>();
    private final Set<String> names = new HashSet<>();
    private final ArrayDeque<Supplier<List<Step>>> waiting = new ArrayDeque<>();
    private boolean running;
    private long lastId;
    private long lastDeadline = Long.MAX_VALUE;
    private int unanswered;
    private Consumer<Integer> onAnswer = left -> { };

    public Ledger(Balancer balancer, Clock clock, Ports<M> ports) {
        this.balancer = balancer;
        this.clock = clock;
        this.ports = ports;
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
        Rpc<M> rpc = new Rpc<>(id, info.name(), message, deadline, channel);
        open.put(id, rpc);
        names.add(rpc.name);
        unanswered++;
        rpc.timer = ports.wake(Math.max(0, deadline - now), () -> expire(rpc));
        Request request = new Request(id, info.rpcClass(), info.tenant(), rpc.deadline, info.slots(),
                info.repeat());
        run(() -> {
            try {
                return balancer.pick(clock.now(), request);
            } catch (RuntimeException | Error e) {
                // guards against an RPC that the balancer dropped on an error: nobody else would answer it
                answer(rpc, Channel::failed);
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
            answer(rpc, channel -> { });
            report(new News.ClientGone(id));
        }
    }

    /** RPCs that still await their final answer. */
    public int unanswered() {
        return unanswered;
    }

    /** Calls back with the number of RPCs left whenever one has had its final answer. */
    public void onAnswer(Consumer<Integer> watcher) {
        onAnswer = watcher;
    }

    private void expire(Rpc<M> rpc) {
        for (CallAttempt a : new ArrayList<>(rpc.attempts)) {
            giveUp(a, Outcome.TIMEOUT);
        }
        // guards against an RPC left without an answer at its deadline, whatever the balancer made of it
        run(() -> {
            answer(rpc, Channel::failed);
            return List.of();
        });
    }

    private void answer(Rpc<M> rpc, Consumer<Channel> how) {
        Channel channel = rpc.channel;
        if (channel == null) {
            return;
        }
        rpc.channel = null;
        ports.unwake(rpc.timer);
        forgetIfDone(rpc);
        unanswered--;
        how.accept(channel);
        onAnswer.accept(unanswered);
    }

    private void forgetIfDone(Rpc<M> rpc) {
        if (rpc.answered() && rpc.outstanding == 0) {
            open.remove(rpc.id);
            names.remove(rpc.name);
        }
    }

    // ---- news ----

    public void resolved(ListUpdate update, boolean warmCopy) {
        resolved.take(update);
        ListKind kind = warmCopy ? ListKind.WARM_COPY : update.complete() ? ListKind.WHOLE : ListKind.CHANGES;
        report(new News.Resolved(kind, update.infos()));
    }

    public void report(News news) {
        run(() -> balancer.report(clock.now(), news));
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
            answer(rpc, channel -> channel.served(result));
        } else if (a.rejected) {
            // guards healthy subchannels against the blame for what a bad client sent, one after the other
            answer(rpc, Channel::failed);
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
            finish(r.rpc(), channel -> channel.refused(r.retryAfter()));
        } else if (step instanceof Step.Fail f) {
            finish(f.rpc(), Channel::failed);
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
        CallAttempt a = new CallAttempt(rpc.id, rpc.attempts.size(), now, this);
        rpc.attempts.add(a);
        rpc.outstanding++;
        String address = resolved.address(s.subchannel());
        if (rpc.answered() || now >= rpc.deadline) {
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

    private void finish(long id, Consumer<Channel> how) {
        Rpc<M> rpc = open.get(id);
        if (rpc != null) {
            answer(rpc, how);
        }
    }

    private void probe(String subchannel) {
        String address = resolved.address(subchannel);
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
