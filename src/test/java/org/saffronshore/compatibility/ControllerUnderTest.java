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

/** One whole controller, driven through its public interface only. */
final class ControllerUnderTest {
  private static final double WAIT_STEP_S = 0.01;
  private static final int MAX_WAIT_STEPS = 500;

  private final SimulatedCluster cluster;
  private final Controller controller;

  /** The controller neither sends nor hears anything any more. */
  private boolean killed;

  ControllerUnderTest(SimulatedCluster cluster, JsonNode settings, long seed) {
    this.cluster = cluster;
    try {
      controller =
          new Controller(
              cluster.loop,
              Settings.parse(settings),
              (to, method, path, body, timeoutS, then) -> {
                if (!killed) {
                  cluster.send(
                      to,
                      method,
                      path,
                      body,
                      timeoutS,
                      answer -> {
                        if (!killed) {
                          then.onResponse(answer);
                        }
                      });
                }
              },
              new Random(seed));
    } catch (Exception e) {
      throw new AssertionError("the settings are valid", e);
    }
  }

  Controller controller() {
    return controller;
  }

  void kill() {
    killed = true;
  }

  /** The status and the body of the answer to a request of a user. */
  String request(String method, String path, String body) {
    return requestSimultaneously(method, path, body).get(0);
  }

  /** The answers to several requests that arrive at the same moment. */
  List<String> requestSimultaneously(String method, String path, String... bodies) {
    String[] answers = new String[bodies.length];
    for (int i = 0; i < bodies.length; i++) {
      int at = i;
      controller.handle(
          new Request(method, path, bodies[i].getBytes(StandardCharsets.UTF_8)),
          (status, type, answer, retryAfterS) ->
              answers[at] = status + " " + new String(answer, StandardCharsets.UTF_8));
    }
    for (int i = 0; i < MAX_WAIT_STEPS && Arrays.asList(answers).contains(null); i++) {
      cluster.loop.pass(WAIT_STEP_S);
    }
    for (String answer : answers) {
      assertNotNull(answer, method + " " + path + " is not answered");
    }
    return List.of(answers);
  }

  /** Hands a worker's report over; only an answer with status 200 is for the worker. */
  void sendHeartbeat(String report, Consumer<JsonNode> then) {
    controller.handle(
        new Request("POST", "/v1/report", report.getBytes(StandardCharsets.UTF_8)),
        (status, type, answer, retryAfterS) -> {
          if (status == 200 && !killed) {
            then.accept(SimulatedCluster.parse(new String(answer, StandardCharsets.UTF_8)));
          }
        });
  }

  /** The answer to a worker's report has to be this one. */
  void assertHeartbeatResponse(String expected, SimulatedWorker worker) {
    assertEquals(
        SimulatedCluster.json(expected), request("POST", "/v1/report", worker.heartbeat(0)));
  }
}
