package org.saffronshore.control;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.saffronshore.ManualEventLoop;
import org.saffronshore.TestData;
import org.saffronshore.http.Request;
import org.saffronshore.http.Response;
import org.saffronshore.wire.Json;

/** A worker that implements the worker protocol and can simulate the faults of a machine. */
final class FakeWorker {
  /** How long a worker waits for the response to a heartbeat before it tries another controller. */
  private static final double RESPONSE_TIMEOUT_S = 4;

  private final ClusterSimulation simulation;
  private final ManualEventLoop loop;
  final String id;
  final ObjectNode heartbeat = Json.object();
  final Map<String, ObjectNode> tasks = new LinkedHashMap<>();
  long epoch = 1;
  long sequence;
  long fencingToken;

  /** The messages with direct commands that this worker has executed, in that order. */
  final List<JsonNode> executedMessages = new ArrayList<>();

  /** The largest number of tasks in a heartbeat of this worker so far. */
  int maxTasksInHeartbeat;

  /** The largest fencing token of a launch in this epoch, by task and attempt. */
  private final Map<String, Long> launchTokens = new HashMap<>();

  /** Whether commands to this worker and the responses to its heartbeats are lost. */
  boolean inboundMessagesLost;

  /** Whether this worker's heartbeats are lost. */
  boolean heartbeatsLost;

  /** Whether the machine was lost or returned. */
  boolean removed;

  /** Until when the machine hangs: in the meantime it sends nothing and handles nothing. */
  double hangsUntil;

  /** When the latest acknowledged heartbeat was sent, or when the epoch began. */
  private double leaseRenewedAt;

  private String controllerName;
  private double nextHeartbeatAt;

  FakeWorker(ClusterSimulation simulation, String id, String address, String zone) {
    this.simulation = simulation;
    this.loop = simulation.loop;
    this.leaseRenewedAt = loop.now();
    this.id = id;
    heartbeat
        .put("Cadre", id)
        .put("Address", address)
        .put("Rig", "big")
        .put("Depot", zone)
        .put("Loaner", true);
    loop.schedule(1, this::sendHeartbeat);
    loop.schedule(0.1, this::checkLease);
  }

  ObjectNode heartbeat() {
    ArrayNode reportedTasks =
        heartbeat
            .put("Shift", epoch)
            .put("Tick", ++sequence)
            .put("Baton", fencingToken)
            .putArray("Legs");
    tasks.values().forEach(task -> reportedTasks.add(task.deepCopy()));
    maxTasksInHeartbeat = Math.max(maxTasksInHeartbeat, tasks.size());
    return heartbeat;
  }

  /** Runs an action at once, or as soon as the machine no longer hangs. */
  void runWhenResponsive(Runnable action) {
    if (loop.now() < hangsUntil) {
      loop.schedule(hangsUntil - loop.now(), () -> runWhenResponsive(action));
    } else {
      action.run();
    }
  }

  private void checkLease() {
    if (removed) {
      return;
    }
    if (loop.now() > leaseRenewedAt + TestData.LEASE_S) {
      beginEpoch();
    }
    loop.schedule(0.1, this::checkLease);
  }

  private void beginEpoch() {
    tasks.clear();
    launchTokens.clear();
    epoch++;
    leaseRenewedAt = loop.now();
  }

  /**
   * Simulates a machine that is without power for a moment: its tasks are gone, and its worker
   * continues with the next sequence number.
   *
   * @param newEpoch whether the worker begins a new epoch
   */
  void losePower(boolean newEpoch) {
    if (newEpoch) {
      beginEpoch();
    }
    tasks.clear();
  }

  void sendHeartbeat() {
    if (removed) {
      return;
    }
    if (loop.now() < hangsUntil) {
      loop.schedule(hangsUntil - loop.now() + 0.01, this::sendHeartbeat);
      return;
    }
    double sentAt = loop.now();
    byte[] body = Json.bytes(heartbeat());
    nextHeartbeatAt = Math.max(nextHeartbeatAt, sentAt + simulation.heartbeatIntervalS);
    boolean[] responded = new boolean[1];
    ClusterSimulation.ControllerProcess process = simulation.processes.get(controllerName);
    if (canReach(process)) {
      sendHeartbeatTo(process, body, responded);
    } else if (process == null || process.crashed) {
      responded[0] = true;
      tryNextController(1);
    }
    loop.schedule(
        RESPONSE_TIMEOUT_S,
        () -> {
          if (!responded[0]) {
            responded[0] = true;
            tryNextController(1);
          }
        });
  }

  private boolean canReach(ClusterSimulation.ControllerProcess process) {
    return process != null
        && !process.crashed
        && !heartbeatsLost
        && !process.workersUnreachable
        && !simulation.isPartitioned(process, this);
  }

