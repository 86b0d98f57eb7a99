package saffronferry.rig;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.json.JSONObject;

/** One dispatcher: its address, its configuration and, for each of its lives, its process. */
final class DispatcherProcess {
    /** Small heaps: the processes of a rig share one machine. */
    private static final List<String> JVM = List.of(
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

    private static final File NOTHING = new File("/dev/null");

    final int number;
    final String host;
    final int port;
    final int peerPort;
    /** 0: operators cannot call it. */
    final int consolePort;

    private final Path folder;
    /** How a deployment starts it, for the shell; null: the program that this one is part of. */
    private final String run;

    private Process process;
    private int life = -1;
    private boolean stopped;

    DispatcherProcess(int number, String host, int port, int peerPort, Path folder) {
        this(number, host, port, peerPort, 0, folder, null);
    }

    /** {@code run}: a deployment's line that ends in one process, as deploy/balancer.toml has it. */
    DispatcherProcess(int number, String host, int port, int peerPort, int consolePort, Path folder, String run) {
        this.run = run;
        this.number = number;
        this.host = host;
        this.port = port;
        this.peerPort = peerPort;
        this.consolePort = consolePort;
        this.folder = folder;
    }

    int life() {
        return life;
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    boolean stopped() {
        return stopped;
    }

    Process process() {
        return process;
    }

    /** Writes the configuration; a process that runs reads it at SIGHUP. */
    void configure(JSONObject config) throws IOException {
        Files.writeString(folder.resolve("config.json"), config.toString());
    }

    private List<String> command(Path temporary) {
        if (run != null) {
            return List.of("sh", "-c", run);
        }
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM);
        command.addAll(List.of(
                "-Djava.io.tmpdir=" + temporary,
                "-cp",
                System.getProperty("java.class.path"),
                "saffronferry.cli.Main",
                "serve"));
        return command;
    }

    /** Starts it, in a process of its own. */
    void start() throws IOException {
        life++;
        stopped = false;
        Path temporary = Files.createDirectories(folder.resolve("tmp"));
        // guards against a descriptor for each life: a pipe to a process stays open after its end
        ProcessBuilder builder = new ProcessBuilder(command(temporary))
                .redirectErrorStream(true)
                .redirectInput(NOTHING)
                .redirectOutput(
                        ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
        builder.environment()
                .put("BALANCER_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("TMPDIR", temporary.toString());
        process = builder.start();
    }

    /** Ends it at once. */
    void kill() {
        if (process != null) {
            process.destroyForcibly();
            stopped = false;
        }
    }

    /** STOP, CONT, HUP or TERM; nothing happens to a process that is gone. */
    void signal(String name) throws IOException {
        if (alive()) {
            stopped = name.equals("STOP") || stopped && !name.equals("CONT");
            new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
                    .redirectInput(NOTHING)
                    .redirectOutput(NOTHING)
                    .redirectError(NOTHING)
                    .start();
        }
    }

    /** Ends it, and waits until it has ended, so that its ports are free. */
    void end() throws InterruptedException {
        kill();
        if (process != null) {
            process.waitFor(10, TimeUnit.SECONDS);
        }
    }

    /** What it has logged, over all its lives. */
    String log() throws IOException {
        Path log = folder.resolve("log");
        return Files.exists(log) ? Files.readString(log) : "";
    }
}
