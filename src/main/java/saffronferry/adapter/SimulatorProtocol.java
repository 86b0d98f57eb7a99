package saffronferry.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import saffronferry.Contract.ListKind;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.Request;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.fleet.WatchEnd;
import saffronferry.settings.SettingsReader;

/**
 * The simulator's line protocol: dispatches the events that it reads to dispatcher instances, and writes their actions
 * as reply lines. Events come in batches, each with its time on the simulator's clock; a batch is answered by the
 * actions of all instances and a line {@code finished}.
 */
final class SimulatorProtocol {
    private static final byte[][] MESSAGES = words(
            "call",
            "result",
            "timer",
            "pong",
            "memo",
            "heartbeat",
            "dropped",
            "members",
            "at",
            "turn",
            "go",
            "inventory",
            "first",
            "spawn",
            "crash_now");

    // Indexes in MESSAGES. The index of "first" has no constant: dispatchEvent handles it as the default.
    private static final int CALL = 0;
    private static final int RESULT = 1;
    private static final int TIMER = 2;
    private static final int PONG = 3;
    private static final int MEMO = 4;
    private static final int HEARTBEAT = 5;
    private static final int DROPPED = 6;
    private static final int MEMBERS = 7;
    private static final int AT = 8;
    private static final int TURN = 9;
    private static final int GO = 10;
    private static final int INVENTORY = 11;
    private static final int SPAWN = 13;
    private static final int CRASH_NOW = 14;

    /** Names of the outcomes in the protocol, in the order of {@link #OUTCOME_BY_CODE}. */
    private static final byte[][] OUTCOMES =
            words("delivered", "app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused");

    private static final Outcome[] OUTCOME_BY_CODE = {
        Outcome.OK,
        Outcome.ERROR,
        Outcome.FULL,
        Outcome.TIMEOUT,
        Outcome.CONNECT_FAILED,
        Outcome.RESET,
        Outcome.CANCELLED,
        Outcome.NOT_SENT
    };

    /** Names of the worker states in the protocol, in the order of {@link WorkerState}. */
    private static final byte[][] MODES = words("in_service", "terminating", "terminated");

    /** Names of the list kinds in the protocol, in the order of {@link ListKind}, and the loss of the watch. */
    private static final byte[][] LISTS = words("incr", "total", "warm_copy", "lost");

    private static final int WATCH_LOST = 3;
    private static final int MAX_TABLES = 16;
    private static final int MAX_INSTANCES = 1 << 20;

    /** Set in the attributes of a request that the client has sent before. */
    private static final int RESENT_ATTRIBUTE_BIT = 2;

    /** A worker list as sent by the simulator. It is resolved once for all instances with the same kinds and zones. */
    private static final class WorkerTable {
        final List<Row> rows = new ArrayList<>();
        List<WorkerInfo> resolved;

        /** The kinds and zones that {@link #resolved} refers to by index. */
        List<String> kinds;

        List<String> zones;
    }

    private record Row(String kind, WorkerState state, String address, String zone, long startedAt, int cell) {}

    private final LineReader in;
    private final OutputStream out;
    private final LineWriter reply = new LineWriter();
    private final WorkerTable[] workerTables = new WorkerTable[MAX_TABLES];
    private final double[] reportValues = new double[4];
    private DispatcherInstance[] instances = new DispatcherInstance[64];

    /** The instance that the following events are for; -1 if the batch has not named one yet. */
    private int currentInstance = -1;

    /** The instance that the last reply lines of the batch are from; -1 if there are none. */
    private int replyingInstance = -1;

    private long now;
    private long batch;

    /** Only the first uncaught exception of the process is reported. */
    private boolean crashReported;

    SimulatorProtocol(LineReader in, OutputStream out) {
        this.in = in;
        this.out = out;
    }

    private static byte[][] words(String... words) {
        return Arrays.stream(words)
                .map(w -> w.getBytes(StandardCharsets.US_ASCII))
                .toArray(byte[][]::new);
    }

