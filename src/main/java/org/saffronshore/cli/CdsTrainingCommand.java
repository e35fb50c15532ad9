package org.saffronshore.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Callable;
import org.saffronshore.config.Settings;
import org.saffronshore.wire.InvalidFieldException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Runs a controller on the loopback interface for a short time, without the services that it needs.
 * The build archives the classes that are loaded during this run (class data sharing), which
 * shortens the start of a controller.
 */
@Command(
    name = "train-cds",
    hidden = true,
    description = "Runs a controller briefly, so that the build can archive its classes (CDS).")
final class CdsTrainingCommand implements Callable<Integer> {
  private static final String BASE_PACKAGE = "org.saffronshore.";
  private static final String SETTINGS_RESOURCE = "cds-training.json";

  /**
   * The classes that only a leader or a candidate loads, one per line, relative to {@link
   * #BASE_PACKAGE}.
   */
  private static final String CLASSES_RESOURCE = "cds-classes.txt";

  private static final long DURATION_MS = 1_500;
  private static final long ROUND_INTERVAL_MS = 100;
  private static final List<String> POST_PATHS =
      List.of("/work", "/v1/report", "/work/wk-1/cancel");
  private static final List<String> POST_BODIES = List.of("{}", "{\"Uid\":\"wk-1\"}", "not json");

  @Override
  public Integer call() throws IOException, InvalidFieldException, InterruptedException {
    int port = freePort();
    int peerPort = freePort();
    ControllerCommand.start(trainingSettings(port, peerPort));
    loadLeaderClasses();
    HttpClient client = HttpClient.newHttpClient();
    long deadline = System.currentTimeMillis() + DURATION_MS;
    while (System.currentTimeMillis() < deadline) {
      sendRequests(client, port, peerPort);
      Thread.sleep(ROUND_INTERVAL_MS);
    }
    return CommandLine.ExitCode.OK;
  }

  private static Settings trainingSettings(int port, int peerPort)
      throws IOException, InvalidFieldException {
    return Settings.parse(
        resource(SETTINGS_RESOURCE)
            .replace("${port}", Integer.toString(port))
            .replace("${peer}", Integer.toString(peerPort))
            .getBytes(UTF_8));
  }

  private static String resource(String name) throws IOException {
    try (InputStream resource =
        Objects.requireNonNull(
            CdsTrainingCommand.class.getResourceAsStream(name), "resource not found: " + name)) {
      return new String(resource.readAllBytes(), UTF_8);
    }
  }

  private static void sendRequests(HttpClient client, int port, int peerPort)
      throws InterruptedException {
    for (String body : POST_BODIES) {
      for (String path : POST_PATHS) {
        send(client, request(port, path).POST(HttpRequest.BodyPublishers.ofString(body)));
      }
    }
    send(client, request(port, "/healthz"));
    send(client, request(port, "/work/wk-1"));
    send(client, request(peerPort, "/metrics"));
  }

  private static HttpRequest.Builder request(int port, String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
  }

  private static void send(HttpClient client, HttpRequest.Builder request)
      throws InterruptedException {
    try {
      client.send(request.build(), HttpResponse.BodyHandlers.discarding());
    } catch (IOException e) {
      // The controller may still be starting; the next round repeats the request.
    }
  }

  private static void loadLeaderClasses() throws IOException {
    for (String name : resource(CLASSES_RESOURCE).lines().toList()) {
      try {
        Class.forName(BASE_PACKAGE + name);
      } catch (ClassNotFoundException e) {
        throw new IllegalStateException(
            CLASSES_RESOURCE + " lists a class that does not exist: " + BASE_PACKAGE + name, e);
      }
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }
}
