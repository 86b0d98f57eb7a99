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

/** Turns the lines of the wire into events of the instances and their actions into reply lines. */
final class Wire {
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
    private static final byte[][] OUTCOMES =
            words("delivered", "app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused");
    private static final Outcome[] OUTCOME_OF = {
        Outcome.OK,
        Outcome.ERROR,
        Outcome.FULL,
        Outcome.TIMEOUT,
        Outcome.CONNECT_FAILED,
        Outcome.RESET,
        Outcome.CANCELLED,
        Outcome.NOT_SENT
    };
    private static final byte[][] MODES = words("in_service", "terminating", "terminated");
    private static final byte[][] LISTS = words("incr", "total", "warm_copy", "lost");
    private static final int TABLES = 16;
    private static final int MAX_INSTANCES = 1 << 20;
    private static final int REPEAT_BIT = 2;

    /** A list of the wire; its entries are resolved once for all instances with the same names. */
    private static final class Table {
        final List<Row> rows = new ArrayList<>();
        List<WorkerInfo> resolved;
        List<String> kinds;
        List<String> zones;
    }

    private record Row(String kind, WorkerState state, String address, String zone, long startedAt, int cell) {}

    private final LineReader in;
    private final OutputStream out;
    private final LineWriter reply = new LineWriter();
    private final Table[] tables = new Table[TABLES];
    private final double[] values = new double[4];
    private Instance[] instances = new Instance[64];
    private int at = -1;
    private int replying = -1;
    private long now;
    private long turn;
    private boolean broken;

