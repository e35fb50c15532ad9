package org.saffronshore.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.saffronshore.config.Settings;
import org.saffronshore.control.Controller;
import org.saffronshore.http.Request;

/** A complete controller that is driven through its public interface only. */
final class ControllerUnderTest {
  private static final double WAIT_STEP_S = 0.01;
  private static final int MAX_WAIT_STEPS = 500;

  private final SimulatedCluster cluster;
  private final Controller controller;

  /** Whether the controller is cut off: it neither sends requests nor receives responses. */
  private boolean killed;

  ControllerUnderTest(SimulatedCluster cluster, JsonNode settings, long seed) {
    this.cluster = cluster;
    try {
      controller =
          new Controller(
              cluster.loop,
              Settings.parse(settings),
              (to, method, path, body, timeoutS, receiver) -> {
                if (!killed) {
                  cluster.send(
                      to,
                      method,
                      path,
                      body,
                      timeoutS,
                      response -> {
                        if (!killed) {
                          receiver.onResponse(response);
                        }
                      });
                }
              },
              new Random(seed));
    } catch (Exception e) {
      throw new AssertionError("the controller could not be created with the test's settings", e);
    }
  }

  Controller controller() {
    return controller;
  }

  /** Simulates a crash: the controller sends and receives nothing from now on. */
  void kill() {
    killed = true;
  }

  /** Returns the status and the body of the response to a request of a user or a worker. */
  String request(String method, String path, String body) {
    return requestSimultaneously(method, path, body).get(0);
  }

  /** Returns the responses to several requests that arrive at the same moment. */
  List<String> requestSimultaneously(String method, String path, String... bodies) {
    String[] responses = new String[bodies.length];
    for (int i = 0; i < bodies.length; i++) {
      int index = i;
      controller.handle(
          new Request(method, path, bodies[i].getBytes(StandardCharsets.UTF_8)),
          (status, type, response, retryAfterS) ->
              responses[index] = status + " " + new String(response, StandardCharsets.UTF_8));
    }
    for (int i = 0; i < MAX_WAIT_STEPS && Arrays.asList(responses).contains(null); i++) {
      cluster.loop.advance(WAIT_STEP_S);
    }
    for (String response : responses) {
      assertNotNull(response, "no response to " + method + " " + path);
    }
    return List.of(responses);
  }

  /** Sends a worker's heartbeat; the worker receives only a response with status 200. */
  void sendHeartbeat(String heartbeat, Consumer<JsonNode> worker) {
    controller.handle(
        new Request("POST", "/v1/report", heartbeat.getBytes(StandardCharsets.UTF_8)),
        (status, type, response, retryAfterS) -> {
          if (status == 200 && !killed) {
            worker.accept(SimulatedCluster.parse(new String(response, StandardCharsets.UTF_8)));
          }
        });
  }

  /** Asserts the status and the body of the response to a worker's heartbeat. */
  void assertHeartbeatResponse(String expected, SimulatedWorker worker) {
    assertEquals(
        SimulatedCluster.json(expected), request("POST", "/v1/report", worker.heartbeat(0)));
  }
}
