package org.saffronshore.compatibility;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A client of the address of a controller that operators and peers use, which is reached through a
 * socket only. During a request the test thread waits and only sends the requests that the
 * controller makes to the state service, so that two threads never use the manual clock at once.
 */
final class PeerAddressClient implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final long POLL_TIMEOUT_MS = 10;
  private static final double STEP_S = 0.01;

  private final IoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final SimulatedCluster cluster;
  private final int port;

  /**
   * Opens the addresses of a controller whose settings have the given port in {@code peer_bind}.
   */
  PeerAddressClient(SimulatedCluster cluster, ControllerUnderTest controller, int port) {
    this.cluster = cluster;
    this.port = port;
    try {
      controller.controller().serve(group);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /** Returns a free port, for {@code peer_bind} in the controller's settings. */
  static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static String address(int port) {
    return HOST + ":" + port;
  }

  /** Sends a request and returns the status and the body of the response. */
  String request(String method, String path, byte[] body) {
    HttpResponse<byte[]> response = send(method, path, body);
    return response.statusCode() + " " + new String(response.body(), UTF_8);
  }

  /** Sends a request and returns the response. */
  HttpResponse<byte[]> send(String method, String path, byte[] body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address(port) + path))
            .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    try {
      // Makes what the test thread has done so far visible to the event loop's thread.
      group.submit(() -> {}).get();
      CompletableFuture<HttpResponse<byte[]>> response =
          http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
      while (!response.isDone()) {
        Runnable stateRequest =
            cluster.handedOverRequests.poll(POLL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (stateRequest != null) {
          stateRequest.run();
          cluster.loop.advance(STEP_S);
        }
      }
      group.submit(() -> {}).get();
      return response.get();
    } catch (Exception e) {
      throw new AssertionError(method + " " + path, e);
    }
  }

  @Override
  @SuppressWarnings("FutureReturnValueIgnored") // The threads end with the test process.
  public void close() {
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }
}
