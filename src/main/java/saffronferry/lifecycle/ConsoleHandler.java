package saffronferry.lifecycle;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.function.UnaryOperator;
import saffronferry.log.BoundedLog;
import saffronferry.ops.Bans;
import saffronferry.ops.OperatorCall;
import saffronferry.ops.ControlUsage;
import saffronferry.ops.Metrics;
import saffronferry.state.Ledger;
import saffronferry.wire.ConsoleServer;

/** Does what operators call for, and takes over what the bans' file says. For the event loop. */
final class ConsoleHandler implements ConsoleServer.Desk {
    /** What the node itself does for a call. */
    interface ServerControl {
        boolean isReady();

        void startDrain();

        /** False if the process is ending. */
        boolean cancelDrain();
    }

    private final Vertx vertx;
    private final Ledger<?> ledger;
    private final Metrics metrics;
    private final ControlUsage usage;
    private final BanFile file;
    private final ServerControl server;
    private final BoundedLog log;
    private int pendingWrites;

    ConsoleHandler(
            Vertx vertx,
            Ledger<?> ledger,
            Metrics metrics,
            ControlUsage usage,
            BanFile file,
            ServerControl server,
            BoundedLog log) {
        this.vertx = vertx;
        this.ledger = ledger;
        this.metrics = metrics;
        this.usage = usage;
        this.file = file;
        this.server = server;
        this.log = log;
    }

    @Override
    public void called(String method, String path, ConsoleServer.Reply reply) {
        OperatorCall call = OperatorCall.parse(method, path);
        switch (call.kind()) {
            case READINESS -> reply.say(server.isReady() ? 200 : 503, server.isReady() ? "ready\n" : "not ready\n");
            case STATS -> reply.say(200, metrics.format(ledger.now()) + usage.format());
            case WORKER_DOWN -> ban(call.worker(), bans -> bans.with(call.worker()), "is out", reply);
            case WORKER_UP -> ban(call.worker(), bans -> bans.without(call.worker()), "is back", reply);
            case DRAIN_START -> {
                server.startDrain();
                reply.say(200, "draining\n");
            }
            case DRAIN_STOP -> {
                boolean open = server.cancelDrain();
                reply.say(open ? 200 : 409, open ? "taking clients\n" : "the process is ending\n");
            }
            case WRONG_METHOD -> reply.say(405, "another method is wanted here\n");
            default -> reply.say(404, "no such call\n");
        }
    }

    private void ban(String worker, UnaryOperator<Bans> how, String done, ConsoleServer.Reply reply) {
        if (!ledger.knows(worker)) {
            reply.say(404, "no worker has this id\n");
            return;
        }
        Bans before = ledger.bans();
        ledger.ban(how.apply(before)); // at once; yes is said when it will also outlive this process
        pendingWrites++;
        vertx.<Bans>executeBlocking(() -> file.change(how)).onComplete(written -> {
            pendingWrites--;
            if (written.succeeded()) {
                applyBansFromFile(written.result());
                log.line("worker " + done, worker);
                reply.say(200, worker + " " + done + "\n");
            } else {
                // a no means that nothing has changed
                ledger.ban(before);
                log.line("bans not written", String.valueOf(written.cause()));
                reply.say(500, "the bans cannot be written: " + written.cause().getMessage() + "\n");
            }
        });
    }

    /** What the file says holds, unless a change of ours is yet to reach it. */
    void applyBansFromFile(Bans bans) {
        if (pendingWrites == 0 && !bans.equals(ledger.bans())) {
            ledger.ban(bans);
        }
    }

    /** Reads the bans that a start is to begin with; what is damaged is logged and ends nothing. */
    static Bans readInitialBans(BanFile file, BoundedLog log) {
        try {
            return file.read();
        } catch (IOException e) {
            log.line("bans not read", e.getMessage());
            return Bans.NONE;
        }
    }
}
