package saffronferry.lab.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import saffronferry.BalancerAction;
import saffronferry.BalancerEvent;
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.Idempotency;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Request;
import saffronferry.Contract.Settings;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;

/**
 * Dispatch logic of the baseline policies. Sends each request at once to the worker that its chooser returns, and
 * retries on another one where the request class allows it. Sends nothing to draining workers, and picks a cold
 * worker only with a probability that rises from its initial capacity share to 1 while it warms up.
 */
final class BaselineLogic implements DispatchLogic {
    /** Chooses a worker from a non-empty list. */
    interface Chooser {
        WorkerView choose(List<WorkerView> all, UniformRandomProvider random);
    }

    /** A dispatcher's view of a worker. */
    static final class WorkerView {
        final String address;
        final int zone;
        final int kind;
        final int cell;
        final long startedAt;
        final WorkerState state;
        int outstanding;

        WorkerView(WorkerInfo info) {
            address = info.address();
            zone = info.zone();
            kind = info.kind();
            cell = info.cell();
            startedAt = info.startedAt();
            state = info.state();
        }
    }

    private record Attempt(WorkerView worker, long sentAt) {}

    private static final class OpenRequest {
        final Request request;
        final List<Attempt> attempts = new ArrayList<>();
        /** The first attempt that may have been executed, or null. */
        Attempt possiblyRun;

        int attemptsInFlight;

        OpenRequest(Request request) {
            this.request = request;
        }
    }

    private static final long WATCH_TOKEN = 1;
    private static final long WATCH_RETRY_DELAY_US = 500_000;
    /** Limits how often the chooser is asked again after it named a cold worker that is skipped. */
    private static final int MAX_CHOICES = 8;

    private final Settings settings;
    private final UniformRandomProvider random;
    private final Chooser chooser;
    private final Map<String, WorkerView> workers = new LinkedHashMap<>();
    private final Map<Long, OpenRequest> openRequests = new HashMap<>();
    private List<WorkerView> inService = List.of();
    private boolean watchRequested;

    BaselineLogic(Settings settings, UniformRandomProvider random, Chooser chooser) {
        this.settings = settings;
        this.random = random;
        this.chooser = chooser;
    }

    @Override
    public List<BalancerAction> pick(long now, Request rpc) {
        OpenRequest openRequest = new OpenRequest(rpc);
        openRequests.put(rpc.id(), openRequest);
        List<BalancerAction> actions = new ArrayList<>();
        send(now, openRequest, actions);
        return actions;
    }

    private void send(long now, OpenRequest openRequest, List<BalancerAction> actions) {
        WorkerView worker =
                openRequest.attempts.size() < settings.maxAttempts() && now < openRequest.request.validUntil()
                        ? choose(now, openRequest)
                        : null;
        if (worker == null) {
            refuseOrFail(openRequest, actions);
            return;
        }
        worker.outstanding++;
        openRequest.attemptsInFlight++;
        openRequest.attempts.add(new Attempt(worker, now));
        actions.add(new BalancerAction.StartAttempt(openRequest.request.id(), worker.address));
    }

    private WorkerView choose(long now, OpenRequest openRequest) {
        JobClass jobClass = settings.classes().get(openRequest.request.jobClass());
        List<WorkerView> candidates = inService;
        if (openRequest.possiblyRun != null && jobClass.idempotency() != Idempotency.SAFE) {
            WorkerView possiblyRunOn = openRequest.possiblyRun.worker();
            boolean retryAllowed = jobClass.idempotency() == Idempotency.KEYED
                    && now < openRequest.possiblyRun.sentAt() + jobClass.keyTtl();
            candidates = !retryAllowed
                    ? List.of()
                    : inService.stream()
                            .filter(w -> jobClass.dedupScope() == DedupScope.ALL
                                    || w.zone == possiblyRunOn.zone
                                            && (jobClass.dedupScope() == DedupScope.ZONE
                                                    || w.cell == possiblyRunOn.cell))
                            .toList();
        }
        if (jobClass.kind() >= 0) {
            candidates =
                    candidates.stream().filter(w -> w.kind == jobClass.kind()).toList();
        }
        for (int i = 0; i < MAX_CHOICES && !candidates.isEmpty(); i++) {
            WorkerView w = chooser.choose(candidates, random);
            double age = (now - w.startedAt) / (double) Math.max(1, settings.coldPeriod());
            boolean warm = w.startedAt == 0 || age >= 1;
            if (warm || random.nextDouble() < settings.coldCapacity() + (1 - settings.coldCapacity()) * age) {
                return w;
            }
        }
        return null;
    }

    private void refuseOrFail(OpenRequest openRequest, List<BalancerAction> actions) {
        openRequests.remove(openRequest.request.id());
        JobClass jobClass = settings.classes().get(openRequest.request.jobClass());
        boolean retryIsSafe = openRequest.possiblyRun == null
                || jobClass.idempotency() == Idempotency.SAFE
                || jobClass.idempotency() == Idempotency.KEYED && jobClass.dedupScope() == DedupScope.ALL;
        actions.add(
                retryIsSafe
                        ? new BalancerAction.Refuse(openRequest.request.id(), 0)
                        : new BalancerAction.Fail(openRequest.request.id()));
    }

    @Override
    public List<BalancerAction> report(long now, BalancerEvent event) {
        List<BalancerAction> actions = new ArrayList<>();
        if (event instanceof BalancerEvent.AttemptEnded e) {
            attemptEnded(now, e, actions);
        } else if (event instanceof BalancerEvent.Resolved r) {
            applyList(r);
            if (!watchRequested) {
                watchRequested = true;
                actions.add(new BalancerAction.WatchWorkerList());
            }
        } else if (event instanceof BalancerEvent.WatchLost) {
            actions.add(new BalancerAction.StartTimer(WATCH_TOKEN, WATCH_RETRY_DELAY_US));
        } else if (event instanceof BalancerEvent.ClientGone g) {
            openRequests.remove(g.rpc());
        }
        return actions;
    }

    private void attemptEnded(long now, BalancerEvent.AttemptEnded e, List<BalancerAction> actions) {
        OpenRequest openRequest = openRequests.get(e.rpc());
        if (openRequest == null) {
            return;
        }
        Attempt a = openRequest.attempts.get(e.attempt());
        a.worker().outstanding--;
        openRequest.attemptsInFlight--;
        if (!e.outcome().neverRan && openRequest.possiblyRun == null) {
            openRequest.possiblyRun = a;
        }
        if (e.answered() || e.outcome() == Outcome.OK) {
            openRequests.remove(e.rpc());
        } else if (openRequest.attemptsInFlight == 0) {
            send(now, openRequest, actions);
        }
    }

    private void applyList(BalancerEvent.Resolved r) {
        if (r.kind() != ListKind.CHANGES) {
            workers.keySet()
                    .retainAll(r.entries().stream().map(WorkerInfo::address).toList());
        }
        for (WorkerInfo info : r.entries()) {
            WorkerView old = workers.get(info.address());
            WorkerView now = new WorkerView(info);
            now.outstanding = old == null ? 0 : old.outstanding;
            workers.put(info.address(), now);
        }
        inService = workers.values().stream()
                .filter(w -> w.state == WorkerState.IN_SERVICE)
                .toList();
    }

    @Override
    public List<BalancerAction> tick(long now, long token) {
        return List.of(new BalancerAction.WatchWorkerList());
    }
}
