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
final class StoredNode {
  private static final double STEP_S = 0.01;
  private static final int STEPS = 500;

  private final StoredCluster cluster;
  private final Controller node;

  /** The controller neither sends nor hears anything any more. */
  private boolean killed;

  StoredNode(StoredCluster cluster, JsonNode settings, long seed) {
    this.cluster = cluster;
    try {
      node =
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

  Controller node() {
    return node;
  }

  void kill() {
    killed = true;
  }

  /** The status and the body of the answer to a request of a user. */
  String ask(String method, String path, String body) {
    return askAtOnce(method, path, body).get(0);
  }

  /** The answers to several requests that arrive at the same moment. */
  List<String> askAtOnce(String method, String path, String... bodies) {
    String[] answers = new String[bodies.length];
    for (int i = 0; i < bodies.length; i++) {
      int at = i;
      node.handle(
          new Request(method, path, bodies[i].getBytes(StandardCharsets.UTF_8)),
          (status, type, answer, retryAfterS) ->
              answers[at] = status + " " + new String(answer, StandardCharsets.UTF_8));
    }
    for (int i = 0; i < STEPS && Arrays.asList(answers).contains(null); i++) {
      cluster.loop.advance(STEP_S);
    }
    for (String answer : answers) {
      assertNotNull(answer, method + " " + path + " is not answered");
    }
    return List.of(answers);
  }

  /** Hands a worker's report over; only an answer with status 200 is for the worker. */
  void report(String report, Consumer<JsonNode> then) {
    node.handle(
        new Request("POST", "/v1/report", report.getBytes(StandardCharsets.UTF_8)),
        (status, type, answer, retryAfterS) -> {
          if (status == 200 && !killed) {
            then.accept(StoredCluster.tree(new String(answer, StandardCharsets.UTF_8)));
          }
        });
  }

  /** The answer to a worker's report has to be this one. */
  void assertReportAnswered(String expected, StoredWorker worker) {
    assertEquals(StoredCluster.json(expected), ask("POST", "/v1/report", worker.report(0)));
  }
}
