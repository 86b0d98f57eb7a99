package saffronferry.lifecycle;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.Map;
import org.json.JSONObject;
import org.junit.After;
import org.junit.Before;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import saffronferry.HandoverState;
import saffronferry.limit.DescriptorClaim;

/** The mark files by which processes of one dispatcher find each other; a sleeping process is the sibling. */
public class ProcessRegistryTest {
    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private static final DescriptorClaim CLAIM = new DescriptorClaim(100, true);

    private ProcessRegistry registry;
    private Process other;

    @Before
    public void setUp() throws IOException {
        registry = new ProcessRegistry(folder.getRoot().toPath(), "d");
        registry.registerStarted();
        other = new ProcessBuilder("sleep", "60").start();
    }

    @After
    public void tearDown() {
        other.destroyForcibly();
    }

    private Path file(String name) {
        return folder.getRoot().toPath().resolve(name);
    }

    @Test
    public void aProcessIsReplacedOnlyByALiveProcessThatServes() throws Exception {
        assertFalse("no mark", registry.isReplaced());
        registry.registerServing();
        assertFalse("its own mark", registry.isReplaced());
        Files.writeString(file("d.serving"), "" + other.pid());
        assertTrue(registry.isReplaced());
        other.destroyForcibly().waitFor();
        assertFalse("the sibling has ended", registry.isReplaced());
        for (String damaged : List.of("", "x", "-1", "99999999999999999999")) {
            Files.writeString(file("d.serving"), damaged);
            assertFalse(damaged, registry.isReplaced());
        }
    }

    /** An unchanged folder is not read again, and yet no new sibling is missed, even within the same time step. */
    @Test
    public void newSiblingsAreFoundThoughAnUnchangedFolderIsNotRead() throws Exception {
        FileTime longAgo = FileTime.fromMillis(System.currentTimeMillis() - 60_000);
        Files.setLastModifiedTime(folder.getRoot().toPath(), longAgo);
        assertEquals(List.of(), registry.liveSiblings());
        Files.writeString(file("d.process-" + other.pid()), "");
        assertEquals("a mark changes the folder", List.of(other.pid()), registry.liveSiblings());
        other.destroyForcibly().waitFor();
        assertEquals("an ended process does not change the folder", List.of(), registry.liveSiblings());
        Process next = new ProcessBuilder("sleep", "60").start();
        try {
            assertEquals(List.of(), registry.liveSiblings());
            FileTime now = Files.getLastModifiedTime(folder.getRoot().toPath());
            Files.writeString(file("d.process-" + next.pid()), "");
            Files.setLastModifiedTime(folder.getRoot().toPath(), now);
            assertEquals(
                    "within the resolution of the folder's modification time",
                    List.of(next.pid()),
                    registry.liveSiblings());
        } finally {
            next.destroyForcibly().waitFor();
        }
        Files.setLastModifiedTime(folder.getRoot().toPath(), longAgo);
        assertEquals(List.of(), registry.liveSiblings());
        Files.writeString(
                file("d.process-"
                        + ProcessHandle.current().parent().orElseThrow().pid()),
                "");
        Files.setLastModifiedTime(folder.getRoot().toPath(), longAgo);
        assertEquals("not read, since this test has reset the modification time", List.of(), registry.liveSiblings());
    }

    @Test
    public void onlyLiveProcessesAreSiblings() throws Exception {
        assertEquals(0, registry.exchangeState(HandoverState.NONE, CLAIM).count());
        assertFalse(
                "no sibling would read it",
                Files.exists(file("d.told-" + ProcessHandle.current().pid())));
        Files.writeString(file("d.process-" + other.pid()), "");
        Files.writeString(file("d.process-rubbish"), "");
        assertEquals(
                new ProcessRegistry.Siblings(1, HandoverState.NONE, List.of()),
                registry.exchangeState(HandoverState.NONE, CLAIM));
        Files.writeString(file("d.told-" + other.pid()), "{\"jobs\":{\"w\":3,\"x\":-2},\"learned\":[1,2.5]}");
        HandoverState received = registry.exchangeState(new HandoverState(Map.of("y", 1), new double[] {7}), CLAIM)
                .state();
        assertEquals(new HandoverState(Map.of("w", 3, "x", 0), new double[] {1, 2.5}), received);
        String published =
                Files.readString(file("d.told-" + ProcessHandle.current().pid()));
        assertTrue(
                published,
                new JSONObject("{\"jobs\":{\"y\":1},\"learned\":[7],"
                                + "\"descriptors\":{\"maximum\":100,\"accepting\":true}}")
                        .similar(new JSONObject(published)));
        for (String damaged : List.of("", "{\"jobs\":{\"w\":3", "{\"jobs\":{\"w\":\"many\"},\"learned\":[]}")) {
            Files.writeString(file("d.told-" + other.pid()), damaged);
            assertEquals(
                    damaged,
                    HandoverState.NONE,
                    registry.exchangeState(HandoverState.NONE, CLAIM).state());
        }
        Files.writeString(
                file("d.told-" + other.pid()),
                "{\"jobs\":{},\"learned\":[],\"descriptors\":{\"maximum\":60,\"accepting\":false}}");
        assertEquals(
                List.of(new DescriptorClaim(60, false)),
                registry.exchangeState(HandoverState.NONE, CLAIM).claims());
        other.destroyForcibly().waitFor();
        assertEquals(0, registry.exchangeState(HandoverState.NONE, CLAIM).count());
        assertFalse("files of ended processes are deleted", Files.exists(file("d.told-" + other.pid())));
    }
}
