package saffronferry.lifecycle;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.function.Supplier;
import saffronferry.Beside;
import saffronferry.limit.Descriptors;
import saffronferry.log.BoundedLog;
import saffronferry.ops.Bans;

/**
 * Keeps this process in step with siblings of its dispatcher: one look for all that lies in the folder they
 * share, the marks and the bans. While nobody else lives a look finds nothing but somebody who starts, so
 * there are fewer: a hundred dispatchers that look ten times a second each are a thousand looks. For the
 * event loop, the constructor apart.
 */
final class Company {
    /** How often two processes tell each other what they should know: slots are taken and freed meanwhile. */
    private static final long TOGETHER_MS = 100;
    /** Well under the time that a process takes to start: by its first decision it is known, and told. */
    private static final long ALONE_MS = 250;

    /** What one look has found; the bans are null where nobody else has changed them. */
    private record Found(ProcessRegistry.Siblings siblings, Bans bans, boolean replaced) {}

    /** Who hears of it. For the event loop. */
    interface Listener {
        /** What the others tell has changed. */
        void told(Beside beside);

        /** Others have changed the bans. */
        void banned(Bans bans);

        /** Another process serves in our place, or does so no more. */
        void replaced(boolean served);
    }

    private final Vertx vertx;
    private final ProcessRegistry registry;
    private final BanFile file;
    private final Descriptors descriptors;
    private final BoundedLog log;
    private ProcessRegistry.Siblings last;
    private Supplier<Beside> own;
    private Listener listener;
    private boolean announced;
    private boolean replaced;

    /** Announces this process, so that others share with it what a dispatcher may hold. Reads files. */
    Company(Vertx vertx, ProcessRegistry registry, BanFile file, Descriptors descriptors, BoundedLog log) {
        this.vertx = vertx;
        this.registry = registry;
        this.file = file;
        this.descriptors = descriptors;
        this.log = log;
        try {
            registry.registerStarted();
            last = registry.exchangeState(Beside.NOBODY);
        } catch (IOException e) {
            log.line("not announced", String.valueOf(e));
            last = new ProcessRegistry.Siblings(0, Beside.NOBODY);
        }
        descriptors.share(1 + last.count());
    }

    /** From now on others are told what {@code own} says, and what comes of them is handed on. */
    void keep(Supplier<Beside> own, Listener listener) {
        this.own = own;
        this.listener = listener;
        listener.told(last.state());
        lookLater();
    }

    private void lookLater() {
        vertx.setTimer(last.count() > 0 ? TOGETHER_MS : ALONE_MS, t -> look());
    }

    /** The next look is set when this one has ended: looks must not pile up behind a slow folder. */
    private void look() {
        Beside said = last.count() > 0 ? own.get() : Beside.NOBODY;
        vertx.executeBlocking(() -> {
                    ProcessRegistry.Siblings siblings = registry.exchangeState(said);
                    return new Found(siblings, changedBans(), siblings.count() > 0 && registry.isReplaced());
                })
                .onComplete(found -> {
                    lookLater();
                    if (found.failed()) {
                        log.line("no look at the siblings", String.valueOf(found.cause()));
                        return;
                    }
                    meet(found.result().siblings());
                    if (found.result().bans() != null) {
                        listener.banned(found.result().bans());
                    }
                    // one that is yet to serve finds the mark of the one that it is to replace
                    if (announced && found.result().replaced() != replaced) {
                        replaced = !replaced;
                        listener.replaced(replaced);
                    }
                });
    }

    private Bans changedBans() {
        try {
            return file.readIfChanged();
        } catch (IOException e) {
            log.line("bans not read", String.valueOf(e.getMessage()));
            return null;
        }
    }

    private void meet(ProcessRegistry.Siblings next) {
        if (next.count() != last.count()) {
            log.line("processes of this dispatcher", Integer.toString(1 + next.count()));
            descriptors.share(1 + next.count());
        }
        if (!next.state().equals(last.state())) {
            listener.told(next.state());
        }
        last = next;
    }

    /** Tells a process that serves already that it is replaced: once we say yes, its end may come. */
    Future<Void> announce() {
        return vertx.<Void>executeBlocking(() -> {
                    registry.registerServing();
                    return null;
                })
                .onSuccess(v -> announced = true)
                .recover(e -> {
                    // guards a start against a folder that cannot be written: only an upgrade would lose by it
                    log.line("not announced", String.valueOf(e));
                    return Future.succeededFuture();
                });
    }

    /** Whether another process, alive now, came to serve after this one. Reads files. */
    boolean replaced() {
        return registry.isReplaced();
    }

    /** This process is about to end. Writes files. */
    void ended() {
        registry.unregister();
    }
}
