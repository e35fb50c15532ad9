package org.saffronshore.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.saffronshore.config.Address;

/** Tests of the HTTP server and client against each other over the loopback interface. */
@SuppressWarnings("FutureReturnValueIgnored") // The event loop groups end with the test process.
class HttpTest {
  private final NettyEventLoop loop = new NettyEventLoop();
  private final HttpClient client =
      new HttpClient(loop, loop.group(), new ConnectionLimit(10), HttpClient.MAX_IDLE_S);
  private final HttpServer server =
      new HttpServer(
          (request, responder) -> {
            if (request.path().equals("/later")) {
              responder.retryLater(503, "not now", 7);
            } else if (!request.path().equals("/never")) {
              responder.send(
                  200,
                  Responder.CONTENT_TYPE_JSON,
                  (request.method()
                          + " "
                          + request.path()
                          + " "
                          + Objects.requireNonNull(request.body()).length)
                      .getBytes(StandardCharsets.UTF_8),
                  0);
            }
          },
          new ConnectionLimit(10));
  private Address address;

  @BeforeEach
  void start() throws InterruptedException {
    server.start(loop.group(), new Address("127.0.0.1", 0));
    address = new Address("127.0.0.1", server.port());
  }

  @AfterEach
  void stop() {
    loop.group().shutdownGracefully();
  }

  private Response post(Address to, String path, int bytes, double timeoutS) {
    return post(client, to, path, bytes, timeoutS);
  }

  private Response post(HttpClient sender, Address to, String path, int bytes, double timeoutS) {
    CompletableFuture<Response> response = new CompletableFuture<>();
    loop.execute(
        () -> sender.send(to, "POST", path, new byte[bytes], timeoutS, response::complete));
    return response.join();
  }

  @Test
  void clientReusesItsConnectionOverManyRequests() {
    for (int i = 0; i < 30; i++) {
      assertEquals(
          "POST /x " + i, new String(post(address, "/x", i, 60).body(), StandardCharsets.UTF_8));
    }
    assertEquals(503, post(address, "/later", 0, 60).status());
  }

  /** Connections to machines that have been removed must not use up the connection limit. */
  @Test
  void connectionIdleBeyondTheMaximumIsClosed() {
    ConnectionLimit limit = new ConnectionLimit(1);
    HttpClient shortIdleClient = new HttpClient(loop, loop.group(), limit, 0.001);
    assertEquals(200, post(shortIdleClient, address, "/x", 0, 60).status());
    CompletableFuture<Void> closed = new CompletableFuture<>();
    loop.scheduleWithFixedDelay(
        0.01,
        () -> {
          if (limit.inUse() == 0) {
            closed.complete(null);
          }
        });
    closed.join();
    assertEquals(200, post(shortIdleClient, address, "/x", 0, 60).status());
  }

  /** An idle connection must not prevent a request to another peer at the connection limit. */
  @Test
  void oldestIdleConnectionIsClosedAtTheConnectionLimit() throws InterruptedException {
    HttpServer secondServer =
        new HttpServer(
            (request, responder) ->
                responder.send(204, Responder.CONTENT_TYPE_JSON, new byte[0], 0),
            new ConnectionLimit(9));
    secondServer.start(loop.group(), new Address("127.0.0.1", 0));
    HttpClient singleConnectionClient =
        new HttpClient(loop, loop.group(), new ConnectionLimit(1), 60);
    Address secondAddress = new Address("127.0.0.1", secondServer.port());
    for (int i = 0; i < 3; i++) {
      assertEquals(200, post(singleConnectionClient, address, "/x", 0, 60).status());
      assertEquals(204, post(singleConnectionClient, secondAddress, "/x", 0, 60).status());
    }
  }

