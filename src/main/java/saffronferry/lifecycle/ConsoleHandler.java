package saffronferry.lifecycle;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.function.UnaryOperator;
import saffronferry.log.BoundedLog;
import saffronferry.ops.Bans;
import saffronferry.ops.ControlUsage;
import saffronferry.ops.Metrics;
import saffronferry.ops.OperatorCall;
import saffronferry.state.RpcCoordinator;
import saffronferry.wire.ConsoleServer;

/** Executes the calls of operators, and applies the bans that other processes wrote to the file. For the event loop. */
final class ConsoleHandler implements ConsoleServer.CallHandler {
    /** Operations of the server that calls need. */
    interface ServerControl {
        boolean isReady();

        void startDrain();

        /** False if the process is shutting down. */
        boolean cancelDrain();
    }

    private final Vertx vertx;
    private final RpcCoordinator<?> ledger;
    private final Metrics metrics;
    private final ControlUsage usage;
    private final BanFile file;
    private final ServerControl server;
    private final BoundedLog log;
    private int pendingWrites; // bans that are in force but not yet in the file

    ConsoleHandler(
            Vertx vertx,
            RpcCoordinator<?> ledger,
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
    public void handle(String method, String path, ConsoleServer.Reply reply) {
        OperatorCall call = OperatorCall.parse(method, path);
        switch (call.kind()) {
            case READINESS -> reply.send(server.isReady() ? 200 : 503, server.isReady() ? "ready\n" : "not ready\n");
            case STATS -> reply.send(200, metrics.format(ledger.snapshot()) + usage.format());
            case WORKER_DOWN -> changeBans(call.worker(), bans -> bans.with(call.worker()), "is out", reply);
            case WORKER_UP -> changeBans(call.worker(), bans -> bans.without(call.worker()), "is back", reply);
            case DRAIN_START -> {
                server.startDrain();
                reply.send(200, "draining\n");
            }
            case DRAIN_STOP -> {
                boolean open = server.cancelDrain();
                reply.send(open ? 200 : 409, open ? "taking clients\n" : "the process is ending\n");
            }
            case WRONG_METHOD -> reply.send(405, "another method is wanted here\n");
            default -> reply.send(404, "no such call\n");
        }
    }

    private void changeBans(String worker, UnaryOperator<Bans> change, String outcome, ConsoleServer.Reply reply) {
        if (!ledger.isKnownSubchannel(worker)) {
            reply.send(404, "no worker has this id\n");
            return;
        }
        Bans before = ledger.bans();
        ledger.setBans(change.apply(before)); // at once; the call succeeds only when the ban is also stored
        pendingWrites++;
        vertx.<Bans>executeBlocking(() -> file.change(change)).onComplete(written -> {
            pendingWrites--;
            if (written.succeeded()) {
                applyBansFromFile(written.result());
                log.line("worker " + outcome, worker);
                reply.send(200, worker + " " + outcome + "\n");
            } else {
                // a failed call changes nothing
                ledger.setBans(before);
                log.line("bans not written", String.valueOf(written.cause()));
                reply.send(500, "the bans cannot be written: " + written.cause().getMessage() + "\n");
            }
        });
    }

    /** Applies the bans in the file, unless a change of this process has not been written yet. */
    void applyBansFromFile(Bans bans) {
        if (pendingWrites == 0 && !bans.equals(ledger.bans())) {
            ledger.setBans(bans);
        }
    }

    /** Reads the bans at the start; a damaged file is logged and does not prevent the start. */
    static Bans readInitialBans(BanFile file, BoundedLog log) {
        try {
            return file.read();
        } catch (IOException e) {
            log.line("bans not read", e.getMessage());
            return Bans.NONE;
        }
    }
}
