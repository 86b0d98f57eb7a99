package saffronferry.lifecycle;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import org.junit.Test;
import org.tomlj.Toml;

/** SIGHUP to the program: it continues to serve, and switches to the discovery address in the new file. */
public class ReloadTest extends SocketsFixture {
    private static void sendHangup(Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    @Test
    public void sighupSwitchesToTheNewDiscoveryAndKeepsTheRest() throws Exception {
        workerA.script = ScriptedServer.serveAfterMs(1000);
        workerB.script = ScriptedServer.serveAfterMs(1000);
        Path file = configFile();
        Process process = startProcess(file);
        await(() -> discovery.requests.size() == 1);
        CompletableFuture<HttpResponse<String>> open = sendGift(8000);
        await(() -> workerA.requests.size() + workerB.requests.size() == 1);

        Files.writeString(file, "{\"listen\": 7}");
        sendHangup(process);
        Thread.sleep(300);
        assertTrue("a faulty file does not end the process", process.isAlive());

        // the new discovery starts its revisions again, fails at first, and shows one worker as draining
        ScriptedServer next = closeAfterTest(new ScriptedServer(ScriptedServer.answerWith("503 Late", "")));
        Files.writeString(file, config.put("discovery", next.address()).toString());
        sendHangup(process);
        await(() -> next.requests.size() == 1);
        next.script = watchSending("{\"revision\":1,\"complete\":false,\"members\":["
                + entry("a", workerA.address(), 1, "DRAINING", 0) + "]}");
        await(() -> next.requests.size() == 2);
        for (String request : next.requests) {
            assertTrue(request, request.contains("from=0 "));
        }
        assertEquals("the open RPC continues", 200, get(open).statusCode());
        workerA.requests.clear();
        Thread.sleep(300);
        assertEquals("the known list is kept", 200, get(sendGift(8000)).statusCode());
        assertEquals("the new list is applied", 0, workerA.requests.size());

        sendHangup(process);
        process.destroy();
        assertTrue(process.waitFor(5, java.util.concurrent.TimeUnit.SECONDS));
        assertEquals("exit code of SIGTERM, not of SIGHUP", 143, process.exitValue());
        assertEquals("an unchanged address is not asked again", 2, next.requests.size());
    }

    /** The configuration may change, and SIGHUP arrive, while the process is still starting. */
    @Test
    public void sighupDuringTheStartIsHandledAfterIt() throws Exception {
        Path pipe = folder.resolve("config.json");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        Process process = launch(pipe, 1024, "saffronferry.cli.Main", "serve");
        ScriptedServer next =
                closeAfterTest(new ScriptedServer(watchSending("{\"revision\":1,\"complete\":false,\"members\":[]}")));
        String before = config.toString();
        try (java.io.Writer out = Files.newBufferedWriter(pipe)) { // opens once the process has started to read it
            sendHangup(process);
            await(() -> noSignalPending(process) || !process.isAlive());
            assertTrue(process.isAlive());
            out.write(before);
        }
        awaitUp(); // by now it has closed the pipe, and opens the file again
        Files.writeString(pipe, config.put("discovery", next.address()).toString());
        await(() -> next.requests.size() == 1);
    }

    /**
     * Under nohup, or a supervisor that ignores SIGHUP, the JVM never receives the signal: all dispatchers of a day
     * kept using a discovery that no longer existed. The deployment's run command therefore resets the signal.
     */
    @Test
    public void theRunCommandResetsAnIgnoredSighup() throws Exception {
        String run = Toml.parse(Path.of("deploy/balancer.toml")).getString("run");
        String before = run.substring(0, run.indexOf("java "));
        assertTrue(before, before.startsWith("exec "));
        Path file = configFile();
        Process process = launchIgnoringHangup(before, file);
        awaitUp();
        ScriptedServer next =
                closeAfterTest(new ScriptedServer(watchSending("{\"revision\":1,\"complete\":false,\"members\":[]}")));
        Files.writeString(file, config.put("discovery", next.address()).toString());
        sendHangup(process);
        await(() -> next.requests.size() == 1);
    }

    /** Without that reset the program logs that SIGHUP is ignored, and serves. */
    @Test
    public void anIgnoredSighupIsLoggedAtTheStart() throws Exception {
        Path logFile = Files.createTempFile("said", ".txt");
        closeAfterTest(() -> Files.delete(logFile));
        Process process = launchIgnoringHangup("exec 2> " + logFile + "; exec ", configFile());
        awaitUp();
        sendHangup(process);
        assertTrue(Files.readString(logFile), Files.readString(logFile).contains("SIGHUP is ignored"));
        assertTrue(process.isAlive());
    }

    private Process launchIgnoringHangup(String prefix, Path file) throws Exception {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        // a shell cannot reset a signal that it was started with as ignored, so a second shell is used
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

    /** Whether no signal is pending for the process. */
    private static boolean noSignalPending(Process process) {
        try {
            return Files.readString(Path.of("/proc/" + process.pid() + "/status"))
                    .contains("ShdPnd:\t0000000000000000");
        } catch (java.io.IOException ended) {
            return false;
        }
    }
}
