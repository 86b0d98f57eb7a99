import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * From exec to the first served request, on half a core: the dispatcher is bound to one core that it shares with a
 * busy loop, and clients try to connect from before its start, each with one request.
 *
 * <pre>java docs/measurements/tools/StartUnderLoad.java CHECKOUT RUNS CLIENTS CORE</pre>
 *
 * CHECKOUT is a folder that {@code deploy/balancer.toml}'s build has been run in.
 */
public final class StartUnderLoad {
    private static final int PORT = 21_000;

    public static void main(String[] args) throws Exception {
        Path checkout = Path.of(args[0]);
        int runs = Integer.parseInt(args[1]);
        int clients = Integer.parseInt(args[2]);
        String core = args[3];
        Path config = config();
        serve(PORT + 1, true);
        serve(PORT + 2, false);
        serve(PORT + 3, false);
        double[][] all = new double[4][runs];
        for (int run = 0; run < runs; run++) {
            Process spin = new ProcessBuilder("taskset", "-c", core, "sh", "-c", "while :; do :; done").start();
            try {
                double[] one = start(checkout, config, clients, core);
                for (int i = 0; i < one.length; i++) {
                    all[i][run] = one[i];
                }
            } finally {
                spin.destroyForcibly();
            }
        }
        String[] names = {"first served", "half served", "last served", "share served"};
        for (int i = 0; i < names.length; i++) {
            Arrays.sort(all[i]);
            System.out.printf("%-13s min %.3f  median %.3f  max %.3f%n", names[i], all[i][0], all[i][runs / 2],
                    all[i][runs - 1]);
        }
        System.exit(0);
    }

    private static double[] start(Path checkout, Path config, int clients, String core) throws Exception {
        List<String> command = List.of("taskset", "-c", core, "java", "@deploy/serve.jvm",
                "-XX:SharedArchiveFile=target/saffronferry.jsa", "-Djava.io.tmpdir=/tmp", "-jar",
                "target/saffronferry.jar", "serve");
        ProcessBuilder builder = new ProcessBuilder(command).directory(checkout.toFile())
                .redirectErrorStream(true).redirectOutput(new File("/dev/null"));
        builder.environment().put("BALANCER_CONFIG", config.toString());
        CountDownLatch done = new CountDownLatch(clients);
        double[] served = new double[clients];
        long[] begun = {0};
        Process[] process = {null};
        begun[0] = System.nanoTime();
        process[0] = builder.start();
        for (int i = 0; i < clients; i++) {
            int number = i;
            Thread thread = new Thread(() -> {
                served[number] = ask(number, begun[0]);
                done.countDown();
            });
            thread.setDaemon(true);
            thread.start();
        }
        done.await(30, TimeUnit.SECONDS);
        process[0].destroyForcibly().waitFor();
        double[] times = Arrays.stream(served).filter(t -> t > 0).sorted().toArray();
        int n = times.length;
        return n == 0 ? new double[] {99, 99, 99, 0}
                : new double[] {times[0], times[n / 2], times[n - 1], n / (double) clients};
    }

    /** Seconds from the start until this client had its answer; 0 if it had none within 20 s. */
    private static double ask(int number, long begun) {
        while (System.nanoTime() - begun < 20_000_000_000L) {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress("127.0.0.1", PORT), 2000);
                s.setSoTimeout(6000);
                s.getOutputStream().write(("POST /directory-page HTTP/1.1\r\nHost: h\r\nX-Txn: c" + number + "-"
                        + System.nanoTime() + "\r\nX-Remaining-Ms: 6000\r\nContent-Length: 0\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                byte[] head = s.getInputStream().readNBytes(12);
                if (new String(head, StandardCharsets.US_ASCII).endsWith(" 200")) {
                    return (System.nanoTime() - begun) / 1e9;
                }
                Thread.sleep(100);
            } catch (IOException e) {
                pause();
            } catch (InterruptedException e) {
                return 0;
            }
        }
        return 0;
    }

    private static void pause() {
        try {
            Thread.sleep(10);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Path config() throws IOException {
        String text = Files.readString(Path.of("examples/config.json")).replace(":9000", ":" + PORT)
                .replace(":8500", ":" + (PORT + 1)).replace(":9101", ":" + (PORT + 2))
                .replace(":9102", ":" + (PORT + 3)).replace(":7946", ":" + (PORT + 4));
        Path file = Files.createTempFile("start", ".json");
        file.toFile().deleteOnExit();
        return Files.writeString(file, text);
    }

    /** A worker with 64 slots that takes 20 ms for a job, or discovery that never changes its mind. */
    private static void serve(int port, boolean discovery) throws IOException {
        ServerSocket server = new ServerSocket(port, 1024, InetAddress.getByName("127.0.0.1"));
        Thread accepting = new Thread(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    Thread thread = new Thread(() -> converse(socket, discovery));
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        accepting.setDaemon(true);
        accepting.start();
    }

    private static void converse(Socket socket, boolean discovery) {
        try (socket; OutputStream out = socket.getOutputStream(); InputStream in = socket.getInputStream()) {
            BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.ISO_8859_1));
            String first = reader.readLine();
            for (String line = first; line != null && !line.isEmpty(); line = reader.readLine()) { }
            if (discovery) {
                write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                while (true) {
                    write(out, "1\r\n\n\r\n");
                    Thread.sleep(1000);
                }
            } else if (first != null && first.startsWith("GET")) {
                write(out, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nx0=64,x1=64");
            } else {
                Thread.sleep(20);
                List<String> lines = new ArrayList<>(List.of("{\"state\":\"started\"}",
                        "{\"state\":\"done\",\"result\":\"made\"}"));
                StringBuilder answer = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                lines.forEach(l -> answer.append(Integer.toHexString(l.length() + 1)).append("\r\n").append(l)
                        .append("\n\r\n"));
                write(out, answer.append("0\r\n\r\n").toString());
            }
        } catch (IOException | InterruptedException e) {
            // the dispatcher has closed its end
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
