import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to a dispatcher. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Client(int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 2_000);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    static byte[] job(String lane, String id, long remainingMs, String key, byte[] body) {
        String head = "POST /" + lane + "?obj=7f HTTP/1.1\r\nHost: service.internal\r\nX-Txn: " + id + "\r\nX-Lane: "
                + lane + "\r\nX-Org: kilbarron-grads\r\nX-Remaining-Ms: " + remainingMs + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n") + "Content-Length: " + body.length
                + "\r\n\r\n";
        byte[] start = head.getBytes(StandardCharsets.UTF_8);
        byte[] all = java.util.Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    void send(byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }

    void send(String text) throws IOException {
        send(text.getBytes(StandardCharsets.UTF_8));
    }

    /** The next answer; null if the connection ends without one. */
    Http.Message answer(int timeoutMs) throws IOException {
        socket.setSoTimeout(Math.max(1, timeoutMs));
        return Http.read(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** Status of {@code GET /up}, or 0 if there is no answer. */
    static int up(int port) {
        try (Client client = new Client(port)) {
            client.send("GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n");
            Http.Message answer = client.answer(1_000);
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }
}
