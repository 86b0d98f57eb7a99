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
import saffronferry.Contract.Outcome;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.News;
import saffronferry.ops.Metrics;
import saffronferry.settings.SettingsReader;

/** The ledger without sockets: one final answer whatever fails, and nothing kept of what is over. */
public class LedgerTest {
    private final List<String> answers = new ArrayList<>();
    private final List<CallAttempt> started = new ArrayList<>();
    private final List<String> logged = new ArrayList<>();
    private final TreeMap<Long, Runnable> timers = new TreeMap<>();
    private boolean broken;
    private Error error;
    private final Metrics figures = new Metrics(List.of("directory-page", "record-gift"));
    private Ledger<String> ledger;

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

    private final Ports<String> ports = new Ports<>() {
        private long last;

        @Override
        public Runnable start(String message, String address, long remaining, CallAttempt attempt) {
            if (broken) {
                throw new IllegalStateException("no socket");
            }
            if (error != null) {
                throw error;
            }
            started.add(attempt);
            return () -> {};
        }

        @Override
        public void probe(String subchannel, String address) {}

        @Override
        public void tell(int peer, byte[] bytes) {}

        @Override
        public void watch(long revision) {}

        @Override
        public long wake(long delay, Runnable what) {
            timers.put(++last, what);
            return last;
        }

        @Override
        public void unwake(long timer) {
            timers.remove(timer);
        }

        @Override
        public void log(String line) {
            logged.add(line);
        }
    };

    private void begin() throws Exception {
        JSONObject config = new JSONObject(Files.readString(Path.of("examples/config.json")));
        ledger = new Ledger<>(
                new Balancer(new SettingsReader(1, config.getJSONObject("settings")).settings),
                new Clock(),
                ports,
                figures);
        ledger.resolved(
                new ListUpdate(
                        1,
                        true,
                        List.of(new ListUpdate.Entry(
                                new WorkerInfo("a", WorkerState.IN_SERVICE, 0, 0, 0, 1), "127.0.0.1:1"))),
                true);
        timers.clear();
    }

    private void open() {
        ledger.open(new RpcInfo("t", 0, 0, 3_000_000, 1, false), "m", channel);
    }

    @Test
    public void theFirstResultIsTheAnswerAndNothingStays() throws Exception {
        begin();
        open();
        started.get(0).served("r", null);
        started.get(0).served("again", null);
        started.get(0).ended(Outcome.RESET, null);
        assertEquals(List.of("r"), answers);
        assertEquals(0, ledger.unanswered());
        assertEquals("the deadline's timer is cancelled", 0, timers.size());
    }

    /** Guards against an RPC left without an answer because carrying out a step failed. */
    @Test
    public void anErrorOnTheWayStillLeavesOneAnswerAtTheDeadline() throws Exception {
        begin();
        broken = true;
        open();
        assertEquals(1, logged.size());
        timers.firstEntry().getValue().run();
        assertEquals(1, answers.size());
        assertEquals(0, ledger.unanswered());
    }

    /** An Error on the way must not leave the ledger waiting for itself: later RPCs are served. */
    @Test
    public void anErrorOfTheVirtualMachineEndsOneAttemptOnly() throws Exception {
        begin();
        error = new NoClassDefFoundError("what could not be loaded");
        open();
        assertEquals(1, logged.size());
        assertEquals("tried at the next worker or told, never left", 0, started.size());
        error = null;
        ledger.open(new RpcInfo("v", 0, 0, 3_000_000, 1, false), "m", channel);
        ledger.report(new News.Room(true));
        timers.values().stream().toList().forEach(Runnable::run);
        assertEquals("each has its one answer", 2, answers.size());
    }

    /** While no connection can be opened nothing is sent, whatever is free; the rest waits its turn. */
    @Test
    public void withoutRoomNothingIsSentUntilThereIsSome() throws Exception {
        begin();
        ledger.report(new News.Room(false));
        open();
        assertEquals(0, started.size());
        assertEquals(List.of(), answers);
        ledger.report(new News.Room(true));
        assertEquals(1, started.size());
        started.get(0).served("r", null);
        assertEquals(List.of("r"), answers);
    }

    /** Guards against an RPC left without an answer because the balancer itself failed. */
    @Test
    public void anErrorInTheBalancerFailsTheRpcAtOnce() throws Exception {
        begin();
        ledger.open(new RpcInfo("u", 99, 0, 3_000_000, 1, false), "m", channel);
        assertEquals(List.of("failed"), answers);
        open();
        started.get(0).served("r", null);
        assertEquals(List.of("failed", "r"), answers);
    }

    @Test
    public void aClientThatIsGoneIsOwedNothing() throws Exception {
        begin();
        open();
        ledger.clientGone(1);
        ledger.clientGone(1);
        assertEquals(List.of(), answers);
        assertEquals(0, ledger.unanswered());
    }
}
