import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/**
 * What a dispatcher needs around it, as a toy: discovery at 127.0.0.1:8500 and the two workers of config.json.
 * Start it with {@code java examples/ToyServer.java}; it runs until it is interrupted.
 */
public final class ToyServer {
    private static final int JOB_MS = 200;

    public static void main(String[] args) throws IOException {
        serve(8500, ToyServer::watch, "/discovery/hosts");
        for (int port : new int[] {9101, 9102}) {
            String name = port == 9101 ? "toy-a" : "toy-b";
            HttpServer worker = serve(port, x -> job(x, name), "/");
            worker.createContext("/metrics/load", x -> reply(x, 200, "qps=1,util=0.1,x0=4,x1=4"));
        }
        System.out.println("discovery on 8500, workers on 9101 and 9102");
    }

    private interface Handler {
        void handle(HttpExchange x) throws IOException, InterruptedException;
    }

    private static HttpServer serve(int port, Handler handler, String path) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 0);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext(path, x -> {
            try (x) {
                handler.handle(x);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        server.start();
        return server;
    }

    private static void reply(HttpExchange x, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        x.sendResponseHeaders(status, bytes.length);
        x.getResponseBody().write(bytes);
        x.close();
    }

    private static void line(OutputStream out, String text) throws IOException {
        out.write((text + "\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** The list of config.json never changes here: a watch says that once, then only that it lives. */
    private static void watch(HttpExchange x) throws IOException, InterruptedException {
        x.sendResponseHeaders(200, 0);
        line(x.getResponseBody(), "{\"revision\":1,\"complete\":false,\"members\":[]}");
        while (true) {
            Thread.sleep(2000);
            line(x.getResponseBody(), "");
        }
    }

    private static void job(HttpExchange x, String name) throws IOException, InterruptedException {
        String id = x.getRequestHeaders().getFirst("X-Txn");
        x.getRequestBody().readAllBytes();
        if (id == null) {
            reply(x, 404, "no id");
            return;
        }
        x.sendResponseHeaders(200, 0);
        String head = "{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":";
        line(x.getResponseBody(), head + "\"started\"}");
        Thread.sleep(JOB_MS);
        line(x.getResponseBody(), head + "\"done\",\"result\":\"page " + id + " built by " + name + "\"}");
    }
}
