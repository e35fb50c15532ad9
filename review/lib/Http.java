import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Small helpers for HTTP and JSON on the loopback interface. */
final class Http {
  static final ObjectMapper JSON = new ObjectMapper();
  static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .executor(THREADS)
          .build();

  /** A response; status 0 if there was none. */
  record Reply(int status, JsonNode body) {}

  @FunctionalInterface
  interface Handler {
    Reply handle(String method, String path, Map<String, String> query, byte[] body) throws Exception;
  }

  private Http() {}

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  static ObjectNode object() {
    return JSON.createObjectNode();
  }

  static HttpServer serve(int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 256);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> answer(exchange, handler));
    server.start();
    return server;
  }

  private static void answer(HttpExchange exchange, Handler handler) throws IOException {
    try (exchange) {
      byte[] body;
      try (InputStream in = exchange.getRequestBody()) {
        body = in.readAllBytes();
      }
      Map<String, String> query = new HashMap<>();
      String raw = exchange.getRequestURI().getRawQuery();
      if (raw != null) {
        for (String pair : raw.split("&")) {
          int equals = pair.indexOf('=');
          query.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
      }
      Reply reply;
      try {
        reply = handler.handle(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
      } catch (Exception e) {
        Log.line("stand-in failed: %s %s", exchange.getRequestURI(), e);
        reply = new Reply(500, object());
      }
      if (reply == null) {
        return; // No answer: the connection is closed.
      }
      byte[] bytes = JSON.writeValueAsBytes(reply.body());
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(reply.status(), bytes.length);
      exchange.getResponseBody().write(bytes);
    }
  }

  static Reply send(String method, String address, String path, byte[] body, double timeoutS) {
    HttpRequest.BodyPublisher publisher =
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofByteArray(body);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis((long) (timeoutS * 1000)))
            .method(method, publisher)
            .build();
    try {
      HttpResponse<byte[]> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
      JsonNode json;
      try {
        json = JSON.readTree(response.body());
      } catch (IOException e) {
        json = object().put("text", new String(response.body(), StandardCharsets.UTF_8));
      }
      return new Reply(response.statusCode(), json);
    } catch (IOException e) {
      return new Reply(0, object().put("error", e.toString()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Reply(0, object());
    }
  }

  static Reply send(String method, String address, String path, JsonNode body, double timeoutS) {
    try {
      return send(method, address, path, JSON.writeValueAsBytes(body), timeoutS);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