  /**
   * After a pause of the process, the network is read before timers fire. A response that arrived
   * long before it is read must not be treated as current.
   */
  @Test
  void responseReadAfterItsDeadlineCountsAsLost() throws InterruptedException {
    NettyEventLoop pausedLoop = new NettyEventLoop();
    CountDownLatch pauseStarted = new CountDownLatch(1);
    HttpServer respondingServer =
        new HttpServer(
            (request, responder) -> {
              pausedLoop.execute(
                  () -> {
                    pauseStarted.countDown();
                    pause(0.4);
                  });
              await(pauseStarted);
              responder.send(200, Responder.CONTENT_TYPE_JSON, new byte[0], 0);
            },
            new ConnectionLimit(9));
    respondingServer.start(loop.group(), new Address("127.0.0.1", 0));
    HttpClient pausedClient =
        new HttpClient(pausedLoop, pausedLoop.group(), new ConnectionLimit(9), 60);
    assertEquals(
        Response.LOST,
        post(pausedClient, new Address("127.0.0.1", respondingServer.port()), "/x", 0, 0.2));
    pausedLoop.group().shutdownGracefully();
  }

  private static void pause(double seconds) {
    try {
      Thread.sleep((long) (seconds * 1000));
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * With more workers than connections, every worker must be able to connect for its heartbeat. The
   * server therefore closes connections after the response when few are left.
   */
  @Test
  void serverWithFewerConnectionsThanClientsServesAllOfThem() throws InterruptedException {
    HttpServer smallServer =
        new HttpServer(
            (request, responder) ->
                responder.send(200, Responder.CONTENT_TYPE_JSON, new byte[0], 0),
            new ConnectionLimit(8));
    smallServer.start(loop.group(), new Address("127.0.0.1", 0));
    Address smallServerAddress = new Address("127.0.0.1", smallServer.port());
    List<HttpClient> workers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      workers.add(new HttpClient(loop, loop.group(), new ConnectionLimit(1), 60));
    }
    for (int round = 0; round < 3; round++) {
      for (HttpClient worker : workers) {
        assertEquals(200, post(worker, smallServerAddress, "/x", 0, 60).status());
      }
    }
  }

  /**
   * Machines that lose power together never accept or refuse a connection. Attempts to connect to
   * them must not hold sockets for longer than the timeout of the request.
   */
  @Test
  void connectionAttemptEndsWithTheTimeoutOfItsRequest() throws Exception {
    ConnectionLimit limit = new ConnectionLimit(2);
    HttpClient twoConnectionClient = new HttpClient(loop, loop.group(), limit, 60);
    List<Socket> sockets = new ArrayList<>();
    try (ServerSocket fullBacklog = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      // No connection is accepted: once the backlog is full, the system silently drops attempts.
      for (int i = 0; i < 4; i++) {
        Socket socket = new Socket();
        sockets.add(socket);
        Thread connector =
            new Thread(
                () -> {
                  try {
                    socket.connect(fullBacklog.getLocalSocketAddress());
                  } catch (IOException e) {
                    // The attempt fails when the test closes the socket.
                  }
                });
        connector.setDaemon(true);
        connector.start();
        connector.join(200);
      }
      for (int i = 0; i < 6; i++) {
        assertEquals(
            Response.NOT_SENT,
            post(
                twoConnectionClient,
                new Address("127.0.0.1", fullBacklog.getLocalPort()),
                "/x",
                0,
                0.05));
      }
      assertEquals(200, post(twoConnectionClient, address, "/x", 0, 60).status());
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /** The status is not 413, because clients would retry the request after it. */
  @Test
  void bodyBeyondTheLimitIsRefusedWith400() {
    assertEquals(200, post(address, "/x", HttpServer.MAX_BODY_BYTES, 60).status());
    assertEquals(400, post(address, "/x", HttpServer.MAX_BODY_BYTES + 1, 60).status());
  }

  @Test
  void requestThatWasNotSentIsDistinguishedFromOneThatWasLost() {
    assertEquals(Response.NOT_SENT, post(new Address("127.0.0.1", 1), "/x", 0, 60));
    assertEquals(Response.LOST, post(address, "/never", 0, 0.05));
  }
}
