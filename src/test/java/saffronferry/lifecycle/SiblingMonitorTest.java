package saffronferry.lifecycle;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import saffronferry.HandoverState;
import saffronferry.limit.DescriptorBudget;
import saffronferry.limit.DescriptorClaim;
import saffronferry.log.BoundedLog;
import saffronferry.ops.Bans;

/** Polls of the folder that processes of one dispatcher share: their rate, and that no change is missed. */
public class SiblingMonitorTest {
    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    @Test
    public void aProcessWithoutSiblingsPollsLessOftenAndStillSeesSiblingsAndBans() throws Exception {
        Path at = folder.getRoot().toPath();
        AtomicInteger polls = new AtomicInteger();
        CompletableFuture<Bans> receivedBans = new CompletableFuture<>();
        BanFile file = new BanFile(at, "d");
        file.read();
        Vertx vertx = Vertx.vertx();
        Process other = new ProcessBuilder("sleep", "60").start();
        try {
            SiblingMonitor monitor = new SiblingMonitor(
                    vertx,
                    new ProcessRegistry(at, "d") {
                        @Override
                        Siblings exchangeState(HandoverState own, DescriptorClaim claim) throws IOException {
                            polls.incrementAndGet();
                            return super.exchangeState(own, claim);
                        }
                    },
                    file,
                    new DescriptorBudget(1024, 32),
                    new BoundedLog());
            polls.set(0);
            vertx.runOnContext(v -> monitor.start(() -> HandoverState.NONE, new SiblingMonitor.Listener() {
                @Override
                public void siblingStateChanged(HandoverState state) {}

                @Override
                public void bansChanged(Bans bans) {
                    receivedBans.complete(bans);
                }

                @Override
                public void replacedChanged(boolean isReplaced) {}

                @Override
                public boolean acceptsClients() {
                    return true;
                }
            }));
            Thread.sleep(1500);
            int pollsAlone = polls.get();
            assertTrue(pollsAlone + " polls without siblings in 1.5 s", pollsAlone >= 2 && pollsAlone <= 7);
            Files.writeString(at.resolve("d.process-" + other.pid()), "");
            new BanFile(at, "d").change(b -> b.with("w"));
            assertEquals(Bans.NONE.with("w"), receivedBans.get(2, TimeUnit.SECONDS));
            polls.set(0);
            Thread.sleep(1500);
            assertTrue(polls.get() + " polls with a sibling in 1.5 s", polls.get() >= 8);
        } finally {
            other.destroyForcibly();
            vertx.close();
        }
    }
}
