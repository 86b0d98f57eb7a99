import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A stand-in for discovery: the whole list, and watches with every change since a revision. */
final class Discovery {
    /** Treats a call before discovery's own answer; returns true if it has dealt with the call. */
    interface Hook {
        boolean onCall(int number, Http.Message call, Socket socket) throws Exception;
    }

    final int port;
    private final ServerSocket server;
    private final Record record;
    private final Map<String, String> members = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new LinkedHashMap<>();
    private long revision = 1;
    private int calls;
    volatile Hook hook = (n, call, socket) -> false;

    Discovery(Record record) throws IOException {
        this.record = record;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 128);
        port = server.getLocalPort();
        Thread thread = new Thread(this::accept, "discovery");
        thread.setDaemon(true);
        thread.start();
    }

    static String entry(String id, int port, String zone, String kind, int cell, String phase, long upSinceMs) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + port + "\",\"locality\":\"" + zone
                + "\",\"flavor\":\"" + kind + "\",\"cell\":" + cell + ",\"phase\":\"" + phase
                + "\",\"size\":1.0,\"up_since_ms\":" + upSinceMs + "}";
    }

    synchronized void put(String id, String entry) {
        members.put(id, entry);
        changedAt.put(id, ++revision);
        record.line("discovery revision " + revision + " " + entry);
        notifyAll();
    }

    synchronized String whole() {
        return "{\"revision\":" + revision + ",\"complete\":true,\"members\":[" + String.join(",", members.values())
                + "]}";
    }

    private synchronized String changes(long from) {
        List<String> changed = new ArrayList<>();
        for (Map.Entry<String, String> member : members.entrySet()) {
            if (changedAt.get(member.getKey()) > from) {
                changed.add(member.getValue());
            }
        }
        return "{\"revision\":" + revision + ",\"complete\":false,\"members\":[" + String.join(",", changed) + "]}";
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private void serve(Socket socket) {
        try (socket) {
            Http.Message call = Http.read(new BufferedInputStream(socket.getInputStream()));
            if (call == null) {
                return;
            }
            int number;
            synchronized (this) {
                number = ++calls;
            }
            record.line("discovery call " + number + " " + call.path());
            if (hook.onCall(number, call, socket)) {
                return;
            }
            OutputStream out = socket.getOutputStream();
            if (!call.path().contains("watch=1")) {
                String list = whole();
                out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                        .getBytes(StandardCharsets.UTF_8));
                return;
            }
            long from = Long.parseLong(call.path().replaceAll(".*from=([0-9]+).*", "$1"));
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            String first = from == 0 || from > revision ? whole() : changes(from);
            long told = revision;
            record.line("discovery answers call " + number + " " + first);
            chunk(out, first + "\n");
            while (true) {
                String line = "";
                synchronized (this) {
                    if (revision == told) {
                        wait(2_000);
                    }
                    if (revision != told) {
                        line = changes(told);
                        told = revision;
                        record.line("discovery tells on watch " + number + " " + line);
                    }
                }
                chunk(out, line + "\n");
            }
        } catch (Exception e) {
            record.line("discovery connection ends: " + e);
        }
    }
}
