package saffronferry.rig;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/** One dispatcher: its addresses, its configuration and its current process, which can be restarted. */
final class DispatcherProcess {
    /** Small heaps and buffers, because all processes of a rig share one machine. */
    private static final List<String> JVM_OPTIONS = List.of(
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:CompileThresholdScaling=3",
            "-XX:-UsePerfData",
            "-Xshare:auto",
            "-Xms16m",
            "-Xmx48m",
            "-Xss512k",
            "-XX:MaxMetaspaceSize=48m",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:MaxDirectMemorySize=16m",
            "-Dio.netty.allocator.numHeapArenas=1",
            "-Dio.netty.allocator.numDirectArenas=1",
            "-Dio.netty.allocator.maxOrder=4",
            "-Dvertx.disableFileCPResolving=true",
            "-Dvertx.disableFileCaching=true",
            "-Dvertx.disableDnsResolver=true",
            "-Djava.net.preferIPv4Stack=true");

    private static final File DEV_NULL = new File("/dev/null");

    final int number;
    final String host;
    final int port;
    final int peerPort;
    /** 0: the operators' console is disabled. */
    final int consolePort;

    private final Path folder;
    /** A deployment's shell command; null: starts the program on this class path. */
    private final String shellCommand;

    private Process process;
    private int generation = -1;
    private boolean paused;

    DispatcherProcess(int number, String host, int port, int peerPort, Path folder) {
        this(number, host, port, peerPort, 0, folder, null);
    }

    /** {@code shellCommand}: a deployment's command that ends in one process, as in deploy/balancer.toml. */
    DispatcherProcess(
            int number, String host, int port, int peerPort, int consolePort, Path folder, String shellCommand) {
        this.shellCommand = shellCommand;
        this.number = number;
        this.host = host;
        this.port = port;
        this.peerPort = peerPort;
        this.consolePort = consolePort;
        this.folder = folder;
    }

    int generation() {
        return generation;
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    boolean paused() {
        return paused;
    }

    Process process() {
        return process;
    }

    /** Writes the configuration; a running process reloads it on SIGHUP. */
    void configure(JSONObject config) throws IOException {
        Files.writeString(folder.resolve("config.json"), config.toString());
    }

    private List<String> command(Path temporary) {
        if (shellCommand != null) {
            return List.of("sh", "-c", shellCommand);
        }
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of(
                "-Djava.io.tmpdir=" + temporary,
                "-cp",
                System.getProperty("java.class.path"),
                "saffronferry.cli.Main",
                "serve"));
        return command;
    }

    /** Starts a new process. */
    void start() throws IOException {
        generation++;
        paused = false;
        Path temporary = Files.createDirectories(folder.resolve("tmp"));
        // files instead of pipes: a pipe to a process stays open after its end, one descriptor per start
        ProcessBuilder builder = new ProcessBuilder(command(temporary))
                .redirectErrorStream(true)
                .redirectInput(DEV_NULL)
                .redirectOutput(
                        ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
        builder.environment()
                .put("BALANCER_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("TMPDIR", temporary.toString());
        process = builder.start();
    }

    /** Kills the process without waiting. */
    void kill() {
        if (process != null) {
            process.destroyForcibly();
            paused = false;
        }
    }

    /** Sends STOP, CONT, HUP or TERM; does nothing if the process has ended. */
    void signal(String name) throws IOException {
        if (alive()) {
            paused = name.equals("STOP") || paused && !name.equals("CONT");
            new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
                    .redirectInput(DEV_NULL)
                    .redirectOutput(DEV_NULL)
                    .redirectError(DEV_NULL)
                    .start();
        }
    }

    /** Kills the process and waits for its end, so that its ports are free. */
    void killAndWait() throws InterruptedException {
        kill();
        if (process != null) {
            process.waitFor(10, TimeUnit.SECONDS);
        }
    }

    /** The log of all its processes so far. */
    String log() throws IOException {
        Path log = folder.resolve("log");
        return Files.exists(log) ? Files.readString(log) : "";
    }
}
