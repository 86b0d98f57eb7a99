package saffronferry.lifecycle;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.junit.Test;
import org.tomlj.Toml;

/** SIGHUP on the program itself: it serves on, and asks the discovery that the new file names. */
public class ReloadTest extends SocketsFixture {
    private static void hangUp(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    @Test
    public void sighupFollowsTheNewDiscoveryAndKeepsTheRest() throws Exception {
        workerA.script = ScriptedServer.serveAfterMs(1000);
        workerB.script = ScriptedServer.serveAfterMs(1000);
        Path file = configFile();
        Process process = startProcess(file);
        await(() -> discovery.requests.size() == 1);
        CompletableFuture<HttpResponse<String>> open = sendGift(8000);
        await(() -> workerA.requests.size() + workerB.requests.size() == 1);

        Files.writeString(file, "{\"listen\": 7}");
        hangUp(process);
        Thread.sleep(300);
        assertTrue("a faulty file ends nothing", process.isAlive());

        // the new one counts its revisions anew, fails at first, and says that one worker drains
        ScriptedServer next = closeAfterTest(new ScriptedServer(ScriptedServer.answerWith("503 Late", "")));
        Files.writeString(file, config.put("discovery", next.address()).toString());
        hangUp(process);
        await(() -> next.requests.size() == 1);
        next.script = watchSending(
                "{\"revision\":1,\"complete\":false,\"members\":[" + entry("a", workerA.address(), 1, "DRAINING", 0) + "]}");
        await(() -> next.requests.size() == 2);
        for (String request : next.requests) {
            assertTrue(request, request.contains("from=0 "));
        }
        assertEquals("the open RPC goes on", 200, get(open).statusCode());
        workerA.requests.clear();
        Thread.sleep(300);
        assertEquals("the list held stays", 200, get(sendGift(8000)).statusCode());
        assertEquals("and what is new is followed", 0, workerA.requests.size());

        hangUp(process);
        process.destroy();
        assertTrue(process.waitFor(5, java.util.concurrent.TimeUnit.SECONDS));
        assertEquals("SIGTERM's, not SIGHUP's", 143, process.exitValue());
        assertEquals("the same address is not asked again", 2, next.requests.size());
    }

    /** A configuration may change, and SIGHUP come, while the process is still starting. */
    @Test
    public void sighupDuringTheStartEndsNothingAndIsNotMissed() throws Exception {
        Path pipe = folder.resolve("config.json");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        Process process = launch(pipe, 1024, "saffronferry.cli.Main", "serve");
        ScriptedServer next = closeAfterTest(new ScriptedServer(watchSending("{\"revision\":1,\"complete\":false,\"members\":[]}")));
        String before = config.toString();
        try (java.io.Writer out = Files.newBufferedWriter(pipe)) { // opens once the process has begun to read it
            hangUp(process);
            await(() -> signalTaken(process) || !process.isAlive());
            assertTrue(process.isAlive());
            out.write(before);
        }
        awaitUp(); // by now it has let go of the pipe, and asks for the file anew
        Files.writeString(pipe, config.put("discovery", next.address()).toString());
        await(() -> next.requests.size() == 1);
    }

    /**
     * Under nohup, or a supervisor that ignores SIGHUP, the JVM would never hear one: every dispatcher of a day stayed
     * with a discovery that was gone. The deployment's command gives the signal back.
     */
    @Test
    public void sighupIsHeardThoughWhoStartsTheProgramIgnoresIt() throws Exception {
        String run = Toml.parse(Path.of("deploy/balancer.toml")).getString("run");
        String before = run.substring(0, run.indexOf("java "));
        assertTrue(before, before.startsWith("exec "));
        Path file = configFile();
        Process process = launchIgnoringHangup(before, file);
        awaitUp();
        ScriptedServer next = closeAfterTest(new ScriptedServer(watchSending("{\"revision\":1,\"complete\":false,\"members\":[]}")));
        Files.writeString(file, config.put("discovery", next.address()).toString());
        hangUp(process);
        await(() -> next.requests.size() == 1);
    }

    /** Started without that, it cannot hear, and says so; it serves all the same. */
    @Test
    public void whereSighupIsIgnoredItIsSaidAtTheStart() throws Exception {
        Path logFile = Files.createTempFile("said", ".txt");
        closeAfterTest(() -> Files.delete(logFile));
        Process process = launchIgnoringHangup("exec 2> " + logFile + "; exec ", configFile());
        awaitUp();
        hangUp(process);
        assertTrue(Files.readString(logFile), Files.readString(logFile).contains("SIGHUP is ignored"));
        assertTrue(process.isAlive());
    }

    private Process launchIgnoringHangup(String prefix, Path file) throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        // the shell cannot take back what it was started with: a second one ignores what the first one does
        ProcessBuilder builder = new ProcessBuilder(
                "sh",
                "-c",
                "trap '' HUP; exec sh -c \"$0\"",
                prefix + java
                        + " -XX:TieredStopAtLevel=1 -XX:+UseSerialGC -Xmx64m -Djava.io.tmpdir=" + folder + " -cp "
                        + System.getProperty("java.class.path") + " saffronferry.cli.Main serve");
        builder.environment().put("BALANCER_CONFIG", file.toString());
        Process process = builder.inheritIO().start();
        closeAfterTest(process::destroyForcibly);
        return process;
    }

    /** Whether no signal waits to be taken by the process. */
    private static boolean signalTaken(Process process) {
        try {
            return Files.readString(Path.of("/proc/" + process.pid() + "/status"))
                    .contains("ShdPnd:\t0000000000000000");
        } catch (java.io.IOException gone) {
            return false;
        }
    }
}
