package saffronferry.scale;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.News;
import saffronferry.Step;
import saffronferry.lab.policy.Brain;
import saffronferry.scale.CostMeter.Account;
import saffronferry.scale.CostMeter.Event;
import saffronferry.scale.CostMeter.Kind;
import saffronferry.state.ListUpdate;

/**
 * A dispatcher without sockets: between its module and its world, it turns lists into bytes and reads them as
 * {@code serve} does, and takes down what is said and what decisions cost. Datagrams are bytes already, which
 * the module makes and reads by its own codec.
 */
final class InstrumentedDispatcher implements Brain {
    private static final int PROBE_BYTES = "GET /metrics/load HTTP/1.1\r\nhost: 10.0.82.7:9100\r\n\r\n".length();
    private static final int WATCH_BYTES =
            "GET /discovery/hosts?watch=1&from=1000000 HTTP/1.1\r\nhost: 10.0.82.7:9100\r\n\r\n".length();
    private static final String ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n";

    private final CostMeter meter;
    private final Account account;
    private Brain module;
    /** As {@code serve} keeps it beside the module; null where it is not weighed. */
    private Map<String, ListUpdate.Entry> list;

    InstrumentedDispatcher(Brain module, CostMeter meter, Account account, boolean keepsList) {
        this.module = module;
        this.meter = meter;
        this.account = account;
        list = keepsList ? new HashMap<>() : null;
    }

    @Override
    public List<Step> pick(long now, Request rpc) {
        return decide(Event.PICK, now, () -> module.pick(now, rpc));
    }

    @Override
    public List<Step> tick(long now, long token) {
        meter.reached(now);
        return decide(Event.TICK, now, () -> module.tick(now, token));
    }

    @Override
    public List<Step> report(long now, News news) {
        if (news instanceof News.Resolved resolved) {
            return listed(now, resolved);
        }
        if (news instanceof News.PeerSaid said) {
            meter.said(account, Kind.DATAGRAM_IN, said.bytes().length, now);
            return decide(Event.DATAGRAM, now, () -> module.report(now, news));
        }
        if (news instanceof News.Probed probed && probed.outcome() == Outcome.OK) {
            meter.said(
                    account,
                    Kind.PROBE_IN,
                    ANSWER.length() + text(probed.load()).length(),
                    now);
        }
        return decide(Event.REPORT, now, () -> module.report(now, news));
    }

    private static String text(Report load) {
        return load == null ? "" : "slots_free=" + load.freeSlots();
    }

    /** The copy that a start is given comes from a file: it is read like another list, but nobody sent it. */
    private List<Step> listed(long now, News.Resolved resolved) {
        byte[] line = meter.lines.line(resolved.entries(), resolved.kind());
        if (resolved.kind() != ListKind.WARM_COPY) {
            meter.listed(account, resolved.kind() == ListKind.WHOLE, line.length, now);
        }
        long begun = meter.clock.now();
        ListUpdate update = meter.lines.read(line);
        List<WorkerInfo> entries =
                update.entries().stream().map(ListUpdate.Entry::info).toList();
        meter.read(account, meter.clock.since(begun), now);
        keep(update);
        return decide(Event.LIST, now, () -> module.report(now, new News.Resolved(resolved.kind(), entries)));
    }

    private void keep(ListUpdate update) {
        if (list == null) {
            return;
        }
        if (update.complete()) {
            list.clear();
        }
        for (ListUpdate.Entry e : update.entries()) {
            if (e.info().state() == WorkerState.GONE) {
                list.remove(e.info().address());
            } else {
                list.put(e.info().address(), e);
            }
        }
    }

    private List<Step> decide(Event event, long now, Supplier<List<Step>> decision) {
        long begun = meter.clock.now();
        List<Step> steps = decision.get();
        meter.took(account, event, meter.clock.since(begun), now);
        for (Step step : steps) {
            if (step instanceof Step.TellPeer told) {
                meter.said(account, Kind.DATAGRAM_OUT, told.bytes().length, now);
            } else if (step instanceof Step.Probe) {
                meter.said(account, Kind.PROBE_OUT, PROBE_BYTES, now);
            } else if (step instanceof Step.Watch) {
                meter.said(account, Kind.LIST_OUT, WATCH_BYTES, now);
            }
        }
        return steps;
    }

    boolean dropList() {
        boolean had = list != null;
        list = null;
        return had;
    }

    void dropModule() {
        module = null;
    }
}
