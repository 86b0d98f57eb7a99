package saffronferry.lifecycle;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.function.Supplier;
import saffronferry.HandoverState;
import saffronferry.limit.DescriptorBudget;
import saffronferry.limit.DescriptorClaim;
import saffronferry.limit.DescriptorSharing;
import saffronferry.limit.DescriptorSharing.Role;
import saffronferry.log.BoundedLog;
import saffronferry.ops.Bans;

/**
 * Keeps this process in step with sibling processes, that is, other processes of the same dispatcher. It polls the
 * folder that they share, for their marks and for the bans. Without siblings a poll can only discover a starting
 * process, so the interval is longer: a hundred dispatchers polling ten times a second would be a thousand polls.
 * For the event loop, except the constructor.
 */
final class SiblingMonitor {
    /** Poll interval with siblings, which exchange their occupied slots at this rate. */
    private static final long POLL_WITH_SIBLINGS_MS = 100;
    /** Poll interval without siblings; well under the start time of a process, which is thus seen before it decides. */
    private static final long POLL_ALONE_MS = 250;

    /** The result of a poll; the bans are null unless another process has changed them. */
    private record PollResult(ProcessRegistry.Siblings siblings, Bans bans, boolean replaced) {}

    /** Receives changes made by sibling processes. For the event loop. */
    interface Listener {
        void siblingStateChanged(HandoverState state);

        /** Another process has changed the bans. */
        void bansChanged(Bans bans);

        /** Another process has started or stopped serving in place of this one. */
        void replacedChanged(boolean isReplaced);

        /** Whether this process still accepts clients. */
        boolean acceptsClients();
    }

    private final Vertx vertx;
    private final ProcessRegistry registry;
    private final BanFile file;
    private final DescriptorSharing descriptors;
    private final BoundedLog log;
    private ProcessRegistry.Siblings last;
    private Supplier<HandoverState> ownState;
    private Listener listener;
    private boolean announced;
    private boolean replaced;

    /** Registers this process, so that siblings share the dispatcher's descriptors with it. Reads files. */
    SiblingMonitor(Vertx vertx, ProcessRegistry registry, BanFile file, DescriptorBudget descriptors, BoundedLog log) {
        this.vertx = vertx;
        this.registry = registry;
        this.file = file;
        this.descriptors = new DescriptorSharing(descriptors);
        this.log = log;
        try {
            registry.registerStarted();
            last = registry.exchangeState(HandoverState.NONE, this.descriptors.claim());
        } catch (IOException e) {
            log.line("cannot register this process", String.valueOf(e));
            last = ProcessRegistry.Siblings.NONE;
        }
        this.descriptors.update(Role.STARTING, last.count(), last.claims());
    }

    /** Whether other processes of this dispatcher were found at the last poll. */
    boolean hasSiblings() {
        return last.count() > 0;
    }

    /** Starts polling: publishes the own state to siblings and passes their changes to the listener. */
    void start(Supplier<HandoverState> ownState, Listener listener) {
        this.ownState = ownState;
        this.listener = listener;
        listener.siblingStateChanged(last.state());
        schedulePoll();
    }

    private void schedulePoll() {
        vertx.setTimer(last.count() > 0 ? POLL_WITH_SIBLINGS_MS : POLL_ALONE_MS, t -> poll());
    }

    /** The next poll is scheduled when this one has ended, so that polls cannot pile up behind a slow folder. */
    private void poll() {
        HandoverState published = last.count() > 0 ? ownState.get() : HandoverState.NONE;
        DescriptorClaim claim = descriptors.claim();
        vertx.executeBlocking(() -> {
                    ProcessRegistry.Siblings siblings = registry.exchangeState(published, claim);
                    return new PollResult(siblings, readChangedBans(), siblings.count() > 0 && registry.isReplaced());
                })
                .onComplete(polled -> {
                    schedulePoll();
                    if (polled.failed()) {
                        log.line("cannot poll sibling processes", String.valueOf(polled.cause()));
                        return;
                    }
                    update(polled.result().siblings());
                    if (polled.result().bans() != null) {
                        listener.bansChanged(polled.result().bans());
                    }
                    // before this process serves, the mark names the process that it is about to replace
                    if (announced && polled.result().replaced() != replaced) {
                        replaced = !replaced;
                        listener.replacedChanged(replaced);
                    }
                });
    }

    private Bans readChangedBans() {
        try {
            return file.readIfChanged();
        } catch (IOException e) {
            log.line("bans not read", String.valueOf(e.getMessage()));
            return null;
        }
    }

    private Role role() {
        if (!announced) {
            return Role.STARTING;
        }
        // until its listener is closed, a replaced process takes in what waits there
        return replaced && !listener.acceptsClients() ? Role.REPLACED : Role.ACCEPTING;
    }

    private void update(ProcessRegistry.Siblings next) {
        if (next.count() != last.count()) {
            log.line("processes of this dispatcher", Integer.toString(1 + next.count()));
        }
        descriptors.update(role(), next.count(), next.claims());
        if (!next.state().equals(last.state())) {
            listener.siblingStateChanged(next.state());
        }
        last = next;
    }

    /**
     * Announces to a process that already serves that this one replaces it. Must precede readiness, because the
     * other process may be stopped as soon as this one reports ready.
     */
    Future<Void> announceServing() {
        return vertx.<Void>executeBlocking(() -> {
                    registry.registerServing();
                    return null;
                })
                .onSuccess(v -> announced = true)
                .recover(e -> {
                    // A folder that cannot be written must not fail the start; only the handover suffers.
                    log.line("cannot announce that this process serves", String.valueOf(e));
                    return Future.succeededFuture();
                });
    }

    /** Whether another live process started to serve after this one. Reads files. */
    boolean isReplaced() {
        return registry.isReplaced();
    }

    /** Called when this process is about to end. Writes files. */
    void unregister() {
        registry.unregister();
    }
}
