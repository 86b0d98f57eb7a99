package saffronferry.state;

import static org.junit.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.json.JSONObject;
import org.junit.Test;
import saffronferry.Balancer;
import saffronferry.BalancerEvent;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.ops.Metrics;
import saffronferry.settings.SettingsReader;

/** RpcCoordinator without sockets: each RPC gets one final answer whatever fails, and leaves no state behind. */
public class RpcCoordinatorTest {
    private final List<String> answers = new ArrayList<>();
    private final List<CallAttempt> started = new ArrayList<>();
    private final List<String> logged = new ArrayList<>();
    private final TreeMap<Long, Runnable> timers = new TreeMap<>();
    private boolean startFails;
    private Error error;
    private final Metrics metrics = new Metrics(List.of("directory-page", "record-gift"));
    private RpcCoordinator<String> coordinator;

    private final Channel channel = new Channel() {
        @Override
        public void served(String result) {
            answers.add(result);
        }

        @Override
        public void refused(long retryAfter) {
            answers.add("refused");
        }

        @Override
        public void failed() {
            answers.add("failed");
        }
    };

    private final OutboundOperations<String> outbound = new OutboundOperations<>() {
        private long lastTimer;

        @Override
        public Runnable startAttempt(String message, String address, long remainingMicros, CallAttempt attempt) {
            if (startFails) {
                throw new IllegalStateException("no socket");
            }
            if (error != null) {
                throw error;
            }
            started.add(attempt);
            return () -> {};
        }

        @Override
        public void probeLoad(String subchannel, String address) {}

        @Override
        public void sendToPeer(int peer, byte[] bytes) {}

        @Override
        public void watchList(long revision) {}

        @Override
        public long schedule(long delayMicros, Runnable action) {
            timers.put(++lastTimer, action);
            return lastTimer;
        }

        @Override
        public void cancelTimer(long timer) {
            timers.remove(timer);
        }

        @Override
        public void log(String line) {
            logged.add(line);
        }
    };

    private void begin() throws Exception {
        JSONObject config = new JSONObject(Files.readString(Path.of("examples/config.json")));
        coordinator = new RpcCoordinator<>(
                new Balancer(new SettingsReader(1, config.getJSONObject("settings")).settings),
                new Clock(),
                outbound,
                metrics);
        coordinator.onListUpdate(
                new ListUpdate(
                        1,
                        true,
                        List.of(new ListUpdate.Entry(
                                new WorkerInfo("a", WorkerState.IN_SERVICE, 0, 0, 0, 1), "127.0.0.1:1"))),
                true);
        timers.clear();
    }

    private void open() {
        coordinator.open(new RpcInfo("t", 0, 0, 3_000_000, 1, false), "m", channel);
    }

    @Test
    public void firstResultIsTheOnlyAnswerAndLeavesNoState() throws Exception {
        begin();
        open();
        started.get(0).served("r", null);
        started.get(0).served("again", null);
        started.get(0).ended(Outcome.RESET, null);
        assertEquals(List.of("r"), answers);
        assertEquals(0, coordinator.unansweredCount());
        assertEquals("the deadline timer is cancelled", 0, timers.size());
    }

    /** An RPC must not stay unanswered because the execution of an action threw an exception. */
    @Test
    public void failedActionStillLeadsToOneAnswerAtTheDeadline() throws Exception {
        begin();
        startFails = true;
        open();
        assertEquals(1, logged.size());
        timers.firstEntry().getValue().run();
        assertEquals(1, answers.size());
        assertEquals(0, coordinator.unansweredCount());
    }

    /** An Error thrown by an action must not block the queue of pending work: later RPCs are still processed. */
    @Test
    public void virtualMachineErrorEndsOneAttemptOnly() throws Exception {
        begin();
        error = new NoClassDefFoundError("missing class");
        open();
        assertEquals(1, logged.size());
        assertEquals("the failed attempt does not count as started", 0, started.size());
        error = null;
        coordinator.open(new RpcInfo("v", 0, 0, 3_000_000, 1, false), "m", channel);
        coordinator.report(new BalancerEvent.AttemptCapacityChanged(true));
        timers.values().stream().toList().forEach(Runnable::run);
        assertEquals("each RPC has one answer", 2, answers.size());
    }

    /** While no connection can be opened, RPCs are held even if workers are free. */
    @Test
    public void rpcsAreHeldWhileNoConnectionCanBeOpened() throws Exception {
        begin();
        coordinator.report(new BalancerEvent.AttemptCapacityChanged(false));
        open();
        assertEquals(0, started.size());
        assertEquals(List.of(), answers);
        coordinator.report(new BalancerEvent.AttemptCapacityChanged(true));
        assertEquals(1, started.size());
        started.get(0).served("r", null);
        assertEquals(List.of("r"), answers);
    }

    /** An RPC must not stay unanswered because the balancer itself threw an exception. */
    @Test
    public void balancerErrorFailsTheRpcImmediately() throws Exception {
        begin();
        coordinator.open(new RpcInfo("u", 99, 0, 3_000_000, 1, false), "m", channel);
        assertEquals(List.of("failed"), answers);
        open();
        started.get(0).served("r", null);
        assertEquals(List.of("failed", "r"), answers);
    }

    @Test
    public void disconnectedClientGetsNoAnswer() throws Exception {
        begin();
        open();
        coordinator.clientDisconnected(1);
        coordinator.clientDisconnected(1);
        assertEquals(List.of(), answers);
        assertEquals(0, coordinator.unansweredCount());
    }
}
