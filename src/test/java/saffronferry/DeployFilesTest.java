package saffronferry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

class DeployFilesTest {
    private static final Path MODULE = Path.of("src/main/java/saffronferry/Dispatcher.java");

    @Test
    void theModuleNamesTheFileWithItsTypes() throws IOException {
        assertTrue(Files.readAllLines(MODULE).get(0).contains("Contract.java"));
    }

    @Test
    void theDeployFileNamesTheModule() throws IOException {
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        assertEquals(
                1,
                deploy.lines()
                        .filter(l -> l.equals("policy = [\"" + MODULE + "\"]"))
                        .count());
    }

    /** If the archive were not built where a run looks for it, a restart would take twice as long. */
    @Test
    void theBuildCreatesTheArchiveThatARunUses() throws IOException {
        String archive = "target/saffronferry.jsa";
        List<String> deploy = Files.readAllLines(Path.of("deploy/balancer.toml"));
        assertTrue(deploy.get(0).contains("sh deploy/archive.sh"), deploy.get(0));
        assertTrue(deploy.get(1).contains("-XX:SharedArchiveFile=" + archive + " "), deploy.get(1));
        assertTrue(
                Files.readString(Path.of("deploy/archive.sh")).contains("-XX:ArchiveClassesAtExit=" + archive + " "));
    }
}
