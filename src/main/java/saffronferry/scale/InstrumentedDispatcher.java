package saffronferry.scale;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import saffronferry.BalancerAction;
import saffronferry.BalancerEvent;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.lab.policy.DispatchLogic;
import saffronferry.scale.CostMeter.DecisionKind;
import saffronferry.scale.CostMeter.DispatcherCost;
import saffronferry.scale.CostMeter.MessageKind;
import saffronferry.state.ListUpdate;

/**
 * A dispatcher without sockets: wraps the decision module, encodes worker lists to bytes and parses them as
 * {@code serve} does, and records control messages and the CPU time of decisions. Datagrams are bytes already,
 * encoded and decoded by the module's own codec.
 */
final class InstrumentedDispatcher implements DispatchLogic {
    private static final int PROBE_BYTES = "GET /metrics/load HTTP/1.1\r\nhost: 10.0.82.7:9100\r\n\r\n".length();
    private static final int WATCH_BYTES =
            "GET /discovery/hosts?watch=1&from=1000000 HTTP/1.1\r\nhost: 10.0.82.7:9100\r\n\r\n".length();
    private static final String ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n";

    private final CostMeter meter;
    private final DispatcherCost cost;
    private DispatchLogic module;
    /** The worker list as {@code serve} keeps it in addition to the module; null if its heap is not measured. */
    private Map<String, ListUpdate.Entry> retainedList;

    InstrumentedDispatcher(DispatchLogic module, CostMeter meter, DispatcherCost cost, boolean retainsList) {
        this.module = module;
        this.meter = meter;
        this.cost = cost;
        retainedList = retainsList ? new HashMap<>() : null;
    }

    @Override
    public List<BalancerAction> pick(long now, Request rpc) {
        return decide(DecisionKind.PICK, now, () -> module.pick(now, rpc));
    }

    @Override
    public List<BalancerAction> tick(long now, long token) {
        meter.reportProgress(now);
        return decide(DecisionKind.TICK, now, () -> module.tick(now, token));
    }

    @Override
    public List<BalancerAction> report(long now, BalancerEvent news) {
        if (news instanceof BalancerEvent.Resolved resolved) {
            return reportList(now, resolved);
        }
        if (news instanceof BalancerEvent.PeerMessageReceived datagram) {
            meter.recordMessage(cost, MessageKind.DATAGRAM_IN, datagram.bytes().length, now);
            return decide(DecisionKind.DATAGRAM, now, () -> module.report(now, news));
        }
        if (news instanceof BalancerEvent.Probed probed && probed.outcome() == Outcome.OK) {
            meter.recordMessage(
                    cost,
                    MessageKind.PROBE_IN,
                    ANSWER.length() + text(probed.load()).length(),
                    now);
        }
        return decide(DecisionKind.REPORT, now, () -> module.report(now, news));
    }

    private static String text(Report load) {
        return load == null ? "" : "slots_free=" + load.freeSlots();
    }

    /** A warm copy comes from a file: it is parsed like any other list, but not counted as received. */
    private List<BalancerAction> reportList(long now, BalancerEvent.Resolved resolved) {
        byte[] line = meter.listCodec.encode(resolved.entries(), resolved.kind());
        if (resolved.kind() != ListKind.WARM_COPY) {
            meter.recordListReceived(cost, resolved.kind() == ListKind.WHOLE, line.length, now);
        }
        long startNanos = meter.clock.now();
        ListUpdate update = meter.listCodec.decode(line);
        List<WorkerInfo> entries =
                update.entries().stream().map(ListUpdate.Entry::info).toList();
        meter.recordListParse(cost, meter.clock.elapsedSince(startNanos), now);
        retain(update);
        return decide(
                DecisionKind.LIST, now, () -> module.report(now, new BalancerEvent.Resolved(resolved.kind(), entries)));
    }

    private void retain(ListUpdate update) {
        if (retainedList == null) {
            return;
        }
        if (update.complete()) {
            retainedList.clear();
        }
        for (ListUpdate.Entry e : update.entries()) {
            if (e.info().state() == WorkerState.GONE) {
                retainedList.remove(e.info().address());
            } else {
                retainedList.put(e.info().address(), e);
            }
        }
    }

    private List<BalancerAction> decide(DecisionKind kind, long now, Supplier<List<BalancerAction>> decision) {
        long startNanos = meter.clock.now();
        List<BalancerAction> steps = decision.get();
        meter.recordDecision(cost, kind, meter.clock.elapsedSince(startNanos), now);
        for (BalancerAction step : steps) {
            if (step instanceof BalancerAction.SendToPeer datagram) {
                meter.recordMessage(cost, MessageKind.DATAGRAM_OUT, datagram.bytes().length, now);
            } else if (step instanceof BalancerAction.Probe) {
                meter.recordMessage(cost, MessageKind.PROBE_OUT, PROBE_BYTES, now);
            } else if (step instanceof BalancerAction.WatchWorkerList) {
                meter.recordMessage(cost, MessageKind.LIST_OUT, WATCH_BYTES, now);
            }
        }
        return steps;
    }

    boolean releaseList() {
        boolean released = retainedList != null;
        retainedList = null;
        return released;
    }

    void releaseModule() {
        module = null;
    }
}
