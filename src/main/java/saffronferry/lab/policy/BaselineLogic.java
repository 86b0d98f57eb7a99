package saffronferry.lab.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import saffronferry.Contract.Effect;
import saffronferry.Contract.Group;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Request;
import saffronferry.Contract.Settings;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.News;
import saffronferry.Step;

/**
 * A policy from the textbooks: it sends each request at once to the worker that its chooser names, and again
 * elsewhere where the class allows that. It keeps the rules: nothing to workers that drain, and to a cold one
 * only the part of its turns that its capacity allows.
 */
final class BaselineLogic implements DispatchLogic {
    /** Names one of a list that is not empty. */
    interface Chooser {
        Known choose(List<Known> all, UniformRandomProvider random);
    }

    /** What a dispatcher knows of a worker. */
    static final class Known {
        final String address;
        final int zone;
        final int kind;
        final int cell;
        final long startedAt;
        final WorkerState state;
        int outstanding;

        Known(WorkerInfo info) {
            address = info.address();
            zone = info.zone();
            kind = info.kind();
            cell = info.cell();
            startedAt = info.startedAt();
            state = info.state();
        }
    }

    private record Attempt(Known worker, long sentAt) {}

    private static final class Open {
        final Request request;
        final List<Attempt> attempts = new ArrayList<>();
        /** The first attempt that may have run, or null. */
        Attempt doubt;

        int out;

        Open(Request request) {
            this.request = request;
        }
    }

    private static final long WATCH = 1;
    private static final long AGAIN = 500_000;

    private final Settings settings;
    private final UniformRandomProvider random;
    private final Chooser chooser;
    private final Map<String, Known> workers = new LinkedHashMap<>();
    private final Map<Long, Open> open = new HashMap<>();
    private List<Known> usable = List.of();
    private boolean begun;

    BaselineLogic(Settings settings, UniformRandomProvider random, Chooser chooser) {
        this.settings = settings;
        this.random = random;
        this.chooser = chooser;
    }

    @Override
    public List<Step> pick(long now, Request rpc) {
        Open o = new Open(rpc);
        open.put(rpc.id(), o);
        List<Step> steps = new ArrayList<>();
        send(now, o, steps);
        return steps;
    }

    private void send(long now, Open o, List<Step> steps) {
        Known worker =
                o.attempts.size() < settings.maxAttempts() && now < o.request.validUntil() ? choose(now, o) : null;
        if (worker == null) {
            end(o, steps);
            return;
        }
        worker.outstanding++;
        o.out++;
        o.attempts.add(new Attempt(worker, now));
        steps.add(new Step.StartAttempt(o.request.id(), worker.address));
    }

    private Known choose(long now, Open o) {
        JobClass spec = settings.classes().get(o.request.jobClass());
        List<Known> among = usable;
        if (o.doubt != null && spec.effect() != Effect.SAFE) {
            Known first = o.doubt.worker();
            boolean may = spec.effect() == Effect.KEYED && now < o.doubt.sentAt() + spec.keyTtl();
            among = !may
                    ? List.of()
                    : usable.stream()
                            .filter(w -> spec.group() == Group.ALL
                                    || w.zone == first.zone && (spec.group() == Group.ZONE || w.cell == first.cell))
                            .toList();
        }
        if (spec.kind() >= 0) {
            among = among.stream().filter(w -> w.kind == spec.kind()).toList();
        }
        for (int i = 0; i < 8 && !among.isEmpty(); i++) {
            Known w = chooser.choose(among, random);
            double age = (now - w.startedAt) / (double) Math.max(1, settings.cold());
            boolean warm = w.startedAt == 0 || age >= 1;
            if (warm || random.nextDouble() < settings.coldShare() + (1 - settings.coldShare()) * age) {
                return w;
            }
        }
        return null;
    }

    private void end(Open o, List<Step> steps) {
        open.remove(o.request.id());
        JobClass spec = settings.classes().get(o.request.jobClass());
        boolean harmless = o.doubt == null
                || spec.effect() == Effect.SAFE
                || spec.effect() == Effect.KEYED && spec.group() == Group.ALL;
        steps.add(harmless ? new Step.Refuse(o.request.id(), 0) : new Step.Fail(o.request.id()));
    }

    @Override
    public List<Step> report(long now, News news) {
        List<Step> steps = new ArrayList<>();
        if (news instanceof News.AttemptEnded e) {
            ended(now, e, steps);
        } else if (news instanceof News.Resolved r) {
            resolved(r);
            if (!begun) {
                begun = true;
                steps.add(new Step.Watch());
            }
        } else if (news instanceof News.WatchLost) {
            steps.add(new Step.WakeAfter(WATCH, AGAIN));
        } else if (news instanceof News.ClientGone g) {
            open.remove(g.rpc());
        }
        return steps;
    }

    private void ended(long now, News.AttemptEnded e, List<Step> steps) {
        Open o = open.get(e.rpc());
        if (o == null) {
            return;
        }
        Attempt a = o.attempts.get(e.attempt());
        a.worker().outstanding--;
        o.out--;
        if (!e.outcome().neverRan && o.doubt == null) {
            o.doubt = a;
        }
        if (e.answered() || e.outcome() == Outcome.OK) {
            open.remove(e.rpc());
        } else if (o.out == 0) {
            send(now, o, steps);
        }
    }

    private void resolved(News.Resolved r) {
        if (r.kind() != ListKind.CHANGES) {
            workers.keySet()
                    .retainAll(r.entries().stream().map(WorkerInfo::address).toList());
        }
        for (WorkerInfo info : r.entries()) {
            Known old = workers.get(info.address());
            Known now = new Known(info);
            now.outstanding = old == null ? 0 : old.outstanding;
            workers.put(info.address(), now);
        }
        usable = workers.values().stream()
                .filter(w -> w.state == WorkerState.IN_SERVICE)
                .toList();
    }

    @Override
    public List<Step> tick(long now, long token) {
        return List.of(new Step.Watch());
    }
}
