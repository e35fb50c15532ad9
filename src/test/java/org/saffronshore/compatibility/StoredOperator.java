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
 * The address of a controller that operators and peers use, which is reached through a socket only.
 * While a request is under way the test's thread waits, but for carrying out what the controller
 * then asks of the state service, so that the manual clock is never used by two threads at once.
 */
final class StoredOperator implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final long PATIENCE_MS = 10;
  private static final double STEP_S = 0.01;

  private final IoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final StoredCluster cluster;
  private final int port;

  /** Opens the addresses of a controller whose settings name this port. */
  StoredOperator(StoredCluster cluster, StoredNode node, int port) {
    this.cluster = cluster;
    this.port = port;
    try {
      node.node().serve(group);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /** A port that is free, to be named as {@code peer_bind} by the controller's settings. */
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

  /** The status and the body of the answer. */
  String ask(String method, String path, byte[] body) {
    HttpResponse<byte[]> answer = send(method, path, body);
    return answer.statusCode() + " " + new String(answer.body(), UTF_8);
  }

  /** The whole answer to a request. */
  HttpResponse<byte[]> send(String method, String path, byte[] body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address(port) + path))
            .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    try {
      // What the test's thread has done before is visible to the other one from here on.
      group.submit(() -> {}).get();
      CompletableFuture<HttpResponse<byte[]>> answer =
          http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
      while (!answer.isDone()) {
        Runnable call = cluster.handedOver.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
        if (call != null) {
          call.run();
          cluster.loop.advance(STEP_S);
        }
      }
      group.submit(() -> {}).get();
      return answer.get();
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
