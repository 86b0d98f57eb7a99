import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the project, started with {@code run} of the deploy file. */
final class Dispatcher {
    private static final List<Process> STARTED = new ArrayList<>();

    final Process process;
    private final Record record;
    private final String name;

    /** Ends every process that is still there; returns how many have not ended. */
    static synchronized long endAll() {
        for (Process process : STARTED) {
            process.destroyForcibly();
        }
        for (Process process : STARTED) {
            try {
                process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return STARTED.stream().filter(Process::isAlive).count();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** The command of a key of deploy/balancer.toml. */
    static String command(Path root, String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(key.length() + 4, line.lastIndexOf('"')).replace("\\\"", "\"");
            }
        }
        throw new IOException("deploy/balancer.toml has no " + key);
    }

    Dispatcher(String name, Path root, Path config, Path temporary, Record record) throws IOException {
        this.name = name;
        this.record = record;
        Files.createDirectories(temporary);
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command(root, "run"));
        builder.directory(root.toFile());
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("BALANCER_NAME", name);
        builder.environment().put("TMPDIR", temporary.toString());
        builder.redirectErrorStream(true);
        builder.redirectInput(new File("/dev/null"));
        process = builder.start();
        synchronized (Dispatcher.class) {
            STARTED.add(process);
        }
        record.line("dispatcher " + name + " is process " + process.pid() + " of the command " + command(root, "run"));
        Thread log = new Thread(() -> {
            try (var lines = process.inputReader(StandardCharsets.UTF_8)) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    record.line("log of " + name + ": " + line);
                }
            } catch (IOException e) {
                // the process has ended
            }
        });
        log.setDaemon(true);
        log.start();
        process.onExit().thenAccept(p -> record.line("dispatcher " + name + " ended with " + p.exitValue()));
    }

    void signal(String signal) throws IOException, InterruptedException {
        record.line("signal " + signal + " to " + name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    /** Waits until {@code GET /up} says yes. */
    void awaitUp(int port) throws IOException, InterruptedException {
        long end = System.nanoTime() + 30_000_000_000L;
        while (Client.up(port) != 200) {
            if (!process.isAlive() || System.nanoTime() > end) {
                throw new IOException("dispatcher " + name + " is not ready");
            }
            Thread.sleep(50);
        }
        record.line("dispatcher " + name + " is up");
    }

    /** Waits until {@code GET /ops/readiness} says yes. */
    void awaitYes(int console) throws IOException, InterruptedException {
        long end = System.nanoTime() + 30_000_000_000L;
        while (!saysYes(console)) {
            if (!process.isAlive() || System.nanoTime() > end) {
                throw new IOException("dispatcher " + name + " is not ready");
            }
            Thread.sleep(20);
        }
        record.line("dispatcher " + name + " says yes");
    }

    private static boolean saysYes(int console) {
        try (Client client = new Client(console)) {
            client.send("GET /ops/readiness HTTP/1.1\r\nHost: console\r\n\r\n");
            Http.Message answer = client.answer(1_000);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }
}