  private void sendHeartbeatTo(
      ClusterSimulation.ControllerProcess process, byte[] body, boolean[] responded) {
    double sentAt = loop.now();
    long sentInEpoch = epoch;
    simulation.lateHeartbeats.heartbeatSent(body);
    process.controller.handle(
        new Request("POST", "/v1/report", body),
        (status, type, bytes, retryAfterS) ->
            runWhenResponsive(
                () -> {
                  boolean received =
                      !inboundMessagesLost
                          && !process.workersUnreachable
                          && !simulation.isPartitioned(process, this);
                  if (!responded[0] && received && loop.now() < sentAt + RESPONSE_TIMEOUT_S) {
                    responded[0] = true;
                    handleResponse(status, Json.parse(bytes), sentAt, sentInEpoch);
                  }
                }));
    if (simulation.random.nextDouble() < simulation.duplicatedHeartbeatShare) {
      loop.schedule(
          2 + 1.5 * TestData.LEASE_S * simulation.random.nextDouble(),
          () -> {
            ClusterSimulation.ControllerProcess latest = simulation.processes.get(process.name);
            if (!latest.crashed) {
              latest.controller.handle(
                  new Request("POST", "/v1/report", body),
                  (status, type, bytes, retryAfterS) -> {});
            }
          });
    }
  }

  private void handleResponse(int status, JsonNode response, double sentAt, long sentInEpoch) {
    if (status == 200) {
      if (response.path("Baton").asLong() >= fencingToken && sentInEpoch == epoch) {
        leaseRenewedAt = Math.max(leaseRenewedAt, sentAt);
        handleCommands(response);
      }
      loop.schedule(nextHeartbeatAt - loop.now(), this::sendHeartbeat);
    } else if (status == 421
        && response.has("Dispatcher")
        && !response.get("Dispatcher").asText().equals(controllerName)) {
      controllerName = response.get("Dispatcher").asText();
      loop.schedule(0.2, this::sendHeartbeat);
    } else {
      tryNextController(1);
    }
  }

  private void tryNextController(double afterS) {
    List<String> names = new ArrayList<>(simulation.processes.keySet());
    controllerName = names.get((names.indexOf(controllerName) + 1) % names.size());
    loop.schedule(afterS, this::sendHeartbeat);
  }

  Response handleCommands(JsonNode message) {
    boolean otherEpoch = message.has("Shift") && message.get("Shift").asLong() != epoch;
    if (message.get("Baton").asLong() < fencingToken || otherEpoch) {
      return new Response(409, Json.bytes(heartbeat()));
    }
    fencingToken = message.get("Baton").asLong();
    if (message.has("Shift")) {
      executedMessages.add(message);
      repeatLater(message);
    }
    for (JsonNode command : message.get("Calls")) {
      String key = command.get("Leg").asText() + "#" + command.get("Lap").asLong();
      switch (command.get("Call").asText()) {
        case "launch" -> {
          launchTokens.put(key, fencingToken);
          launch(key, command);
        }
        case "kill" -> endTask(key, "halted");
        default -> reap(key);
      }
    }
    return new Response(200, Json.bytes(heartbeat()));
  }

  /** Delivers a copy of some of the direct commands that were executed. */
  private void repeatLater(JsonNode message) {
    double share = simulation.repeatedCommandShare;
    if (share > 0 && simulation.random.nextDouble() < share) {
      loop.schedule(
          2 * TestData.LEASE_S * simulation.random.nextDouble(),
          () ->
              runWhenResponsive(
                  () -> {
                    if (!removed && !inboundMessagesLost) {
                      handleCommands(message);
                    }
                  }));
    }
  }

  /** Forgets an attempt. From now on only the fencing token keeps copies of its launch out. */
  private void reap(String key) {
    assertTrue(
        fencingToken > launchTokens.getOrDefault(key, -1L),
        () -> key + " was reaped on " + id + " with the fencing token of its launch");
    tasks.remove(key);
  }

  @SuppressWarnings(
      "ReferenceEquality") // The entry must be this one, not an equal entry of a later launch.
  private void launch(String key, JsonNode command) {
    if (!tasks.containsKey(key)) {
      String task = command.get("Leg").asText();
      if (activeTasks().contains(task)) {
        tasks.put(key, statusOf(command).put("Status", "ended").put("Cause", "in_use"));
        return;
      }
      simulation.startedTasks.add(task);
      tasks.put(key, statusOf(command).put("Status", "running"));
      simulation.onTaskStarted(this, task);
      ObjectNode entry = tasks.get(key);
      double runtimeS =
          simulation.completedTasks.contains(task)
              ? 0.1
              : simulation.randomRuntimes
                  ? simulation.runtimeS * 2 * simulation.random.nextDouble()
                  : simulation.runtimeS;
      loop.schedule(
          runtimeS,
          () ->
              runWhenResponsive(
                  () -> {
                    if (tasks.get(key) == entry) {
                      endTask(key, "done");
                    }
                  }));
    }
  }

  private static ObjectNode statusOf(JsonNode launch) {
    return Json.object()
        .put("Leg", launch.get("Leg").asText())
        .put("Lap", launch.get("Lap").asLong());
  }

  void endTask(String key, String reason) {
    if (tasks.containsKey(key) && !tasks.get(key).has("Cause")) {
      tasks.get(key).put("Status", "ended").put("Cause", reason);
      if (reason.equals("done")) {
        simulation.completedTasks.add(tasks.get(key).get("Leg").asText());
      }
    }
  }

  /** Returns the tasks on the machine that have not ended. */
  List<String> activeTasks() {
    return tasks.values().stream()
        .filter(task -> !task.has("Cause"))
        .map(task -> task.get("Leg").asText())
        .toList();
  }
}