    void run() throws IOException {
        while (in.nextLine()) {
            if (in.atEnd()) {
                continue;
            }
            int message = in.readOneOf("message", MESSAGES);
            switch (message) {
                case AT -> currentInstance = checkedInstanceIndex(in.readInteger("dispatcherId"));
                case TURN -> {
                    now = in.readTime("clock");
                    batch = in.readInteger("batch");
                    currentInstance = -1;
                    replyingInstance = -1;
                }
                case GO -> finishBatch();
                case INVENTORY -> readWorkerTable();
                case SPAWN -> spawnInstance();
                case CRASH_NOW -> {
                    spawnedInstance();
                    instances[currentInstance] = null;
                }
                case -1 -> throw in.malformed("unknown message");
                default -> dispatchEvent(message);
            }
        }
    }

    /** Checks an instance number, and grows the array of instances if necessary. */
    private int checkedInstanceIndex(long number) {
        if (number < 0 || number >= MAX_INSTANCES) {
            throw in.malformed("field dispatcherId is out of range: " + number);
        }
        int i = (int) number;
        if (i >= instances.length) {
            instances = Arrays.copyOf(instances, Math.max(i + 1, 2 * instances.length));
        }
        return i;
    }

    private void finishBatch() throws IOException {
        reply.text("finished").space().number(batch).endLine();
        reply.flush(out);
    }

    /** Returns the writer for reply lines, after writing that they are from this instance unless the last ones were. */
    LineWriter replyFrom(int number) {
        if (replyingInstance != number) {
            reply.text("by").space().number(number).endLine();
            replyingInstance = number;
        }
        return reply;
    }

    private DispatcherInstance spawnedInstance() {
        if (currentInstance < 0 || instances[currentInstance] == null) {
            throw in.malformed("event for an instance that was never spawned: " + currentInstance);
        }
        return instances[currentInstance];
    }

    private void spawnInstance() {
        if (currentInstance < 0) {
            throw in.malformed("spawn without an instance");
        }
        long seed = in.readInteger("initSeed");
        try {
            instances[currentInstance] =
                    new DispatcherInstance(currentInstance, new SettingsReader(seed, in.readRest("settings")), this);
        } catch (IllegalArgumentException | ClassCastException e) {
            throw in.malformed("field settings: " + e.getMessage());
        }
    }

    private int readTableNumber() {
        long number = in.readInteger("table");
        if (number < 0 || number >= MAX_TABLES) {
            throw in.malformed("field table is out of range: " + number);
        }
        return (int) number;
    }

    private void readWorkerTable() throws IOException {
        WorkerTable table = new WorkerTable();
        workerTables[readTableNumber()] = table;
        long count = in.readInteger("membersList");
        for (long i = 0; i < count; i++) {
            if (!in.nextLine() || !in.readText("row").equals("row")) {
                throw in.malformed("inventory: a row is missing");
            }
            String kind = in.readText("hw");
            int mode = in.readOneOf("mode", MODES);
            if (mode < 0) {
                throw in.malformed("field mode is unknown");
            }
            String address = in.readText("worker");
            in.skipField(); // nominal size
            String zone = in.skipIfAbsent() ? "" : in.readText("hall");
            long startedAt = in.skipIfAbsent() ? 0 : in.readTime("since");
            int cell = in.skipIfAbsent() ? 0 : (int) in.readInteger("block");
            table.rows.add(new Row(kind, WorkerState.values()[mode], address, zone, startedAt, cell));
        }
    }

    /** Replaces the names in a table by their indexes in the settings. */
    private List<WorkerInfo> resolve(WorkerTable table, SettingsReader settings) {
        if (table.resolved == null || !table.kinds.equals(settings.kinds) || !table.zones.equals(settings.zones)) {
            List<WorkerInfo> list = new ArrayList<>(table.rows.size());
            for (Row r : table.rows) {
                list.add(new WorkerInfo(
                        r.address,
                        r.state,
                        settings.kinds.indexOf(r.kind),
                        settings.zones.indexOf(r.zone),
                        r.startedAt,
                        r.cell));
            }
            table.resolved = List.copyOf(list);
            table.kinds = settings.kinds;
            table.zones = settings.zones;
        }
        return table.resolved;
    }

