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
import saffronferry.Beside;
import saffronferry.limit.Descriptors;
import saffronferry.log.BoundedLog;
import saffronferry.ops.Bans;

/** Looks at the folder that processes of one dispatcher share: how often, and that none of them is missed. */
public class SiblingMonitorTest {
    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    @Test
    public void aProcessAloneLooksSeldomAndStillSeesWhoComesAndWhatChanges() throws Exception {
        Path at = folder.getRoot().toPath();
        AtomicInteger looks = new AtomicInteger();
        CompletableFuture<Bans> heard = new CompletableFuture<>();
        BanFile file = new BanFile(at, "d");
        file.read();
        Vertx vertx = Vertx.vertx();
        Process other = new ProcessBuilder("sleep", "60").start();
        try {
            SiblingMonitor monitor = new SiblingMonitor(
                    vertx,
                    new ProcessRegistry(at, "d") {
                        @Override
                        Siblings exchangeState(Beside own) throws IOException {
                            looks.incrementAndGet();
                            return super.exchangeState(own);
                        }
                    },
                    file,
                    new Descriptors(1024, 32),
                    new BoundedLog());
            looks.set(0);
            vertx.runOnContext(v -> monitor.start(() -> Beside.NOBODY, new SiblingMonitor.Listener() {
                @Override
                public void siblingStateChanged(Beside state) {}

                @Override
                public void bansChanged(Bans bans) {
                    heard.complete(bans);
                }

                @Override
                public void replacedChanged(boolean isReplaced) {}
            }));
            Thread.sleep(1500);
            int alone = looks.get();
            assertTrue(alone + " looks of a process alone in 1.5 s", alone >= 2 && alone <= 7);
            Files.writeString(at.resolve("d.process-" + other.pid()), "");
            new BanFile(at, "d").change(b -> b.with("w"));
            assertEquals(Bans.NONE.with("w"), heard.get(2, TimeUnit.SECONDS));
            looks.set(0);
            Thread.sleep(1500);
            assertTrue(looks.get() + " looks of two in 1.5 s", looks.get() >= 8);
        } finally {
            other.destroyForcibly();
            vertx.close();
        }
    }
}
