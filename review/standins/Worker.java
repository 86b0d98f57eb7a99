import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A stand-in worker as the protocol page has it: one request on a connection, answered in chunks of lines. */
final class Worker {
    /** How a worker treats a job whose last byte has arrived. */
    interface Job {
        void run(Worker worker, Http.Message request, Answer answer) throws Exception;
    }

    /** The answer to one job. */
    static final class Answer {
        private final OutputStream out;
        private final String from;
        final String id;
        final Socket socket;

        Answer(Socket socket, String id, String from) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
            this.id = id;
            this.from = from;
        }

        void raw(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void taken() throws IOException {
            raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        void line(String json) throws IOException {
            byte[] bytes = (json + "\n").getBytes(StandardCharsets.UTF_8);
            raw(Integer.toHexString(bytes.length) + "\r\n" + json + "\n\r\n");
        }

        void state(String state) throws IOException {
            line("{\"id\":\"" + id + "\",\"from\":\"" + from + "\",\"state\":\"" + state + "\"}");
        }

        void done(String result) throws IOException {
            line("{\"id\":\"" + id + "\",\"from\":\"" + from + "\",\"state\":\"done\",\"result\":\"" + result + "\"}");
        }

        void end() throws IOException {
            raw("0\r\n\r\n");
        }
    }

    final String id;
    final int port;
    final ServerSocket server;
    private final Record record;
    private final Job job;
    /** Free slots told to probes. */
    volatile int freeSlots = 6;

    Worker(String id, Record record, Job job) throws IOException {
        this.id = id;
        this.record = record;
        this.job = job;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        port = server.getLocalPort();
        Thread thread = new Thread(this::accept, "worker " + id);
        thread.setDaemon(true);
        thread.start();
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

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                Answer answer = new Answer(socket, request.header("X-Txn"), id);
                if (request.first.startsWith("GET ")) {
                    String body = "qps=1,util=0.1,x0=" + freeSlots + ",x1=" + freeSlots;
                    answer.raw("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                } else if (answer.id == null) {
                    answer.raw("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                } else {
                    record.line("worker " + id + " gets " + answer.id + " " + request.path() + " remaining="
                            + request.header("X-Remaining-Ms") + " key=" + request.header("Idempotency-Key"));
                    job.run(this, request, answer);
                }
            }
        } catch (Exception e) {
            record.line("worker " + id + " connection ends: " + e);
        }
    }
}
