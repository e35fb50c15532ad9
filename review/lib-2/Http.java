package lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
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

/** HTTP helpers of the stand-ins. All addresses are on the loopback interface. */
public final class Http {
  public static final ObjectMapper JSON = new ObjectMapper();
  public static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "stand-in");
            thread.setDaemon(true);
            return thread;
          });

  static {
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(1000))
          .executor(THREADS)
          .build();

  private Http() {}

  /** A status, 0 if there was no answer, and its body, null if it is no JSON value. */
  public record Answer(int status, JsonNode body) {
    @Override
    public String toString() {
      return status + " " + (body == null ? "" : body);
    }
  }

  /** Handles one request. */
  @FunctionalInterface
  public interface Handler {
    /** Returns the answer; null if none is sent. */
    Answer handle(String method, String path, Map<String, String> query, JsonNode body)
        throws Exception;
  }

  /** Starts a server on a free port. */
  public static HttpServer serve(Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> handle(exchange, handler));
    server.start();
    return server;
  }

  private static void handle(HttpExchange exchange, Handler handler) {
    try {
      byte[] bytes = exchange.getRequestBody().readAllBytes();
      JsonNode body = null;
      if (bytes.length > 0) {
        try {
          body = JSON.readTree(bytes);
        } catch (IOException e) {
          body = null;
        }
      }
      Map<String, String> query = new HashMap<>();
      String raw = exchange.getRequestURI().getRawQuery();
      if (raw != null) {
        for (String part : raw.split("&")) {
          int equals = part.indexOf('=');
          if (equals > 0) {
            query.put(part.substring(0, equals), part.substring(equals + 1));
          }
        }
      }
      Answer answer =
          handler.handle(
              exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
      if (answer == null) {
        exchange.close();
        return;
      }
      byte[] out =
          answer.body() == null ? "{}".getBytes(StandardCharsets.UTF_8) : JSON.writeValueAsBytes(answer.body());
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(answer.status(), out.length);
      exchange.getResponseBody().write(out);
      exchange.close();
    } catch (Exception e) {
      exchange.close();
    }
  }

  /** Sends a request; the status is 0 without an answer in time. */
  public static Answer send(
      int port, String method, String path, Object body, double timeoutS) {
    try {
      HttpRequest.BodyPublisher publisher =
          body == null
              ? HttpRequest.BodyPublishers.noBody()
              : HttpRequest.BodyPublishers.ofByteArray(
                  body instanceof byte[] bytes ? bytes : JSON.writeValueAsBytes(body));
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
              .timeout(Duration.ofMillis((long) (timeoutS * 1000)))
              .header("Content-Type", "application/json")
              .method(method, publisher)
              .build();
      HttpResponse<byte[]> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
      JsonNode json = null;
      try {
        json = JSON.readTree(response.body());
      } catch (IOException e) {
        json = null;
      }
      return new Answer(response.statusCode(), json);
    } catch (IOException e) {
      return new Answer(0, null);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, null);
    }
  }
}