    Wire(LineReader in, OutputStream out) {
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
            int message = in.oneOf("message", MESSAGES);
            switch (message) {
                case 8 -> at = index(in.whole("dispatcherId"));
                case 9 -> {
                    now = in.time("clock");
                    turn = in.whole("batch");
                    at = -1;
                    replying = -1;
                }
                case 10 -> finish();
                case 11 -> inventory();
                case 13 -> spawn();
                case 14 -> {
                    instance();
                    instances[at] = null;
                }
                case -1 -> throw in.malformed("unknown message");
                default -> event(message);
            }
        }
    }

    private int index(long number) {
        if (number < 0 || number >= MAX_INSTANCES) {
            throw in.malformed("field dispatcherId is out of range: " + number);
        }
        int i = (int) number;
        if (i >= instances.length) {
            instances = Arrays.copyOf(instances, Math.max(i + 1, 2 * instances.length));
        }
        return i;
    }

    private void finish() throws IOException {
        reply.text("finished").space().number(turn).end();
        reply.flush(out);
    }

    /** The reply, with the following lines marked as this instance's. */
    LineWriter replyOf(int number) {
        if (replying != number) {
            reply.text("by").space().number(number).end();
            replying = number;
        }
        return reply;
    }

    private Instance instance() {
        if (at < 0 || instances[at] == null) {
            throw in.malformed("event for an instance that was never spawned: " + at);
        }
        return instances[at];
    }

    private void spawn() {
        if (at < 0) {
            throw in.malformed("spawn without an instance");
        }
        long seed = in.whole("initSeed");
        try {
            instances[at] = new Instance(at, new SettingsReader(seed, in.rest("settings")), this);
        } catch (IllegalArgumentException | ClassCastException e) {
            throw in.malformed("field settings: " + e.getMessage());
        }
    }

    private int tableNumber() {
        long number = in.whole("table");
        if (number < 0 || number >= TABLES) {
            throw in.malformed("field table is out of range: " + number);
        }
        return (int) number;
    }

    private void inventory() throws IOException {
        Table table = new Table();
        tables[tableNumber()] = table;
        long count = in.whole("membersList");
        for (long i = 0; i < count; i++) {
            if (!in.nextLine() || !in.text("row").equals("row")) {
                throw in.malformed("inventory: a row is missing");
            }
            String kind = in.text("hw");
            int mode = in.oneOf("mode", MODES);
            if (mode < 0) {
                throw in.malformed("field mode is unknown");
            }
            String address = in.text("worker");
            in.skip(); // nominal size
            String zone = in.absent() ? "" : in.text("hall");
            long startedAt = in.absent() ? 0 : in.time("since");
            int cell = in.absent() ? 0 : (int) in.whole("block");
            table.rows.add(new Row(kind, WorkerState.values()[mode], address, zone, startedAt, cell));
        }
    }

    private List<WorkerInfo> resolve(Table table, SettingsReader names) {
        if (table.resolved == null || !table.kinds.equals(names.kinds) || !table.zones.equals(names.zones)) {
            List<WorkerInfo> list = new ArrayList<>(table.rows.size());
            for (Row r : table.rows) {
                list.add(new WorkerInfo(
                        r.address,
                        r.state,
                        names.kinds.indexOf(r.kind),
                        names.zones.indexOf(r.zone),
                        r.startedAt,
                        r.cell));
            }
            table.resolved = List.copyOf(list);
            table.kinds = names.kinds;
            table.zones = names.zones;
        }
        return table.resolved;
    }

    private void event(int message) {
        Instance to = instance();
        try {
            switch (message) {
                case 0 -> call(to);
                case 1 -> result(to);
                case 2 -> to.module.timer(now, in.whole("nonce"));
                case 3 -> pong(to);
                case 4 -> to.module.peerMessage(now, (int) in.whole("author"), in.base64("bytes"));
                case 5 -> heartbeat(to);
                case 6 -> to.module.clientGone(now, in.whole("ref"));
                case 7 -> members(to);
                default -> to.module.streamStarted(now, in.whole("ref"), (int) in.whole("try"));
            }
        } catch (WireException e) {
            throw e;
        } catch (RuntimeException e) {
            if (!broken) {
                StackTraceElement[] trace = e.getStackTrace();
                broken = true;
                replyOf(to.number)
                        .text("crash ")
                        .free(e + (trace.length > 0 ? " at " + trace[0] : ""))
                        .end();
            }
        }
    }

    private void call(Instance to) {
        long id = in.whole("ref");
        int jobClass = in.oneOf("kind", to.classes);
        if (jobClass < 0) {
            throw in.malformed("field kind is not a class of the settings");
        }
        int tenant = in.absent() ? -1 : in.oneOf("billing", to.tenants);
        in.skip(); // subject
        long validUntil = in.time("validUntil");
        in.skip(); // expected work
        int slots = in.absent() ? 1 : (int) in.whole("coresNeeded");
        in.skip(); // memory
        long bits = in.absent() ? 0 : in.whole("attrs");
        to.module.request(now, new Request(id, jobClass, tenant, validUntil, slots, (bits & REPEAT_BIT) != 0));
    }

    private Outcome outcome() {
        int code = in.oneOf("rc", OUTCOMES);
        if (code < 0) {
            throw in.malformed("field rc is unknown");
        }
        return OUTCOME_OF[code];
    }

    private void result(Instance to) {
        long id = in.whole("ref");
        in.skip();
        Outcome outcome = outcome();
        int attempt = (int) in.whole("try");
        in.skip();
        long took = in.absent() ? 0 : in.time("timeTaken");
        boolean over = !in.absent() && in.whole("final") != 0;
        to.module.attemptEnded(now, id, attempt, outcome, took, over, report(to));
    }

    private Report report(Instance to) {
        if (in.absent()) {
            return null;
        }
        in.numbers("report", values);
        double held = Double.NaN;
        double queued = Double.NaN;
        double freeSlots = Double.NaN;
        int[] fields = to.names.reportFields;
        for (int i = 0; i < fields.length && i < values.length; i++) {
            switch (fields[i]) {
                case 0 -> held = values[i];
                case 1 -> queued = values[i];
                case 2 -> freeSlots = values[i];
                default -> {}
            }
        }
        return new Report(held, queued, freeSlots);
    }

    private void pong(Instance to) {
        String worker = in.text("worker");
        Outcome outcome = outcome();
        in.skip();
        to.module.probed(now, worker, outcome, report(to));
    }

    private void heartbeat(Instance to) {
        long id = in.whole("ref");
        int attempt = (int) in.whole("try");
        in.skip();
        to.module.note(now, id, attempt, in.whole("kind") == 1);
    }

    private void members(Instance to) {
        int number = in.absent() ? -1 : tableNumber();
        in.skip();
        int kind = in.oneOf("kind", LISTS);
        if (kind < 0) {
            throw in.malformed("field kind is unknown");
        }
        if (kind == 3) {
            to.module.workersUnavailable(now, WatchEnd.ENDED);
            return;
        }
        if (number < 0 || tables[number] == null) {
            throw in.malformed("field table names no list: " + number);
        }
        to.module.workers(now, ListKind.values()[kind], resolve(tables[number], to.names));
    }
}
