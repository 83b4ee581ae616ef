import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server on a loopback address, one thread a call. */
final class Web {

  /** Handles one call; returns the response, or null for none: the channel is then closed. */
  interface Handler {
    Reply handle(Call call) throws InterruptedException;
  }

  record Call(String method, String path, Map<String, String> query, String instance, String body) {}

  record Reply(int status, String body) {}

  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private final HttpServer server;

  Web(int port, Handler handler) throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 512);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> handle(exchange, handler));
    server.start();
  }

  void stop() {
    server.stop(0);
  }

  /** The next port to try: below the ports that the system gives to outgoing channels. */
  private static int nextPort = 10_000 + (int) (ProcessHandle.current().pid() * 211 % 20_000);

  /** Returns a port that is free; each call returns another one. */
  static synchronized int freePort() throws IOException {
    for (int tries = 0; tries < 2_000; tries++) {
      nextPort = nextPort >= 31_999 ? 10_000 : nextPort + 1;
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress("127.0.0.1", nextPort));
        return nextPort;
      } catch (IOException e) {
        // in use
      }
    }
    throw new IOException("no free port");
  }

  private static void handle(HttpExchange exchange, Handler handler) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    Map<String, String> query = new LinkedHashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(parts[0], java.net.URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
    }
    String instance = exchange.getRequestHeaders().getFirst("Expected-Instance");
    Reply reply;
    try {
      reply =
          handler.handle(
              new Call(
                  exchange.getRequestMethod(),
                  exchange.getRequestURI().getPath(),
                  query,
                  instance,
                  body));
    } catch (InterruptedException | RuntimeException e) {
      Rec.log("stand-in error: " + e);
      reply = null;
    }
    if (reply == null) {
      // Throwing without a response makes the server close the channel.
      throw new IOException("no response");
    }
    byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(reply.status(), bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      exchange.getResponseBody().write(bytes);
    }
    exchange.close();
  }
}
