package saffronferry.lifecycle;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** An HTTP server that follows a script; stands for a worker or for discovery. */
final class ScriptedServer implements AutoCloseable {
    /** Answers a request; the connection is closed when it returns false. */
    interface Script {
        boolean answer(String request, OutputStream out) throws IOException, InterruptedException;
    }

    final ServerSocket server;
    /** Head and body of each request other than load probes. */
    final List<String> requests = new CopyOnWriteArrayList<>();

    final AtomicInteger connectionsClosedByPeer = new AtomicInteger();
    /** Connections that failed while this server wrote to them. */
    final AtomicInteger connectionsBrokenByPeer = new AtomicInteger();

    volatile Script script;
    volatile String load = "x0=4,x1=4";

    ScriptedServer(Script script) throws IOException {
        this(0, script);
    }

    /** Listens at the given port, which may have been in use until just now, or at any free one if it is 0. */
    ScriptedServer(int port, Script script) throws IOException {
        this.script = script;
        server = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                daemon(() -> handleConnection(socket));
            }
        });
    }

    /** Thrown by a script that resets its connection. */
    static final class Reset extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private static void daemon(Work work) {
        Thread t = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException e) {
                // the test is over, or the other end closed
            }
        });
        t.setDaemon(true);
        t.start();
    }

    int port() {
        return server.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    /** The connections of all scripted servers, to close after a test while scripts may still be sleeping. */
    private static final Set<Socket> CONNECTIONS = ConcurrentHashMap.newKeySet();

    /** Frees the descriptors that scripts still hold, since later tests count the descriptors of this process. */
    static void closeAllConnections() throws IOException {
        for (Socket s : CONNECTIONS) {
            s.close();
        }
        CONNECTIONS.clear();
    }

    private void handleConnection(Socket socket) throws IOException, InterruptedException {
        CONNECTIONS.add(socket);
        try (socket) {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            String request = read(in);
            while (request != null) {
                boolean keepOpen;
                if (request.startsWith("GET /metrics/load")) {
                    write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + load.length() + "\r\n\r\n" + load);
                    keepOpen = true;
                } else {
                    requests.add(request);
                    try {
                        keepOpen = script.answer(request, out);
                    } catch (Reset e) {
                        socket.setSoLinger(true, 0);
                        throw e;
                    } catch (IOException e) {
                        connectionsBrokenByPeer.incrementAndGet();
                        throw e;
                    }
                }
                if (!keepOpen) {
                    return;
                }
                request = read(in);
            }
            connectionsClosedByPeer.incrementAndGet();
        } finally {
            CONNECTIONS.remove(socket);
        }
    }

    private static String read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.write(b);
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        int length = text.toLowerCase()
                .lines()
                .filter(l -> l.startsWith("content-length:"))
                .mapToInt(l -> Integer.parseInt(l.substring(15).trim()))
                .findFirst()
                .orElse(0);
        return text + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static void chunk(OutputStream out, String line) throws IOException {
        write(out, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
    }

    /** A worker that serves each request at once. */
    static boolean serve(String request, OutputStream out) throws IOException {
        write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        chunk(out, line(id(request), "started", null));
        chunk(out, line(id(request), "done", "made"));
        write(out, "0\r\n\r\n");
        return true;
    }

    /** The id of a request. */
    static String id(String request) {
        return request.lines()
                .filter(l -> l.toLowerCase(Locale.ROOT).startsWith("x-txn:"))
                .map(l -> l.substring("x-txn:".length()).trim())
                .findFirst()
                .orElse("");
    }

    /** A line of a worker's response, without a result if it is null. */
    static String line(String id, String state, String result) {
        return "{\"id\":\"" + id + "\",\"from\":\"w\",\"state\":\"" + state + "\""
                + (result == null ? "" : ",\"result\":\"" + result + "\"") + "}";
    }

    /** A worker that serves each request after the given time. */
    static Script serveAfterMs(int ms) {
        return (request, out) -> {
            Thread.sleep(ms);
            return serve(request, out);
        };
    }

    /** A worker that accepts requests and never answers. */
    static boolean neverAnswer(String request, OutputStream out) {
        return true;
    }

    static Script answerWith(String status, String header) {
        return (request, out) -> {
            write(out, "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n" + header + "\r\n");
            return true;
        };
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
