package org.saffronshore.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.saffronshore.ManualEventLoop;
import org.saffronshore.TestData;
import org.saffronshore.http.Request;
import org.saffronshore.http.Response;
import org.saffronshore.wire.Json;

/** A machine's worker as the protocol describes it, with the faults that machines may have. */
final class FakeWorker {
  /** A worker gives up on an answer after this time. */
  private static final double WORKER_PATIENCE_S = 4;

  private final ClusterSimulation sim;
  private final ManualEventLoop loop;
  final String id;
  final ObjectNode report = Json.object();
  final Map<String, ObjectNode> tasks = new LinkedHashMap<>();
  long session = 1;
  long seq;
  long token;

  /** Its commands and the answers to its reports are lost. */
  boolean unresponsive;

  /** It reaches no controller. */
  boolean mute;

  boolean gone;
  double hangsUntil;

  /** When the last answered report was sent, or the session began. */
  private double leaseFrom;

  private String reportsTo;
  private double nextReportAt;

  FakeWorker(ClusterSimulation sim, String id, String address, String zone) {
    this.sim = sim;
    this.loop = sim.loop;
    this.leaseFrom = loop.now();
    this.id = id;
    report
        .put("Cadre", id)
        .put("Address", address)
        .put("Rig", "big")
        .put("Depot", zone)
        .put("Loaner", true);
    loop.schedule(1, this::send);
    loop.schedule(0.1, this::lease);
  }

  ObjectNode report() {
    ArrayNode legs =
        report.put("Shift", session).put("Tick", ++seq).put("Baton", token).putArray("Legs");
    tasks.values().forEach(t -> legs.add(t.deepCopy()));
    return report;
  }

  /** Runs an action at once, or when the machine goes on. */
  void whenAwake(Runnable action) {
    if (loop.now() < hangsUntil) {
      loop.schedule(hangsUntil - loop.now(), () -> whenAwake(action));
    } else {
      action.run();
    }
  }

  private void lease() {
    if (gone) {
      return;
    }
    if (loop.now() > leaseFrom + TestData.LEASE_S) {
      tasks.clear();
      session++;
      leaseFrom = loop.now();
    }
    loop.schedule(0.1, this::lease);
  }

  void send() {
    if (gone) {
      return;
    }
    if (loop.now() < hangsUntil) {
      loop.schedule(hangsUntil - loop.now() + 0.01, this::send);
      return;
    }
    double sentAt = loop.now();
    byte[] body = Json.bytes(report());
    nextReportAt = Math.max(nextReportAt, sentAt + sim.reportEveryS);
    boolean[] answered = new boolean[1];
    ClusterSimulation.ControllerProcess to = sim.processes.get(reportsTo);
    if (reaches(to)) {
      report(to, body, answered);
    } else if (to == null || to.dead) {
      answered[0] = true;
      next(1);
    }
    loop.schedule(
        WORKER_PATIENCE_S,
        () -> {
          if (!answered[0]) {
            answered[0] = true;
            next(1);
          }
        });
  }

  private boolean reaches(ClusterSimulation.ControllerProcess to) {
    return to != null && !to.dead && !mute && !to.withoutWorkers && !sim.apart(to, this);
  }

  private void report(ClusterSimulation.ControllerProcess to, byte[] body, boolean[] answered) {
    double sentAt = loop.now();
    long sentIn = session;
    to.node.handle(
        new Request("POST", "/v1/report", body),
        (code, type, bytes, r) ->
            whenAwake(
                () -> {
                  boolean heard = !unresponsive && !to.withoutWorkers && !sim.apart(to, this);
                  if (!answered[0] && heard && loop.now() < sentAt + WORKER_PATIENCE_S) {
                    answered[0] = true;
                    heard(code, Json.parse(bytes), sentAt, sentIn);
                  }
                }));
    if (sim.chance.nextDouble() < sim.lateReports) {
      loop.schedule(
          2 + 1.5 * TestData.LEASE_S * sim.chance.nextDouble(),
          () -> {
            ClusterSimulation.ControllerProcess again = sim.processes.get(to.name);
            if (!again.dead) {
              again.node.handle(
                  new Request("POST", "/v1/report", body), (code, type, bytes, r) -> {});
            }
          });
    }
  }

  private void heard(int code, JsonNode answer, double sentAt, long sentIn) {
    if (code == 200) {
      if (answer.path("Baton").asLong() >= token && sentIn == session) {
        leaseFrom = Math.max(leaseFrom, sentAt);
        command(answer);
      }
      loop.schedule(nextReportAt - loop.now(), this::send);
    } else if (code == 421
        && answer.has("Dispatcher")
        && !answer.get("Dispatcher").asText().equals(reportsTo)) {
      reportsTo = answer.get("Dispatcher").asText();
      loop.schedule(0.2, this::send);
    } else {
      next(1);
    }
  }

  private void next(double afterS) {
    List<String> names = new ArrayList<>(sim.processes.keySet());
    reportsTo = names.get((names.indexOf(reportsTo) + 1) % names.size());
    loop.schedule(afterS, this::send);
  }

  Response command(JsonNode message) {
    boolean otherSession = message.has("Shift") && message.get("Shift").asLong() != session;
    if (message.get("Baton").asLong() < token || otherSession) {
      return new Response(409, Json.bytes(report()));
    }
    token = message.get("Baton").asLong();
    for (JsonNode c : message.get("Calls")) {
      String key = c.get("Leg").asText() + "#" + c.get("Lap").asLong();
      switch (c.get("Call").asText()) {
        case "launch" -> launch(key, c);
        case "kill" -> end(key, "halted");
        default -> tasks.remove(key);
      }
    }
    return new Response(200, Json.bytes(report()));
  }

  @SuppressWarnings(
      "ReferenceEquality") // Whether it is still this entry, and not one that is equal.
  private void launch(String key, JsonNode c) {
    if (!tasks.containsKey(key)) {
      String task = c.get("Leg").asText();
      sim.starts.add(task);
      tasks.put(
          key,
          Json.object()
              .put("Leg", task)
              .put("Lap", c.get("Lap").asLong())
              .put("Status", "running"));
      sim.started(this, task);
      ObjectNode entry = tasks.get(key);
      double lasts =
          sim.completed.contains(task)
              ? 0.1
              : sim.runsVary ? sim.runS * 2 * sim.chance.nextDouble() : sim.runS;
      loop.schedule(
          lasts,
          () ->
              whenAwake(
                  () -> {
                    if (tasks.get(key) == entry) {
                      end(key, "done");
                    }
                  }));
    }
  }

  void end(String key, String why) {
    if (tasks.containsKey(key) && !tasks.get(key).has("Cause")) {
      tasks.get(key).put("Status", "ended").put("Cause", why);
      if (why.equals("done")) {
        sim.completed.add(tasks.get(key).get("Leg").asText());
      }
    }
  }

  /** The tasks that are on the machine, ended ones not counted. */
  List<String> holds() {
    return tasks.values().stream()
        .filter(t -> !t.has("Cause"))
        .map(t -> t.get("Leg").asText())
        .toList();
  }
}
