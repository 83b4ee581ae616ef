import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Small helpers around the HTTP server of the Java platform. */
final class Http {

  static final String HOST = "127.0.0.1";

  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "http");
            thread.setDaemon(true);
            return thread;
          });

  private Http() {}

  /** Starts a server on a free port. */
  static HttpServer serve(int port, HttpHandler handler) {
    try {
      HttpServer server = HttpServer.create(new InetSocketAddress(HOST, port), 1_024);
      server.setExecutor(THREADS);
      server.createContext("/", handler);
      server.start();
      return server;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static String body(HttpExchange exchange) throws IOException {
    return new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
  }

  static void answer(HttpExchange exchange, int status, Map<String, Object> body)
      throws IOException {
    byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
