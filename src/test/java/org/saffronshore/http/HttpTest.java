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

/** The server and the client against each other, over loopback. */
@SuppressWarnings("FutureReturnValueIgnored") // The groups end with the test process.
class HttpTest {
  private final NettyEventLoop loop = new NettyEventLoop();
  private final HttpClient client =
      new HttpClient(loop, loop.group(), new ConnectionLimit(10), HttpClient.MAX_IDLE_S);
  private final HttpServer server =
      new HttpServer(
          (request, reply) -> {
            if (request.path().equals("/later")) {
              reply.retryLater(503, "not now", 7);
            } else if (!request.path().equals("/never")) {
              reply.send(
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

  private Response post(HttpClient by, Address to, String path, int bytes, double timeoutS) {
    CompletableFuture<Response> answer = new CompletableFuture<>();
    loop.execute(() -> by.send(to, "POST", path, new byte[bytes], timeoutS, answer::complete));
    return answer.join();
  }

  @Test
  void clientReusesItsConnectionOverManyRequests() {
    for (int i = 0; i < 30; i++) {
      assertEquals(
          "POST /x " + i, new String(post(address, "/x", i, 60).body(), StandardCharsets.UTF_8));
    }
    assertEquals(503, post(address, "/later", 0, 60).status());
  }

  /** Machines that are gone must not use up the connections that a node may have. */
  @Test
  void connectionIdleBeyondTheMaximumIsClosed() {
    ConnectionLimit one = new ConnectionLimit(1);
    HttpClient hasty = new HttpClient(loop, loop.group(), one, 0.001);
    assertEquals(200, post(hasty, address, "/x", 0, 60).status());
    CompletableFuture<Void> closed = new CompletableFuture<>();
    loop.scheduleWithFixedDelay(
        0.01,
        () -> {
          if (one.inUse() == 0) {
            closed.complete(null);
          }
        });
    closed.join();
    assertEquals(200, post(hasty, address, "/x", 0, 60).status());
  }

  /** A connection that is kept for later makes way for one that is due now. */
  @Test
  void oldestIdleConnectionIsClosedAtTheConnectionLimit() throws InterruptedException {
    HttpServer other =
        new HttpServer(
            (request, reply) -> reply.send(204, Responder.CONTENT_TYPE_JSON, new byte[0], 0),
            new ConnectionLimit(9));
    other.start(loop.group(), new Address("127.0.0.1", 0));
    HttpClient narrow = new HttpClient(loop, loop.group(), new ConnectionLimit(1), 60);
    Address second = new Address("127.0.0.1", other.port());
    for (int i = 0; i < 3; i++) {
      assertEquals(200, post(narrow, address, "/x", 0, 60).status());
      assertEquals(204, post(narrow, second, "/x", 0, 60).status());
    }
  }

  /**
   * After a standstill the network is read before timers fire; what was answered long before must
   * not pass for news.
   */
  @Test
  void responseReadAfterItsDeadlineCountsAsLost() throws InterruptedException {
    NettyEventLoop campaigning = new NettyEventLoop();
    CountDownLatch still = new CountDownLatch(1);
    HttpServer other =
        new HttpServer(
            (request, reply) -> {
              campaigning.execute(
                  () -> {
                    still.countDown();
                    pause(0.4);
                  });
              await(still);
              reply.send(200, Responder.CONTENT_TYPE_JSON, new byte[0], 0);
            },
            new ConnectionLimit(9));
    other.start(loop.group(), new Address("127.0.0.1", 0));
    HttpClient sleeper =
        new HttpClient(campaigning, campaigning.group(), new ConnectionLimit(9), 60);
    assertEquals(
        Response.LOST, post(sleeper, new Address("127.0.0.1", other.port()), "/x", 0, 0.2));
    campaigning.group().shutdownGracefully();
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
   * More workers than sockets: each finds a connection for its report, since none is kept that
   * others need.
   */
  @Test
  void serverWithFewerConnectionsThanClientsServesAllOfThem() throws InterruptedException {
    HttpServer small =
        new HttpServer(
            (request, reply) -> reply.send(200, Responder.CONTENT_TYPE_JSON, new byte[0], 0),
            new ConnectionLimit(8));
    small.start(loop.group(), new Address("127.0.0.1", 0));
    Address there = new Address("127.0.0.1", small.port());
    List<HttpClient> workers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      workers.add(new HttpClient(loop, loop.group(), new ConnectionLimit(1), 60));
    }
    for (int round = 0; round < 3; round++) {
      for (HttpClient worker : workers) {
        assertEquals(200, post(worker, there, "/x", 0, 60).status());
      }
    }
  }

  /**
   * Machines that stop together never answer; what tries to reach them must not hold sockets for
   * longer than asked.
   */
  @Test
  void connectionAttemptEndsWithTheTimeoutOfItsRequest() throws Exception {
    ConnectionLimit two = new ConnectionLimit(2);
    HttpClient narrow = new HttpClient(loop, loop.group(), two, 60);
    List<Socket> fill = new ArrayList<>();
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      // Nobody accepts: once its queue is full, the system drops further attempts without a word.
      for (int i = 0; i < 4; i++) {
        Socket socket = new Socket();
        fill.add(socket);
        Thread filler =
            new Thread(
                () -> {
                  try {
                    socket.connect(full.getLocalSocketAddress());
                  } catch (IOException e) {
                    // Its attempt ends with the test.
                  }
                });
        filler.setDaemon(true);
        filler.start();
        filler.join(200);
      }
      for (int i = 0; i < 6; i++) {
        assertEquals(
            Response.NOT_SENT,
            post(narrow, new Address("127.0.0.1", full.getLocalPort()), "/x", 0, 0.05));
      }
      assertEquals(200, post(narrow, address, "/x", 0, 60).status());
    } finally {
      for (Socket socket : fill) {
        socket.close();
      }
    }
  }

  /** To users 413 would mean: try again. */
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