    private void dispatchEvent(int message) {
        DispatcherInstance instance = spawnedInstance();
        try {
            switch (message) {
                case CALL -> dispatchRequest(instance);
                case RESULT -> dispatchAttemptResult(instance);
                case TIMER -> instance.dispatcher.timerFired(now, in.readInteger("nonce"));
                case PONG -> dispatchProbeResult(instance);
                case MEMO ->
                    instance.dispatcher.peerMessage(now, (int) in.readInteger("author"), in.readBase64("bytes"));
                case HEARTBEAT -> dispatchAttemptNote(instance);
                case DROPPED -> instance.dispatcher.clientGone(now, in.readInteger("ref"));
                case MEMBERS -> dispatchWorkerList(instance);
                default -> instance.dispatcher.streamStarted(now, in.readInteger("ref"), (int) in.readInteger("try"));
            }
        } catch (ProtocolException e) {
            throw e;
        } catch (RuntimeException e) {
            if (!crashReported) {
                StackTraceElement[] trace = e.getStackTrace();
                crashReported = true;
                replyFrom(instance.number)
                        .text("crash ")
                        .utf8Text(e + (trace.length > 0 ? " at " + trace[0] : ""))
                        .endLine();
            }
        }
    }

    private void dispatchRequest(DispatcherInstance instance) {
        long id = in.readInteger("ref");
        int requestClass = in.readOneOf("kind", instance.classes);
        if (requestClass < 0) {
            throw in.malformed("field kind is not a class of the settings");
        }
        int tenant = in.skipIfAbsent() ? -1 : in.readOneOf("billing", instance.tenants);
        in.skipField(); // subject
        long validUntil = in.readTime("validUntil");
        in.skipField(); // expected work
        int slots = in.skipIfAbsent() ? 1 : (int) in.readInteger("coresNeeded");
        in.skipField(); // memory
        long attributes = in.skipIfAbsent() ? 0 : in.readInteger("attrs");
        instance.dispatcher.request(
                now,
                new Request(id, requestClass, tenant, validUntil, slots, (attributes & RESENT_ATTRIBUTE_BIT) != 0));
    }

    private Outcome readOutcome() {
        int code = in.readOneOf("rc", OUTCOMES);
        if (code < 0) {
            throw in.malformed("field rc is unknown");
        }
        return OUTCOME_BY_CODE[code];
    }

    private void dispatchAttemptResult(DispatcherInstance instance) {
        long id = in.readInteger("ref");
        in.skipField();
        Outcome outcome = readOutcome();
        int attempt = (int) in.readInteger("try");
        in.skipField();
        long tookUs = in.skipIfAbsent() ? 0 : in.readTime("timeTaken");
        boolean answered = !in.skipIfAbsent() && in.readInteger("final") != 0;
        instance.dispatcher.attemptEnded(now, id, attempt, outcome, tookUs, answered, readReport(instance));
    }

    private Report readReport(DispatcherInstance instance) {
        if (in.skipIfAbsent()) {
            return null;
        }
        in.readNumbers("report", reportValues);
        double held = Double.NaN;
        double queued = Double.NaN;
        double freeSlots = Double.NaN;
        int[] fields = instance.settingsReader.reportFields;
        for (int i = 0; i < fields.length && i < reportValues.length; i++) {
            switch (fields[i]) {
                case 0 -> held = reportValues[i];
                case 1 -> queued = reportValues[i];
                case 2 -> freeSlots = reportValues[i];
                default -> {}
            }
        }
        return new Report(held, queued, freeSlots);
    }

    private void dispatchProbeResult(DispatcherInstance instance) {
        String worker = in.readText("worker");
        Outcome outcome = readOutcome();
        in.skipField();
        instance.dispatcher.probeEnded(now, worker, outcome, readReport(instance));
    }

    private void dispatchAttemptNote(DispatcherInstance instance) {
        long id = in.readInteger("ref");
        int attempt = (int) in.readInteger("try");
        in.skipField();
        instance.dispatcher.jobProgress(now, id, attempt, in.readInteger("kind") == 1);
    }

    private void dispatchWorkerList(DispatcherInstance instance) {
        int number = in.skipIfAbsent() ? -1 : readTableNumber();
        in.skipField();
        int kind = in.readOneOf("kind", LISTS);
        if (kind < 0) {
            throw in.malformed("field kind is unknown");
        }
        if (kind == WATCH_LOST) {
            instance.dispatcher.workerListFailed(now, WatchEnd.ENDED);
            return;
        }
        if (number < 0 || workerTables[number] == null) {
            throw in.malformed("field table names no list: " + number);
        }
        instance.dispatcher.workerList(
                now, ListKind.values()[kind], resolve(workerTables[number], instance.settingsReader));
    }
}
